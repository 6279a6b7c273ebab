package membership

import (
	"cmp"
	"math"
	"slices"
)

// broadcast is an update that is queued for gossip.
type broadcast struct {
	update Update
	// sent is the number of messages that have carried the update.
	sent int
}

// broadcast queues an update for gossip. It replaces an older one about the same node.
func (n *Node) broadcast(update Update) {
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(b broadcast) bool {
		return b.update.ID == update.ID
	})
	n.broadcasts = append(n.broadcasts, broadcast{update: update})
}

// piggyback returns the updates to send with a message: the required ones, followed by up to MaxUpdates queued
// ones, least transmitted first.
func (n *Node) piggyback(required ...Update) []Update {
	slices.SortStableFunc(n.broadcasts, func(a, b broadcast) int { return cmp.Compare(a.sent, b.sent) })
	updates := required
	limit := n.config.RetransmitMultiplier * int(math.Ceil(n.scale()))
	added := 0
	for i := range n.broadcasts {
		if added == n.config.MaxUpdates {
			break
		}
		b := &n.broadcasts[i]
		b.sent++
		if slices.ContainsFunc(required, func(u Update) bool { return u.ID == b.update.ID }) {
			continue
		}
		updates = append(updates, b.update)
		added++
	}
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(b broadcast) bool { return b.sent >= limit })
	return updates
}
