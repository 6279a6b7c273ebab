package batchrun

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/sendgate"
)

const (
	// stallTimeout ends a run whose stream has been silent for so long,
	// loadingTimeout one at an engine that changes its weights, which keeps it
	// silent for a second or two.
	stallTimeout   = 1300 * time.Millisecond
	loadingTimeout = 3500 * time.Millisecond
	// stoodStill is the time between two ticks after which this process itself
	// must have stood still.
	stoodStill = 4 * tickPeriod
	// measuredEvents is how many events one measurement of an engine's pace takes.
	measuredEvents = 4
)

// stopReason is why a run was ended from outside.
type stopReason uint8

const (
	notStopped stopReason = iota
	// stopDropped: the item needs no run any more.
	stopDropped
	// stopMoved: the item continues at another engine.
	stopMoved
	// stopStalled: the stream fell silent.
	stopStalled
	// stopEngineEnded: the list tells of another start of the engine.
	stopEngineEnded
)

var stopReasonNames = [...]string{
	notStopped: "", stopDropped: "dropped", stopMoved: "moved", stopStalled: "silent",
	stopEngineEnded: "engine_ended",
}

// String returns the reason as it stands in logs; empty for none.
func (r stopReason) String() string { return stopReasonNames[r] }

// run is one item at one engine.
type run struct {
	engine  incarnation.ID
	started time.Time
	// apart is true where nothing else begins at the engine for batchplan.IsolationTime.
	apart  bool
	cancel context.CancelFunc
	// look is the last look at the call before it leaves.
	look *sendgate.Look
	// reason is guarded by the runner's mu.
	reason stopReason
	// heardAt is when the stream was heard last, in nanoseconds since 1970; stall
	// looks at it when it may have fallen silent.
	heardAt atomic.Int64
	stall   atomic.Pointer[time.Timer]
	// began is true once the engine has sent an event; guarded by the runner's mu.
	began bool
	// measured counts the events since measuredFrom; the runner's mu guards both.
	measured     int
	measuredFrom time.Time
}

// checkStall stops a run whose stream is silent, or looks again later. A process
// that stood still itself gives its streams time to be heard.
func (r *Runner) checkStall(own *run) {
	timeout := stallTimeout
	if r.options.Loading(own.engine) != "" {
		timeout = loadingTimeout
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	left := timeout - now.Sub(time.Unix(0, own.heardAt.Load()))
	if stood := now.Sub(r.tickedAt); stood > stoodStill {
		left = max(left, stoodStill)
	}
	if left <= 0 {
		own.stop(stopStalled)
		return
	}
	if timer := own.stall.Load(); timer != nil {
		timer.Reset(left)
	}
}

// stop ends the run; the first reason stands. The runner's mu is held.
func (r *run) stop(reason stopReason) {
	if r.reason == notStopped {
		r.reason = reason
	}
	r.cancel()
}

// start begins an assigned item; mu is held.
func (r *Runner) start(assignment batchplan.Assignment) {
	key := assignment.Item.Key
	job := r.jobs[key.Job]
	engine, known := r.options.Fleet.Find(assignment.Engine)
	if job == nil || !known || !r.mayRun(job, engine) {
		r.plan.Ended(key)
		if job != nil {
			r.queueItem(job, key.Item, incarnation.ID{}, time.Now().Add(retryDelay))
		}
		return
	}
	mayLeave, admitted := r.admit(engine)
	if !admitted {
		r.plan.Ended(key)
		r.plan.Add(assignment.Item)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	started := &run{
		engine: engine.Incarnation(), started: time.Now(), apart: assignment.Item.Suspect, cancel: cancel,
		look: r.options.Gate.Look(engine.Incarnation(), mayLeave),
	}
	r.runs[key] = started
	state := &job.items[key.Item]
	record := job.record.Items[key.Item]
	call := job.call(key.Item)
	call.After, call.Started = state.Output.Last(), !state.Output.Empty()
	call.MayLeave = started.look.MayLeave
	r.options.Logger.Info().Str("job", key.Job).Str("item", record.ID).Str("group", record.Group).Stringer("engine", started.engine).
		Int("running", assignment.Running).Bool("cold", mayLeave != nil).Dur("pace_ms", assignment.Pace).
		Int64("version", engine.Versions[job.record.Model]).Int64("after_event", call.After).
		Int("length", record.Length).Int("tokens", record.Tokens).
		Dur("waited_ms", time.Since(job.addedAt)).Msg("item started")
	r.options.Fleet.Began(engine.Incarnation())
	r.wait.Go(func() {
		defer cancel()
		err := r.follow(ctx, job, key, engine, started, call)
		r.observeCrash(key, engine, started, call, err)
		r.ended(job, key, started, err)
	})
}

// observeCrash finds out what became of an engine that ended an item's stream, and
// remembers which items gave a whole one.
func (r *Runner) observeCrash(key batchplan.Key, engine fleet.Engine, own *run, call Call, err error) {
	if errors.Is(err, io.EOF) {
		r.options.Guard.Answered(call.fingerprint)
		return
	}
	var refused *RefusedError
	if !errors.As(err, &refused) || !refused.ConnectionLost {
		return
	}
	if r.endedCrowded(key, engine, time.Now()) {
		r.options.Logger.Warn().Str("job", key.Job).Str("item", call.ItemID).Stringer("engine", engine.Incarnation()).
			Msg("engine ended with more items than its memory holds")
		return
	}
	r.options.Guard.ConnectionLost(r.ctx, crashes.Loss{
		Engine: engine, RequestID: call.ItemID, Fingerprint: call.fingerprint(),
		Isolated: own.apart && time.Since(own.started) < batchplan.IsolationTime,
	})
}

// follow starts the stream and takes its events until it ends.
func (r *Runner) follow(
	ctx context.Context, job *openJob, key batchplan.Key, engine fleet.Engine, own *run, call Call,
) error {
	own.heardAt.Store(time.Now().UnixNano())
	stall := time.AfterFunc(stallTimeout, func() { r.checkStall(own) })
	own.stall.Store(stall)
	defer stall.Stop()
	stream, err := r.options.Engines.Stream(ctx, engine, call)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		now := time.Now()
		own.heardAt.Store(now.UnixNano())
		if err := r.take(job, key, own, event, now); err != nil {
			return err
		}
	}
}

// errNotWanted ends a run whose item has ended meanwhile.
var errNotWanted = errors.New("the item is not wanted any more")

// take adds an event to the item's output.
func (r *Runner) take(
	job *openJob, key batchplan.Key, own *run, event Event, now time.Time,
) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	item := &job.items[key.Item]
	if item.Ended() || r.runs[key] != own || own.reason != notStopped {
		return errNotWanted
	}
	if !own.began {
		own.began = true
		r.options.Fleet.Heard(own.engine, now)
	}
	switch item.Output.Add(event, job.limits()) {
	case batchitem.OutOfOrder:
		return &RefusedError{Refusal: Broken, Detail: "an event is missing or stands twice"}
	case batchitem.TooOld:
		return &RefusedError{Refusal: NotExecuted, Detail: "made by weights older than the job allows"}
	case batchitem.SecondVersion:
		return &RefusedError{Refusal: NotExecuted, Detail: "the weights changed, and the route wants one version"}
	}
	r.observePace(own, now)
	return nil
}

