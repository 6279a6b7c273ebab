package peerload

import (
	"context"

	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
)

// swap exchanges this zone's load data with another zone in the background, if this node has data of its zone and a
// swap is due. One swap at a time and per interval keeps the bound of one call per interval for any number of zones.
func (e *Exchange) swap(ctx context.Context) {
	now := e.now()
	e.mu.Lock()
	var entries []loadexchange.Entry
	if e.state.HasNodes(now) {
		entries = e.state.ZoneEntries(now)
	}
	e.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	select {
	case e.swapping <- struct{}{}:
	default:
		return
	}
	to, found := e.takeDueZone(e.options.Nodes())
	if !found {
		<-e.swapping
		return
	}
	e.swaps.Go(func() {
		defer func() { <-e.swapping }()
		sender := loadexchange.Message{
			Node: e.options.Node, Zone: e.options.Zone, Services: loadexchange.Services(entries),
		}
		began := e.now()
		received, err := e.call(ctx, ZoneCall, to, sender, entries)
		if err != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state.MergeZone(to.Zone, received, began)
	})
}

// takeDueZone returns the exchange node of the zone whose last swap is the longest ago, and records a swap with the
// zone; false if none is due.
func (e *Exchange) takeDueZone(nodes []loadexchange.Node) (loadexchange.Node, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	zone, earliest := "", e.ticks-swapTicks
	for _, node := range nodes {
		last, swapped := e.swappedAt[node.Zone]
		if !swapped {
			last = -swapTicks
		}
		if node.Zone != e.options.Zone && (last < earliest || last == earliest && (zone == "" || node.Zone < zone)) {
			zone, earliest = node.Zone, last
		}
	}
	if zone == "" {
		return loadexchange.Node{}, false
	}
	to, found := loadexchange.ExchangeNode(nodes, zone, e.isSkipped)
	e.swappedAt[zone] = e.ticks
	return to, found
}
