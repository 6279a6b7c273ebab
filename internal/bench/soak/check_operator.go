package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// checkDrain reports engines that got new requests after the bound for draining.
func checkDrain(h *History, bounds Bounds) []string {
	var found []string
	drains := make(map[string]time.Time)
	for _, drain := range h.Drains {
		drains[drain.Engine] = drain.At
	}
	forEachRun(h, func(engine *EngineRecord, run standin.Run) {
		drainStart, draining := drains[engine.ID]
		if !draining || run.At.Sub(drainStart) <= bounds.Drain {
			return
		}
		if h.undisturbed(anyNode, drainStart, run.At, bounds.Settle) {
			found = append(found, fmt.Sprintf("engine %s got %s, %s after it was listed as draining", engine.ID, run.ID, run.At.Sub(drainStart)))
		}
	})
	return found
}

const (
	statusNotFound     = 404
	statusUnauthorized = 401
)

// isDenied reports whether a status means that the node's configuration does not allow the request.
func isDenied(status int) bool { return status == statusNotFound || status == statusUnauthorized }

// checkConfigApplied reports nodes that have not applied a configuration within the bound.
func checkConfigApplied(h *History, bounds Bounds) []string {
	var found []string
	for _, late := range h.overdueProbes(h.Probes, bounds) {
		if isDenied(late.Status) {
			found = append(found, fmt.Sprintf("node %d denies the route of configuration %d, %s after the configuration was accepted",
				late.Node, late.Version, late.elapsed))
		}
	}
	return found
}

// overdueProbe is a probe sent after its configuration must have been applied; elapsed is the time since
// acceptance.
type overdueProbe struct {
	Probe
	elapsed time.Duration
}

// overdueProbes returns the probes of undisturbed nodes that were sent after their configuration must
// have been applied.
func (h *History) overdueProbes(probes []Probe, bounds Bounds) []overdueProbe {
	acked := make(map[int64]time.Time)
	for _, config := range h.Configs {
		acked[config.Version] = config.AckedAt
	}
	var overdue []overdueProbe
	for _, probe := range probes {
		at, known := acked[probe.Version]
		after := probe.SentAt.Sub(at)
		if known && after > bounds.Apply && h.undisturbed(probe.Node, probe.SentAt.Add(-bounds.Apply), probe.EndedAt, bounds.Settle) {
			overdue = append(overdue, overdueProbe{probe, after})
		}
	}
	return overdue
}

// checkConfigNoRollback reports processes that served the route of a configuration and later denied it.
func checkConfigNoRollback(h *History, _ Bounds) []string {
	var found []string
	type incarnation struct{ node, incarnation int }
	served := make(map[incarnation]map[int64]time.Time)
	for _, probe := range h.Probes {
		key := incarnation{probe.Node, probe.Incarnation}
		if served[key] == nil {
			served[key] = make(map[int64]time.Time)
		}
		if first := served[key][probe.Version]; probe.Status == statusOK && (first.IsZero() || probe.EndedAt.Before(first)) {
			served[key][probe.Version] = probe.EndedAt
		}
	}
	for _, probe := range h.Probes {
		first, wasServed := served[incarnation{probe.Node, probe.Incarnation}][probe.Version]
		if isDenied(probe.Status) && wasServed && probe.SentAt.After(first) {
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

// checkFencing reports fencing tokens that an engine got from two holders, and holders that keep sending
// orders after they were fenced.
func checkFencing(h *History, bounds Bounds) []string {
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
				found = append(found, fmt.Sprintf("engine %s got orders of %s and %s under token %d", engine.ID, holder, order.Holder, order.Fence))
			}
			holders[order.Fence] = order.Holder
			key := token{order.Holder, order.Fence}
			if firstFenced, wasFenced := fencedAt[key]; wasFenced && order.At.Sub(firstFenced) > bounds.FencedStop {
				found = append(found, fmt.Sprintf("engine %s: %s sent an order %s after it was fenced", engine.ID, order.Holder, order.At.Sub(firstFenced)))
			}
			if order.Status == statusFenced {
				if _, wasFenced := fencedAt[key]; !wasFenced {
					fencedAt[key] = order.At
				}
			}
		}
	}
	return found
}
