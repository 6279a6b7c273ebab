package batchrun

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// slowFactor is how many times slower than the fastest engine an engine must be for its items to be moved,
	// longItemSlowFactor the same for long items only.
	slowFactor         = 1.8
	longItemSlowFactor = 1.2
	// longItemAge is the minimum age of a long item that is moved; see batchplan.MinMoveAge for others.
	longItemAge = time.Second
	never       = time.Duration(1<<63 - 1)
	// maxMoves is the maximum number of times one item is moved.
	maxMoves = 3
	// maxMovesToFast is the same for moves to the fast class, each of which has to pay for itself. It bounds those that
	// engines refuse because of other runners' items.
	maxMovesToFast = 8
)

// MoveReason is why an item is moved to another engine.
type MoveReason uint8

const (
	notMoved MoveReason = iota
	// MovedFromDraining: its engine drains.
	MovedFromDraining
	// MovedFromSlow: its engine is slower than others with free slots. Applies where engines have no speed classes.
	MovedFromSlow
	// MovedToFast: it ends sooner at an engine of the fast class.
	MovedToFast
)

var moveReasonNames = [...]string{
	notMoved: "", MovedFromDraining: "draining_engine", MovedFromSlow: "slow_engine", MovedToFast: "fast_engine",
}

// MoveReasons returns all reasons.
func MoveReasons() []MoveReason { return []MoveReason{MovedFromDraining, MovedFromSlow, MovedToFast} }

// String returns the reason's name in logs and metrics; empty for none.
func (r MoveReason) String() string { return moveReasonNames[r] }

// move is why and where an item is moved.
type move struct {
	reason MoveReason
	// to and gain are set for MovedToFast: the engine chosen and how much sooner the item is expected to end.
	to   incarnation.ID
	gain time.Duration
}

// addTo adds the move, if there is one, to a log line.
func (m move) addTo(line *zerolog.Event) {
	if m.reason == notMoved {
		return
	}
	line.Stringer("move_reason", m.reason)
	if m.reason == MovedToFast {
		line.Stringer("move_to", m.to).Dur("gain_ms", m.gain)
	}
}

// stopToMove stops a run so that its item continues at another engine. Must be called with mu held.
func (r *Runner) stopToMove(running *run, move move) {
	running.move = move
	running.stop(stopMoved)
	if r.options.OnMove != nil {
		r.options.OnMove(move.reason)
	}
}

// classifyEngines updates the speed classes of the engines.
func (r *Runner) classifyEngines(now time.Time) {
	if !r.options.MixedEngines {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range r.plan.Classify(now) {
		line := r.options.Logger.Info().Str("service", change.Service)
		fast := 0
		if classes := change.Classes; classes != nil {
			fast = len(classes.Fast)
			line.Int("others", classes.Others).Dur("fast_pace_ms", classes.FastPace).Dur("other_pace_ms", classes.OtherPace)
		}
		line.Int("fast", fast).Msg("engine speed classes changed")
		if r.options.OnFastEngines != nil {
			r.options.OnFastEngines(change.Service, fast)
		}
	}
}

// moveStragglers stops runs on engines that are slower than others with free slots, so that their items continue
// there. An engine that drains or is much slower loses all its items, one that is slightly slower only the long
// ones. A run that no other engine can continue now stays: its engine may complete it. With speed classes, items move
// to fast engines by what each gains instead. Items in an evacuated zone finish there: its engines keep serving, and a
// move repeats the prompt processing.
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
	now := time.Now()
	views := r.engineViews(now)
	vacancies := r.plan.Vacancies(now, views)
	for key, running := range r.runs {
		job := r.jobs[key.Job]
		if job == nil || running.reason != notStopped || vacancies.Empty() {
			continue
		}
		state := &job.items[key.Item]
		minAge, reason := minAgeToMove(float64(r.plan.Pace(running.engine))/float64(best)), MovedFromSlow
		if r.plan.HasClasses(running.engine) {
			minAge = never
		}
		if engine, known := r.options.Fleet.Find(running.engine); known && engine.Draining {
			minAge, reason = 0, MovedFromDraining
		}
		if state.Moves >= maxMoves || now.Sub(running.started) < minAge || !vacancies.Take(job.moveCandidate(key, running)) {
			continue
		}
		state.Moves++
		r.stopToMove(running, move{reason: reason})
	}
	r.moveToFast(now, views)
}

// moveToFast stops the runs whose items continue on engines of the fast class. Must be called with mu held.
func (r *Runner) moveToFast(now time.Time, views []batchplan.Engine) {
	if !r.options.MixedEngines {
		return
	}
	var candidates []batchplan.MoveCandidate
	for key, running := range r.runs {
		job := r.jobs[key.Job]
		if job == nil || running.reason != notStopped || !r.plan.HasClasses(running.engine) ||
			job.items[key.Item].MovesToFast >= maxMovesToFast {
			continue
		}
		candidates = append(candidates, job.moveCandidate(key, running))
	}
	for _, each := range r.plan.MovesToFast(now, candidates, views) {
		r.jobs[each.Key.Job].items[each.Key.Item].MovesToFast++
		r.plan.Prefer(each.Key, each.To)
		r.stopToMove(r.runs[each.Key], move{reason: MovedToFast, to: each.To, gain: each.Gain})
	}
}

// moveCandidate describes a running item for the plan.
func (j *openJob) moveCandidate(key batchplan.Key, running *run) batchplan.MoveCandidate {
	candidate := batchplan.MoveCandidate{
		Key: key, Model: j.record.Model, MinVersion: j.record.MinVersion, Started: running.started,
	}
	if versions := j.items[key.Item].Output.Versions(); j.singleVersion && len(versions) == 1 {
		candidate.SameVersion = versions[0]
	}
	return candidate
}

// minAgeToMove returns how long an item must have run to be moved from an engine that is slower than the fastest
// by the factor.
func minAgeToMove(factor float64) time.Duration {
	switch {
	case factor >= slowFactor:
		return batchplan.MinMoveAge
	case factor >= longItemSlowFactor:
		return longItemAge
	default:
		return never
	}
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
