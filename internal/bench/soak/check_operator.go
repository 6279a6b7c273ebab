package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// checkDrain: an engine that leaves gets no new work after a while.
func checkDrain(h *History, bounds Bounds) []string {
	var found []string
	leaves := make(map[string]time.Time)
	for _, leave := range h.Leaves {
		leaves[leave.Engine] = leave.At
	}
	eachRun(h, func(engine *EngineSeen, run standin.Run) {
		left, leaving := leaves[engine.ID]
		if !leaving || run.At.Sub(left) <= bounds.Drain {
			return
		}
		if h.inTouch(anyNode, left, run.At, bounds.Contact) {
			found = append(found, fmt.Sprintf("engine %s got %s, %s after it was listed as leaving", engine.ID, run.ID, run.At.Sub(left)))
		}
	})
	return found
}

const (
	statusNotFound     = 404
	statusUnauthorized = 401
)

// denies tells whether a node says that the configuration does not allow a request.
func denies(status int) bool { return status == statusNotFound || status == statusUnauthorized }

// checkConfig: a configuration is in force everywhere after a while.
func checkConfig(h *History, bounds Bounds) []string {
	var found []string
	for _, late := range h.bound(h.Probes, bounds) {
		if denies(late.Status) {
			found = append(found, fmt.Sprintf("node %d denies the route of configuration %d, %s after its acceptance",
				late.Node, late.Version, late.after))
		}
	}
	return found
}

// boundProbe is a probe that a configuration binds, so long after its acceptance.
type boundProbe struct {
	Probe
	after time.Duration
}

// bound returns the probes by which their configuration must have been in force.
func (h *History) bound(probes []Probe, bounds Bounds) []boundProbe {
	acked := make(map[int64]time.Time)
	for _, config := range h.Configs {
		acked[config.Version] = config.AckedAt
	}
	var bound []boundProbe
	for _, probe := range probes {
		at, known := acked[probe.Version]
		after := probe.SentAt.Sub(at)
		if known && after > bounds.Apply && h.inTouch(probe.Node, probe.SentAt.Add(-bounds.Apply), probe.EndedAt, bounds.Contact) {
			bound = append(bound, boundProbe{probe, after})
		}
	}
	return bound
}

// checkNoReturn: within the life of a process, a configuration that took effect
// stays in effect.
func checkNoReturn(h *History, _ Bounds) []string {
	var found []string
	type life struct{ node, life int }
	served := make(map[life]map[int64]time.Time)
	for _, probe := range h.Probes {
		key := life{probe.Node, probe.Life}
		if served[key] == nil {
			served[key] = make(map[int64]time.Time)
		}
		if first := served[key][probe.Version]; probe.Status == statusOK && (first.IsZero() || probe.EndedAt.Before(first)) {
			served[key][probe.Version] = probe.EndedAt
		}
	}
	for _, probe := range h.Probes {
		first, was := served[life{probe.Node, probe.Life}][probe.Version]
		if denies(probe.Status) && was && probe.SentAt.After(first) {
			found = append(found, fmt.Sprintf("node %d denies the route of configuration %d, which it served %s before",
				probe.Node, probe.Version, probe.SentAt.Sub(first)))
		}
	}
	return found
}

const (
	statusAccepted = 202
	statusFenced   = 412
)

// checkOneHolder: an engine never takes the same fencing token from two holders,
// and a holder that was refused for a newer one soon stops.
func checkOneHolder(h *History, bounds Bounds) []string {
	var found []string
	type token struct {
		holder string
		fence  int64
	}
	for _, engine := range h.Engines {
		holders := make(map[int64]string)
		fencedAt := make(map[token]time.Time)
		for _, order := range engine.Orders {
			if holder, known := holders[order.Fence]; known && holder != order.Holder {
				found = append(found, fmt.Sprintf("engine %s has orders of %s and %s under token %d", engine.ID, holder, order.Holder, order.Fence))
			}
			holders[order.Fence] = order.Holder
			key := token{order.Holder, order.Fence}
			if refused, was := fencedAt[key]; was && order.At.Sub(refused) > bounds.Lease {
				found = append(found, fmt.Sprintf("engine %s: %s orders %s after it was fenced", engine.ID, order.Holder, order.At.Sub(refused)))
			}
			if order.Status == statusFenced {
				if _, was := fencedAt[key]; !was {
					fencedAt[key] = order.At
				}
			}
		}
	}
	return found
}
