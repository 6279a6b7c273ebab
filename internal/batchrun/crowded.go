package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

const (
	// togetherTime is how long after the first stream of an engine that ends the others break off at the latest.
	togetherTime = 500 * time.Millisecond
	// maxCrowdedEnds is how many engines may end under one item because they were crowded. From then on the item
	// is held to blame like any other: whatever else it is, it does engines no good.
	maxCrowdedEnds = 2
)

// crowding is whether an engine that broke streams off had been given more than its memory holds.
type crowding struct {
	at      time.Time
	crowded bool
}

// endedCrowded tells whether an engine that ended an item's stream had been given more than its memory holds. Its
// end says nothing of an item that fits by itself. All streams of an engine that ends break off together, so what
// the first one finds holds for the others, whose items are taken out one by one.
func (r *Runner) endedCrowded(key batchplan.Key, engine fleet.Engine, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[key.Job]
	if job == nil || r.crowdedEnds[key] >= maxCrowdedEnds {
		return false
	}
	id := engine.Incarnation()
	known, found := r.crowded[id]
	if !found || now.Sub(known.at) > togetherTime {
		route, _ := r.options.RouteOf(job.record.Host, job.record.Path)
		known = crowding{at: now, crowded: r.plan.Crowded(key, id, route.EngineTokens)}
		r.crowded[id] = known
	}
	if known.crowded {
		r.crowdedEnds[key]++
	}
	return known.crowded
}