// observePace measures the time between events over some of them, since those
// that had to wait in this process come together; mu is held.
func (r *Runner) observePace(own *run, now time.Time) {
	if own.measuredFrom.IsZero() {
		own.measuredFrom = now
		return
	}
	own.measured++
	if own.measured < measuredEvents {
		return
	}
	r.options.Fleet.Continues(own.engine, own.started, own.measuredFrom)
	if r.options.Loading(own.engine) == "" {
		r.plan.ObservePace(own.engine, now.Sub(own.measuredFrom)/measuredEvents)
	}
	own.measuredFrom, own.measured = now, 0
}

// ended takes the end of a run: it finishes the item or queues it again.
func (r *Runner) ended(job *openJob, key batchplan.Key, own *run, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole := errors.Is(err, io.EOF)
	outcome := fleet.Outcome{At: time.Now()}
	var refused *RefusedError
	refusal := Broken
	if errors.As(err, &refused) {
		refusal = refused.Refusal
	}
	if own.reason == notStopped && !whole && r.ctx.Err() == nil {
		outcome.Failed = refusal == Broken
		outcome.Unreached = refusal == Broken
		outcome.RefusedItem = refusal == NotExecuted && !own.began
		outcome.Gone = refusal == WrongEngine
	}
	if own.reason == stopStalled {
		outcome.Failed, outcome.Unreached = true, true
	}
	r.options.Fleet.Ended(own.engine, outcome)
	if refusal == NotExecuted && own.reason == notStopped {
		r.pausedUntil[own.engine] = outcome.At.Add(refusedPause)
	}
	if r.runs[key] == own {
		delete(r.runs, key)
		r.plan.Ended(key)
	}
	if job.items[key.Item].Ended() || r.jobs[key.Job] != job {
		return
	}
	whole = whole && own.reason == notStopped
	switch {
	case r.ctx.Err() != nil && whole:
		// The term is over: the next leader finds in the log that nothing is missing.
		job.items[key.Item].Whole()
		return
	case r.ctx.Err() != nil:
		return
	case whole:
		r.textWhole(job, key.Item, "whole")
		r.Wake()
		return
	}
	r.tryAgain(job, key, own, refusal, err)
}

// tryAgain queues an item whose run did not end well, or gives it up; mu is held.
func (r *Runner) tryAgain(job *openJob, key batchplan.Key, own *run, refusal Refusal, err error) {
	state := &job.items[key.Item]
	route, _ := r.options.RouteOf(job.record.Host, job.record.Path)
	r.options.Logger.Warn().Err(err).Str("job", key.Job).Str("item", job.record.Items[key.Item].ID).
		Stringer("engine", own.engine).Stringer("refusal", refusal).Stringer("stop_reason", own.reason).
		Stringer("held_back", own.look.Held()).
		Int64("after_event", state.Output.Last()).Dur("ran_ms", time.Since(own.started)).Msg("run ended early")
	notBefore := time.Now().Add(retryDelay)
	if own.reason != notStopped {
		r.queueItem(job, key.Item, own.engine, time.Time{})
		r.Wake()
		return
	}
	switch refusal {
	case HeldBack:
		r.queueItem(job, key.Item, own.engine, time.Time{})
		r.Wake()
		return
	case Impossible:
		r.expire(job, key.Item, "impossible")
		return
	case Failed:
		if state.RunFailed(route.MaxAttempts) {
			r.expire(job, key.Item, "attempts used up")
			return
		}
	}
	r.queueItem(job, key.Item, own.engine, notBefore)
}
