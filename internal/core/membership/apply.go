package membership

import "slices"

// apply merges a valid update into the member list.
func (n *Node) apply(update Update) {
	if update.ID == n.self.ID {
		n.applySelf(update)
		return
	}
	m := n.members[update.ID]
	if m == nil {
		n.addMember(update)
		return
	}
	if update.supersedes(m.update) {
		n.replaceUpdate(m, update)
		return
	}
	if update.State == Suspect && m.suspicion != nil && sameIncarnation(update, m.update) {
		n.confirmSuspicion(m, update)
	}
}

// sameIncarnation reports whether both updates describe the same incarnation of a node.
func sameIncarnation(a, b Update) bool {
	return a.Incarnation == b.Incarnation && a.Writer == b.Writer
}

// addMember adds a node that is not in the member list, unless it is dead: nodes would otherwise gossip about
// dead nodes forever, although each removes them after the retention period.
func (n *Node) addMember(update Update) {
	if update.State == Dead {
		return
	}
	m := &member{}
	n.members[update.ID] = m
	at, _ := slices.BinarySearch(n.ids, update.ID)
	n.ids = slices.Insert(n.ids, at, update.ID)
	n.probeOrder = slices.Insert(n.probeOrder, n.random.IntN(len(n.probeOrder)+1), update.ID)
	n.replaceUpdate(m, update)
}

// replaceUpdate replaces the update of a member and queues it for gossip.
func (n *Node) replaceUpdate(m *member, update Update) {
	m.update = update
	m.since = n.ticks
	m.suspicion = nil
	if update.State == Suspect {
		m.suspicion = newSuspicion(n.ticks, update.SuspectedBy)
	}
	n.broadcast(update)
	n.ready.Changes = append(n.ready.Changes, update)
}

// applySelf handles an update about this node: it refutes a suspicion or death by raising this node's incarnation.
func (n *Node) applySelf(update Update) {
	if n.superseded || n.self.State == Dead {
		return
	}
	if update.Writer != n.self.Writer {
		n.applyDuplicateID(update)
		return
	}
	if update.State == Alive || update.Incarnation < n.self.Incarnation {
		return
	}
	n.self.Incarnation = update.Incarnation + 1
	n.worsenHealth()
	n.announceSelf()
}

// applyDuplicateID handles an update of another process with this node's ID. Within Config.TakeoverTicks of its
// start, this process takes over the ID with a higher incarnation; later, it is superseded. If two processes do so at
// the same time, exactly one prevails: updates are totally ordered, and the process of the greatest is not superseded.
func (n *Node) applyDuplicateID(update Update) {
	if !update.supersedes(n.self) {
		return
	}
	if !n.CanTakeOver() {
		n.superseded = true
		n.ready.Changes = append(n.ready.Changes, n.self)
		return
	}
	n.self.Incarnation = update.Incarnation + 1
	n.announceSelf()
}

// removeExpired removes nodes that have been dead for the retention period.
func (n *Node) removeExpired() {
	kept := n.ids[:0]
	for _, id := range n.ids {
		m := n.members[id]
		if m.update.State == Dead && n.ticks-m.since >= n.config.RetentionTicks {
			n.ready.Changes = append(n.ready.Changes, m.update)
			delete(n.members, id)
			continue
		}
		kept = append(kept, id)
	}
	n.ids = kept
}
