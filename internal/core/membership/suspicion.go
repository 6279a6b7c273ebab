package membership

import "math"

// suspicion is the state of a suspected node until it refutes or is declared dead.
type suspicion struct {
	// started is the tick at which the suspicion started.
	started int
	// suspectedBy holds the nodes that suspect the node independently.
	suspectedBy map[string]struct{}
	// pings is the number of pings sent to the suspect because of the suspicion.
	pings int
}

// suspectPings is the number of pings that a node sends to a suspect, evenly spread over the suspicion timeout, so
// that a refutation can arrive directly instead of through gossip.
const suspectPings = 3

func newSuspicion(tick int, suspectedBy string) *suspicion {
	return &suspicion{started: tick, suspectedBy: map[string]struct{}{suspectedBy: {}}}
}

// confirmSuspicion records an independent suspicion. Up to Config.SuspicionConfirmations of them are gossiped.
func (n *Node) confirmSuspicion(m *member, update Update) {
	current := m.suspicion
	if _, counted := current.suspectedBy[update.SuspectedBy]; counted {
		return
	}
	if len(current.suspectedBy) > n.config.SuspicionConfirmations {
		return
	}
	current.suspectedBy[update.SuspectedBy] = struct{}{}
	n.broadcast(update)
}

// suspect starts or confirms the suspicion of a node that this node's probe did not reach.
func (n *Node) suspect(id string) {
	m := n.members[id]
	if m == nil || m.update.State == Dead {
		return
	}
	suspected := m.update
	suspected.State = Suspect
	suspected.SuspectedBy = n.self.ID
	n.apply(suspected)
}

// suspicionTicks returns the suspicion timeout. It decreases from the maximum to the minimum with each independent
// confirmation, and increases with the local health score.
func (n *Node) suspicionTicks(current *suspicion) int {
	confirmations := float64(len(current.suspectedBy) - 1)
	required := float64(n.config.SuspicionConfirmations)
	share := min(1, math.Log(confirmations+1)/math.Log(required+1))
	periods := n.config.MaxSuspicionPeriods - share*(n.config.MaxSuspicionPeriods-n.config.MinSuspicionPeriods)
	ticks := periods * float64(n.config.ProbeTicks) * max(1, n.scale())
	return int(math.Ceil(ticks)) * (n.healthScore + 1)
}

// expireSuspicions pings suspected nodes, and declares those dead whose suspicion has timed out.
func (n *Node) expireSuspicions() {
	for _, id := range n.ids {
		m := n.members[id]
		if m.suspicion == nil {
			continue
		}
		elapsed := n.ticks - m.suspicion.started
		limit := n.suspicionTicks(m.suspicion)
		if elapsed >= limit {
			death := m.update
			death.State = Dead
			death.SuspectedBy = ""
			n.replaceUpdate(m, death)
			continue
		}
		if elapsed*(suspectPings+1) >= limit*(m.suspicion.pings+1) {
			m.suspicion.pings++
			n.ping(m)
		}
	}
}
