package batchrun

import (
	"maps"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// slowFactor is how much slower than the best engine one must be for its items
	// to be moved, slowishFactor for its long items.
	slowFactor    = 1.8
	slowishFactor = 1.2
	// minMovedAge spares items that have only just begun, minLongAge is the age
	// from which an item counts as a long one.
	minMovedAge = 250 * time.Millisecond
	minLongAge  = time.Second
	never       = time.Duration(1<<63 - 1)
	// maxMoves bounds how often one item is moved.
	maxMoves = 3
)

// moveStragglers ends runs at engines that are slower than others with room, so
// that their items continue there. An engine that leaves or has become slow loses
// all its items, one that always was slower only those that have run for long. Items in an
// evacuated zone finish there: its engines serve on, and moving an item has its prompt read again.
func (r *Runner) moveStragglers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := r.plan.BestPace()
	if best == 0 {
		return
	}
	gone := func(engine incarnation.ID) bool {
		_, known := r.options.Fleet.Find(engine)
		return !known
	}
	r.plan.ForgetEngines(gone)
	maps.DeleteFunc(r.crowded, func(engine incarnation.ID, _ crowding) bool { return gone(engine) })
	maps.DeleteFunc(r.pausedUntil, func(engine incarnation.ID, _ time.Time) bool { return gone(engine) })
	room := r.roomAtFast(best)
	now := time.Now()
	for key, each := range r.runs {
		job := r.jobs[key.Job]
		if job == nil || each.reason != notStopped || room[job.record.Model] <= 0 {
			continue
		}
		state := &job.items[key.Item]
		wanted := moveAge(float64(r.plan.Pace(each.engine)) / float64(best))
		if engine, known := r.options.Fleet.Find(each.engine); known && engine.Draining {
			wanted = 0
		}
		if state.Moves >= maxMoves || now.Sub(each.started) < wanted {
			continue
		}
		state.Moves++
		room[job.record.Model]--
		each.stop(stopMoved)
	}
}

// moveAge is how long an item must have run to be moved from an engine that is
// slower than the best by the factor.
func moveAge(factor float64) time.Duration {
	switch {
	case factor >= slowFactor:
		return minMovedAge
	case factor >= slowishFactor:
		return minLongAge
	default:
		return never
	}
}

// roomAtFast counts free places for each model at engines that are about as fast
// as the best; mu is held.
func (r *Runner) roomAtFast(best time.Duration) map[string]int {
	room := make(map[string]int)
	for _, engine := range r.engineViews(time.Now()) {
		pace := r.plan.Pace(engine.ID)
		if !engine.Usable || pace == 0 || !batchplan.IsFast(pace, best) {
			continue
		}
		for model, version := range engine.Versions {
			if engine.Loading != model && version >= r.minVersion(model) {
				room[model] += roomAt(engine, r.plan.Running(engine.ID))
			}
		}
	}
	return room
}

// minVersion returns the newest version that open jobs of the model want at least; mu is held.
func (r *Runner) minVersion(model string) int64 {
	newest := int64(0)
	for _, job := range r.jobs {
		if job.record.Model == model {
			newest = max(newest, job.record.MinVersion)
		}
	}
	return newest
}

// stopAtEnded ends the runs at engines that have started again, so that their items go on elsewhere: what
// such a run still hears comes from a start that knows nothing of it, or never. Nobody is blamed for the end
// of an engine here, since the item may have begun after it; a connection that the engine ended tells.
func (r *Runner) stopAtEnded() {
	starts := r.options.Fleet.Starts()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts == starts {
		return
	}
	r.starts = starts
	for _, each := range r.runs {
		if r.options.Fleet.Followed(each.engine) {
			each.stop(stopEngineEnded)
		}
	}
}
