package membership

import "slices"

// apply takes one valid update.
func (n *Node) apply(update Update) {
	if update.ID == n.self.ID {
		n.applySelf(update)
		return
	}
	known := n.members[update.ID]
	if known == nil {
		n.add(update)
		return
	}
	if update.supersedes(known.update) {
		n.change(known, update)
		return
	}
	if update.State == Suspect && known.suspicion != nil && sameClaim(update, known.update) {
		n.confirm(known, update)
	}
}

// sameClaim reports whether both speak of the same incarnation.
func sameClaim(a, b Update) bool {
	return a.Incarnation == b.Incarnation && a.Writer == b.Writer
}

// add takes in an unknown node. A dead one is not taken in: the news of dead
// nodes would otherwise be handed round for ever after they were forgotten.
func (n *Node) add(update Update) {
	if update.State == Dead {
		return
	}
	known := &member{}
	n.members[update.ID] = known
	at, _ := slices.BinarySearch(n.ids, update.ID)
	n.ids = slices.Insert(n.ids, at, update.ID)
	n.order = slices.Insert(n.order, n.random.IntN(len(n.order)+1), update.ID)
	n.change(known, update)
}

// change replaces what is believed of a node and passes it on.
func (n *Node) change(known *member, update Update) {
	known.update = update
	known.since = n.ticks
	known.suspicion = nil
	if update.State == Suspect {
		known.suspicion = newSuspicion(n.ticks, update.By)
	}
	n.broadcast(update)
	n.ready.Changes = append(n.ready.Changes, update)
}

// applySelf hears what others believe of this node.
func (n *Node) applySelf(update Update) {
	if n.superseded || n.self.State == Dead {
		return
	}
	if update.Writer != n.self.Writer {
		n.meetNamesake(update)
		return
	}
	if update.State == Alive || update.Incarnation < n.self.Incarnation {
		return
	}
	n.self.Incarnation = update.Incarnation + 1
	n.worsenHealth()
	n.announceSelf()
}

// meetNamesake hears of another process with this node's ID. A young process
// overtakes its past; an old one has been replaced and says no more. Of two
// young ones either may win, but only one: incarnations are totally ordered,
// and the holder of the highest is not superseded.
func (n *Node) meetNamesake(update Update) {
	if !update.supersedes(n.self) {
		return
	}
	if !n.Young() {
		n.superseded = true
		n.ready.Changes = append(n.ready.Changes, n.self)
		return
	}
	n.self.Incarnation = update.Incarnation + 1
	n.announceSelf()
}

// forgetDead drops nodes that have been dead for the retention time.
func (n *Node) forgetDead() {
	kept := n.ids[:0]
	for _, id := range n.ids {
		known := n.members[id]
		if known.update.State == Dead && n.ticks-known.since >= n.config.RetentionTicks {
			n.ready.Changes = append(n.ready.Changes, known.update)
			delete(n.members, id)
			continue
		}
		kept = append(kept, id)
	}
	n.ids = kept
}
