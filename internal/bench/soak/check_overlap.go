package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// cutMargin is how long after the end of its process the caller may notice that a connection broke.
	cutMargin = time.Second
	// usedShare is the share of its deadline from which a request may end without an answer.
	usedShare = 0.7
)

// checkPlannedStops reports requests that a node passed on to an engine and whose connection ended without a complete
// response around a planned stop of the node. It judges requests only if no other fault was near and the engines that
// ran them went on.
func checkPlannedStops(h *History, bounds Bounds) []string {
	var found []string
	runs := make(map[string][]*EngineRecord)
	forEachRun(h, func(engine *EngineRecord, run standin.Run) { runs[run.ID] = append(runs[run.ID], engine) })
	for _, call := range h.Calls {
		if !call.KeptConnection || call.Intact || len(runs[call.ID]) == 0 || anyEnded(runs[call.ID], call.EndedAt) ||
			call.EndedAt.Sub(call.SentAt) > time.Duration(usedShare*float64(call.Deadline)) {
			continue
		}
		stop := h.plannedStopAt(call.Node, call.EndedAt)
		if stop == nil || !h.onlyPlannedStops(call.SentAt.Add(-bounds.Settle), call.EndedAt) {
			continue
		}
		found = append(found, fmt.Sprintf("node %d cut %s, which an engine ran, %s after its planned stop began; it was sent %s before",
			call.Node, call.ID, call.EndedAt.Sub(stop.From), call.EndedAt.Sub(call.SentAt)))
	}
	return found
}

// anyEnded reports whether an engine had ended by a time, or ended within cutMargin after it.
func anyEnded(engines []*EngineRecord, at time.Time) bool {
	for _, engine := range engines {
		if !engine.EndedAt.IsZero() && engine.EndedAt.Before(at.Add(cutMargin)) {
			return true
		}
	}
	return false
}

// plannedStopAt returns the planned stop of a node under way at a time, or nil.
func (h *History) plannedStopAt(node int, at time.Time) *Disturbance {
	for _, each := range h.Disturbances {
		if each.PlannedStop && each.Node == node && each.From.Before(at) && (each.To.IsZero() || at.Before(each.To.Add(cutMargin))) {
			return each
		}
	}
	return nil
}

// onlyPlannedStops reports whether no fault but planned stops affected any node in a period.
func (h *History) onlyPlannedStops(from, to time.Time) bool {
	for _, each := range h.Disturbances {
		if !each.PlannedStop && each.From.Before(to) && (each.To.IsZero() || each.To.After(from)) {
			return false
		}
	}
	return true
}

// checkSingleVersions reports samples of several weight versions where the route requires a single one.
func checkSingleVersions(h *History, _ Bounds) []string {
	var found []string
	for _, job := range h.Jobs {
		for _, result := range job.Positions {
			if job.SingleVersion && len(result.Versions) > 1 {
				found = append(found, fmt.Sprintf("job %s item %s has versions %v", job.Job.ID, result.ID, result.Versions))
			}
		}
	}
	return found
}
