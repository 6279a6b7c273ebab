package membership

import (
	"cmp"
	"math"
	"slices"
)

// broadcast is an update that is passed on until it was sent often enough.
type broadcast struct {
	update Update
	sent   int
}

// broadcast queues the update in place of an older one about the same node.
func (n *Node) broadcast(update Update) {
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(b broadcast) bool {
		return b.update.ID == update.ID
	})
	n.broadcasts = append(n.broadcasts, broadcast{update: update})
}

// piggyback picks the updates that were passed on least, newest first, after
// those that the receiver must hear.
func (n *Node) piggyback(first ...Update) []Update {
	slices.SortStableFunc(n.broadcasts, func(a, b broadcast) int { return cmp.Compare(a.sent, b.sent) })
	updates := first
	limit := n.config.RetransmitMultiplier * int(math.Ceil(n.scale()))
	passed := 0
	for i := range n.broadcasts {
		if passed == n.config.MaxUpdates {
			break
		}
		b := &n.broadcasts[i]
		b.sent++
		if slices.ContainsFunc(first, func(u Update) bool { return u.ID == b.update.ID }) {
			continue
		}
		updates = append(updates, b.update)
		passed++
	}
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(b broadcast) bool { return b.sent >= limit })
	return updates
}
