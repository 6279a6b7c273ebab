package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// senderOfArrival returns the node that a request came from; anyNode where it is not known.
func senderOfArrival(arrival standin.Arrival) int {
	if node, told := senderAt(arrival.From); told {
		return node
	}
	return anyNode
}

// checkEvacuations: no request of a node in touch reaches an engine of a zone that has been
// evacuated for a while.
func checkEvacuations(h *History, bounds Bounds) []string {
	var found []string
	for _, evacuation := range h.Evacuations {
		inForce := evacuation.AckedAt.Add(bounds.Evacuate)
		for i := range h.Engines {
			engine := &h.Engines[i]
			if engine.Zone != evacuation.Zone {
				continue
			}
			for _, arrival := range engine.Arrivals {
				if !arrival.At.After(inForce) || !evacuation.TakenBackAt.IsZero() && !arrival.At.Before(evacuation.TakenBackAt) {
					continue
				}
				node := senderOfArrival(arrival)
				if h.inTouch(node, arrival.At, arrival.At, bounds.Contact) {
					found = append(found, fmt.Sprintf("engine %s got %s from node %d, %s after zone %s was evacuated",
						engine.ID, arrival.ID, node, arrival.At.Sub(evacuation.AckedAt), evacuation.Zone))
				}
			}
		}
	}
	return found
}

const (
	// A cold engine may get coldFactor of its rate, and coldExtra requests more, in any coldWindow.
	coldFactor = 1.5
	coldExtra  = 5
	coldWindow = time.Second
)

// checkSlowStart: a cold engine gets no more than its rate from all nodes together.
func checkSlowStart(h *History, bounds Bounds) []string {
	var found []string
	for i := range h.Engines {
		engine := &h.Engines[i]
		most := int(coldPerSecond[engine.Service]*coldFactor) + coldExtra
		for _, cold := range engine.Cold {
			from := cold.From
			if cold.Announced {
				from = from.Add(bounds.Notice)
			}
			if got, at := mostWithin(engine.Arrivals, from, cold.To); got > most {
				found = append(found, fmt.Sprintf("engine %s, cold for %s, got %d requests in the second from %s on, %d allowed",
					engine.ID, cold.To.Sub(cold.From), got, at.Format(clockFormat), most))
			}
		}
	}
	return found
}

// mostWithin returns the most arrivals in any coldWindow of a time, and when that window
// begins.
func mostWithin(arrivals []standin.Arrival, from, to time.Time) (most int, begins time.Time) {
	var within []time.Time
	for _, arrival := range arrivals {
		if arrival.At.Before(from) || arrival.At.After(to) {
			continue
		}
		within = append(within, arrival.At)
		for arrival.At.Sub(within[0]) >= coldWindow {
			within = within[1:]
		}
		if len(within) > most {
			most, begins = len(within), within[0]
		}
	}
	return most, begins
}
