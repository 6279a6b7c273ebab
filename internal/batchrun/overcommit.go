package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

const (
	// streamLossWindow is the maximum time between the first and the last stream that a crashing engine breaks.
	streamLossWindow = 500 * time.Millisecond
	// maxOvercommitLosses is how many overcommitted engines may crash while running an item before further crashes
	// are attributed to the item.
	maxOvercommitLosses = 2
)

// overcommitCheck records whether an engine that broke streams had been assigned more than its memory holds.
type overcommitCheck struct {
	at            time.Time
	overcommitted bool
}

// crashedOvercommitted reports whether an engine that broke an item's stream had been assigned more than its memory
// holds. Such a crash is not evidence against an item that fits on its own. The result for the first broken stream
// applies to the engine's other streams too, since their items leave the plan one by one.
func (r *Runner) crashedOvercommitted(key batchplan.Key, engine fleet.Engine, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[key.Job]
	if job == nil || r.overcommitLosses[key] >= maxOvercommitLosses {
		return false
	}
	id := engine.Incarnation()
	known, found := r.overcommitChecks[id]
	if !found || now.Sub(known.at) > streamLossWindow {
		route, _ := r.options.RouteOf(job.record.Host, job.record.Path)
		known = overcommitCheck{at: now, overcommitted: r.plan.MemoryOvercommitted(key, id, route.EngineTokens)}
		r.overcommitChecks[id] = known
	}
	if known.overcommitted {
		r.overcommitLosses[key]++
	}
	return known.overcommitted
}
