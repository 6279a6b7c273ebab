package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// arrivalSender returns the node that sent a request, or anyNode if it is not known.
func arrivalSender(arrival standin.Arrival) int {
	if node, resolved := nodeAtAddress(arrival.From); resolved {
		return node
	}
	return anyNode
}

// checkEvacuations reports requests of undisturbed nodes that reached an evacuated zone after the bound.
func checkEvacuations(h *History, bounds Bounds) []string {
	var found []string
	for _, evacuation := range h.Evacuations {
		deadline := evacuation.AckedAt.Add(bounds.Evacuate)
		for i := range h.Engines {
			engine := &h.Engines[i]
			if engine.Zone != evacuation.Zone {
				continue
			}
			for _, arrival := range engine.Arrivals {
				if !arrival.At.After(deadline) || !evacuation.LiftedAt.IsZero() && !arrival.At.Before(evacuation.LiftedAt) {
					continue
				}
				node := arrivalSender(arrival)
				if h.undisturbed(node, arrival.At, arrival.At, bounds.Settle) {
					found = append(found, fmt.Sprintf("engine %s got %s from node %d, %s after zone %s was evacuated",
						engine.ID, arrival.ID, node, arrival.At.Sub(evacuation.AckedAt), evacuation.Zone))
				}
			}
		}
	}
	return found
}

const (
	// A cold engine may get coldFactor times its rate plus coldExtra requests in any coldWindow.
	coldFactor = 1.5
	coldExtra  = 5
	coldWindow = time.Second
)

// checkSlowStart reports cold engines that got more than their rate from all nodes together.
func checkSlowStart(h *History, bounds Bounds) []string {
	var found []string
	for i := range h.Engines {
		engine := &h.Engines[i]
		limit := int(coldPerSecond[engine.Service]*coldFactor) + coldExtra
		for _, cold := range engine.Cold {
			from := cold.From
			if cold.Announced {
				from = from.Add(bounds.ColdNotice)
			}
			if peak, at := peakArrivals(engine.Arrivals, from, cold.To); peak > limit {
				found = append(found, fmt.Sprintf("engine %s, cold for %s, got %d requests in the second from %s, limit %d",
					engine.ID, cold.To.Sub(cold.From), peak, at.Format(clockFormat), limit))
			}
		}
	}
	return found
}

// peakArrivals returns the highest number of arrivals in any coldWindow between two times, and when that
// window begins.
func peakArrivals(arrivals []standin.Arrival, from, to time.Time) (peak int, begins time.Time) {
	var window []time.Time
	for _, arrival := range arrivals {
		if arrival.At.Before(from) || arrival.At.After(to) {
			continue
		}
		window = append(window, arrival.At)
		for arrival.At.Sub(window[0]) >= coldWindow {
			window = window[1:]
		}
		if len(window) > peak {
			peak, begins = len(window), window[0]
		}
	}
	return peak, begins
}
