package membership

import "math"

// suspicion is a running doubt about a node.
type suspicion struct {
	started int
	// by holds the distinct nodes that suspect on their own.
	by map[string]struct{}
	// asked counts the last calls that were made.
	asked int
}

// lastCalls is how often each node that holds a suspicion asks the suspect
// itself before it believes in its death, evenly over the suspicion. A
// refutation need not come by the round of gossip then.
const lastCalls = 3

func newSuspicion(tick int, by string) *suspicion {
	return &suspicion{started: tick, by: map[string]struct{}{by: {}}}
}

// confirm notes an independent suspicion and passes on the first few.
func (n *Node) confirm(known *member, update Update) {
	doubt := known.suspicion
	if _, counted := doubt.by[update.By]; counted {
		return
	}
	if len(doubt.by) > n.config.SuspicionConfirmations {
		return
	}
	doubt.by[update.By] = struct{}{}
	n.broadcast(update)
}

// suspect starts, or confirms, the suspicion after a failed probe of ours.
func (n *Node) suspect(id string) {
	known := n.members[id]
	if known == nil || known.update.State == Dead {
		return
	}
	doubt := known.update
	doubt.State = Suspect
	doubt.By = n.self.ID
	n.apply(doubt)
}

// suspicionTicks is how long the suspicion lasts: from the maximum down to the
// minimum as independent ones confirm it, longer when this node is not well.
func (n *Node) suspicionTicks(doubt *suspicion) int {
	confirmations := float64(len(doubt.by) - 1)
	wanted := float64(n.config.SuspicionConfirmations)
	share := min(1, math.Log(confirmations+1)/math.Log(wanted+1))
	periods := n.config.SuspicionMaximum - share*(n.config.SuspicionMaximum-n.config.SuspicionMinimum)
	ticks := periods * float64(n.config.ProbeTicks) * max(1, n.scale())
	return int(math.Ceil(ticks)) * (n.health + 1)
}

// expireSuspicions makes the last calls and declares deaths.
func (n *Node) expireSuspicions() {
	for _, id := range n.ids {
		known := n.members[id]
		if known.suspicion == nil {
			continue
		}
		elapsed := n.ticks - known.suspicion.started
		limit := n.suspicionTicks(known.suspicion)
		if elapsed >= limit {
			death := known.update
			death.State = Dead
			death.By = ""
			n.change(known, death)
			continue
		}
		if elapsed*(lastCalls+1) >= limit*(known.suspicion.asked+1) {
			known.suspicion.asked++
			n.ping(known)
		}
	}
}
