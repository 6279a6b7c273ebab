package batchrun

import (
	"maps"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// slowFactor is how many times slower than the fastest engine an engine must be for its items to be moved,
	// longItemSlowFactor the same for long items only.
	slowFactor         = 1.8
	longItemSlowFactor = 1.2
	// minMoveAge is the minimum age of an item that is moved, longItemAge that of a long item.
	minMoveAge  = 250 * time.Millisecond
	longItemAge = time.Second
	never       = time.Duration(1<<63 - 1)
	// maxMoves is the maximum number of times one item is moved.
	maxMoves = 3
)

// moveStragglers stops runs on engines that are slower than others with free slots, so that their items continue
// there. An engine that drains or is much slower loses all its items, one that is slightly slower only the long
// ones. Items in an evacuated zone finish there: its engines keep serving, and a move repeats the prompt
// processing.
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
	maps.DeleteFunc(r.overcommitChecks, func(engine incarnation.ID, _ overcommitCheck) bool { return gone(engine) })
	maps.DeleteFunc(r.pausedUntil, func(engine incarnation.ID, _ time.Time) bool { return gone(engine) })
	free := r.fastFreeSlots(best)
	now := time.Now()
	for key, running := range r.runs {
		job := r.jobs[key.Job]
		if job == nil || running.reason != notStopped || free[job.record.Model] <= 0 {
			continue
		}
		state := &job.items[key.Item]
		minAge := minAgeToMove(float64(r.plan.Pace(running.engine)) / float64(best))
		if engine, known := r.options.Fleet.Find(running.engine); known && engine.Draining {
			minAge = 0
		}
		if state.Moves >= maxMoves || now.Sub(running.started) < minAge {
			continue
		}
		state.Moves++
		free[job.record.Model]--
		running.stop(stopMoved)
	}
}

// minAgeToMove returns how long an item must have run to be moved from an engine that is slower than the fastest
// by the factor.
func minAgeToMove(factor float64) time.Duration {
	switch {
	case factor >= slowFactor:
		return minMoveAge
	case factor >= longItemSlowFactor:
		return longItemAge
	default:
		return never
	}
}

// fastFreeSlots returns the number of free slots per model on engines about as fast as the best. Must be called
// with mu held.
func (r *Runner) fastFreeSlots(best time.Duration) map[string]int {
	free := make(map[string]int)
	for _, engine := range r.engineViews(time.Now()) {
		pace := r.plan.Pace(engine.ID)
		if !engine.Usable || pace == 0 || !batchplan.IsFast(pace, best) {
			continue
		}
		for model, version := range engine.Versions {
			if engine.Loading != model && version >= r.minVersion(model) {
				free[model] += freeSlots(engine, r.plan.Running(engine.ID))
			}
		}
	}
	return free
}

// minVersion returns the highest minimum weight version of the model's open jobs. Must be called with mu held.
func (r *Runner) minVersion(model string) int64 {
	highest := int64(0)
	for _, job := range r.jobs {
		if job.record.Model == model {
			highest = max(highest, job.record.MinVersion)
		}
	}
	return highest
}

// stopRunsOnRestartedEngines stops the runs on engines that have restarted, so that their items continue elsewhere: the
// new incarnation does not know them. The crash is not attributed to the items, which may have started after it;
// reportOutcome handles those whose connection was lost.
func (r *Runner) stopRunsOnRestartedEngines() {
	incarnationsListed := r.options.Fleet.IncarnationsListed()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incarnationsListed == incarnationsListed {
		return
	}
	r.incarnationsListed = incarnationsListed
	for _, running := range r.runs {
		if r.options.Fleet.IsReplaced(running.engine) {
			running.stop(stopEngineRestarted)
		}
	}
}
