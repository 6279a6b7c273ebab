package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// checkOrderCounts: what an engine was ordered before it started again is not held against
// its next incarnation.
func checkOrderCounts(h *History, bounds Bounds) []string {
	var found []string
	for i := range h.Engines {
		engine := &h.Engines[i]
		if !engine.Restarted {
			continue
		}
		for _, order := range engine.Orders {
			node, _ := senderOf(order.Holder, order.From)
			known := order.At.Sub(engine.StartedAt) > bounds.Contact && h.inTouch(node, engine.StartedAt, order.At, bounds.Contact)
			if known && order.Expected > order.Taken {
				found = append(found, fmt.Sprintf("engine %s, started again %s before, was ordered as if it had taken %d orders; it has taken %d",
					engine.ID, order.At.Sub(engine.StartedAt), order.Expected, order.Taken))
			}
		}
	}
	return found
}

// checkReordered: an engine that started again without the weights that it had is ordered.
func checkReordered(h *History, bounds Bounds) []string {
	var found []string
	for i := range h.Engines {
		engine := &h.Engines[i]
		if !engine.Restarted || engine.Service != standin.ServiceDrafts {
			continue
		}
		due := engine.StartedAt.Add(bounds.Reorder)
		lasted := engine.EndedAt.IsZero() || engine.EndedAt.After(due)
		newest := newestOrdered(h, engine.StartedAt)
		if len(engine.Orders) == 0 && engine.Version < newest && lasted && h.anyRunAfter(due) && h.undisturbedIn(engine.Zone, engine.StartedAt, due, bounds) {
			found = append(found, fmt.Sprintf("engine %s started again with version %d, while others had been ordered to %d, and got no order within %s",
				engine.ID, engine.Version, newest, bounds.Reorder))
		}
	}
	return found
}

// newestOrdered is the newest weight version that any engine took an order for before a time.
func newestOrdered(h *History, before time.Time) int64 {
	newest := int64(0)
	for _, engine := range h.Engines {
		for _, order := range engine.Orders {
			if order.Status == statusAccepted && order.At.Before(before) {
				newest = max(newest, order.Version)
			}
		}
	}
	return newest
}

// anyRunAfter tells whether the load went on beyond a time.
func (h *History) anyRunAfter(at time.Time) bool {
	for _, engine := range h.Engines {
		for _, run := range engine.Runs {
			if run.At.After(at) {
				return true
			}
		}
	}
	return false
}

// undisturbedIn tells whether all nodes were in touch for a time in which a zone was not
// evacuated.
func (h *History) undisturbedIn(zone string, from, to time.Time, bounds Bounds) bool {
	for _, evacuation := range h.Evacuations {
		over := !evacuation.TakenBackAt.IsZero() && evacuation.TakenBackAt.Before(from)
		if evacuation.Zone == zone && evacuation.AckedAt.Before(to) && !over {
			return false
		}
	}
	return h.inTouch(anyNode, from, to, bounds.Contact)
}
