package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// checkOrderCounts reports orders that expect a restarted engine to have accepted the orders of its
// previous incarnation.
func checkOrderCounts(h *History, bounds Bounds) []string {
	var found []string
	for i := range h.Engines {
		engine := &h.Engines[i]
		if !engine.Restarted {
			continue
		}
		for _, order := range engine.Orders {
			node, _ := commandSender(order.Holder, order.From)
			knowsRestart := order.At.Sub(engine.StartedAt) > bounds.Settle && h.undisturbed(node, engine.StartedAt, order.At, bounds.Settle)
			if knowsRestart && order.ExpectedCount > order.AcceptedCount {
				found = append(found, fmt.Sprintf("engine %s, restarted %s before, got an order that expects %d accepted orders; it has accepted %d",
					engine.ID, order.At.Sub(engine.StartedAt), order.ExpectedCount, order.AcceptedCount))
			}
		}
	}
	return found
}

// checkRestartedOrdered reports engines that restarted without their weights and got no order to load
// them.
func checkRestartedOrdered(h *History, bounds Bounds) []string {
	var found []string
	for i := range h.Engines {
		engine := &h.Engines[i]
		if !engine.Restarted || engine.Service != standin.ServiceDrafts {
			continue
		}
		deadline := engine.StartedAt.Add(bounds.Reorder)
		stillRunning := engine.EndedAt.IsZero() || engine.EndedAt.After(deadline)
		newest := newestOrderedVersion(h, engine.StartedAt)
		if len(engine.Orders) == 0 && engine.Version < newest && stillRunning && h.anyRunAfter(deadline) &&
			h.zoneUndisturbed(engine.Zone, engine.StartedAt, deadline, bounds) {
			found = append(found, fmt.Sprintf("engine %s restarted with version %d while others had been ordered to load %d, and got no order within %s",
				engine.ID, engine.Version, newest, bounds.Reorder))
		}
	}
	return found
}

// newestOrderedVersion returns the newest weight version in any order that an engine accepted before the
// given time.
func newestOrderedVersion(h *History, before time.Time) int64 {
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

// anyRunAfter reports whether any engine ran a request after the given time.
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

// zoneUndisturbed reports whether all nodes were undisturbed and the zone was not evacuated between two
// times.
func (h *History) zoneUndisturbed(zone string, from, to time.Time, bounds Bounds) bool {
	for _, evacuation := range h.Evacuations {
		endedBefore := !evacuation.LiftedAt.IsZero() && evacuation.LiftedAt.Before(from)
		if evacuation.Zone == zone && evacuation.AckedAt.Before(to) && !endedBefore {
			return false
		}
	}
	return h.undisturbed(anyNode, from, to, bounds.Settle)
}
