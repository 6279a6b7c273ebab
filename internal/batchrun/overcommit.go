package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// streamLossWindow is the maximum time between the first and the last stream that a crashing engine breaks.
const streamLossWindow = 500 * time.Millisecond

// overcommitCheck records whether an engine that broke streams had been assigned more than its memory holds.
type overcommitCheck struct {
	at            time.Time
	overcommitted bool
}

// wasOvercommitted reports whether an engine that broke an item's stream had been assigned more than its memory holds.
// The result for the first broken stream applies to the engine's other streams too, since their items leave the plan
// one by one.
func (r *Runner) wasOvercommitted(key batchplan.Key, engine fleet.Engine, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[key.Job] == nil {
		return false
	}
	id := engine.Incarnation()
	known, found := r.overcommitChecks[id]
	if !found || now.Sub(known.at) > streamLossWindow {
		memory := r.options.EngineTokensOf(engine.Service)
		known = overcommitCheck{at: now, overcommitted: r.plan.MemoryOvercommitted(key, id, memory)}
		r.overcommitChecks[id] = known
	}
	return known.overcommitted
}
