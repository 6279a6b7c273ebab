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
	// stallTimeout is the maximum time between two events of a stream, loadingTimeout the same for an engine that
	// is loading weights, which sends nothing for a second or two.
	stallTimeout   = 1300 * time.Millisecond
	loadingTimeout = 3500 * time.Millisecond
	// maxTickGap is the time between two ticks above which this process is assumed to have been paused.
	maxTickGap = 4 * tickPeriod
	// paceSampleEvents is the number of events over which an engine's pace is sampled.
	paceSampleEvents = 4
)

// stopReason is why the runner stopped a run.
type stopReason uint8

const (
	notStopped stopReason = iota
	// stopDropped: the item no longer needs a run.
	stopDropped
	// stopMoved: the item continues on another engine.
	stopMoved
	// stopStalled: the stream sent nothing for too long.
	stopStalled
	// stopEngineRestarted: the engine has restarted.
	stopEngineRestarted
)

var stopReasonNames = [...]string{
	notStopped: "", stopDropped: "dropped", stopMoved: "moved", stopStalled: "silent",
	stopEngineRestarted: "engine_ended",
}

// String returns the reason's name in logs; empty for none.
func (r stopReason) String() string { return stopReasonNames[r] }

// run is one item running on one engine.
type run struct {
	engine  incarnation.ID
	started time.Time
	cancel  context.CancelFunc
	// sendCheck is the final check before the call is sent.
	sendCheck *sendgate.Check
	// fast reports whether the engine is in the fast class of its service, long whether the item counted as long.
	fast, long bool
	// reason and move are guarded by the runner's mu; move is set if reason is stopMoved.
	reason stopReason
	move   move
	// lastEventAt is when the stream last sent an event, as Unix time in nanoseconds; stallTimer fires when it may
	// have stalled.
	lastEventAt atomic.Int64
	stallTimer  atomic.Pointer[time.Timer]
	// hasEvents is set once the engine has sent an event; guarded by the runner's mu.
	hasEvents bool
	// sampleEvents is the number of events since sampleStart; both are guarded by the runner's mu.
	sampleEvents int
	sampleStart  time.Time
}

// checkStall stops a run whose stream has stalled, or checks again later. After a pause of this process, streams
// get time to deliver what has arrived meanwhile.
func (r *Runner) checkStall(current *run) {
	timeout := stallTimeout
	if r.options.LoadingModel(current.engine) != "" {
		timeout = loadingTimeout
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	left := timeout - now.Sub(time.Unix(0, current.lastEventAt.Load()))
	if gap := now.Sub(r.lastTickAt); gap > maxTickGap {
		left = max(left, maxTickGap)
	}
	if left <= 0 {
		current.stop(stopStalled)
		return
	}
	if timer := current.stallTimer.Load(); timer != nil {
		timer.Reset(left)
	}
}

// stop cancels the run; the first reason is kept. Must be called with the runner's mu held.
func (r *run) stop(reason stopReason) {
	if r.reason == notStopped {
		r.reason = reason
	}
	r.cancel()
}

// start starts an assigned item, or queues it again if the engine may not run it now. Must be called with mu held.
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
	permitValid, admitted := r.admit(engine)
	if !admitted {
		r.plan.Ended(key)
		r.plan.Add(assignment.Item)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	started := &run{
		engine: engine.Incarnation(), started: time.Now(), cancel: cancel,
		fast: assignment.Fast, long: assignment.Long,
		sendCheck: r.options.Gate.Check(engine.Incarnation(), permitValid),
	}
	r.runs[key] = started
	if reason, restarts := restartDropReasons[assignment.Restart]; restarts {
		r.dropOutput(job, key.Item, reason)
	}
	state := &job.items[key.Item]
	record := job.record.Items[key.Item]
	call := job.call(key.Item)
	call.LastEvent, call.Continues = state.Output.Last(), !state.Output.Empty()
	call.MaySend = started.sendCheck.MaySend
	line := r.options.Logger.Info()
	if assignment.Surplus {
		line = line.Bool("surplus", true)
	}
	line.Str("job", key.Job).Str("item", record.ID).Str("group", record.Group).
		Stringer("engine", started.engine).Int("running", assignment.Running).Bool("cold", permitValid != nil).Dur("pace_ms", assignment.Pace).
		Int64("version", engine.Versions[job.record.Model]).Int64("after_event", call.LastEvent).
		Int("length", record.Length).Int("tokens", record.Tokens).Bool("fast", started.fast).Bool("long", started.long).
		Dur("waited_ms", time.Since(job.addedAt)).Dur("idle_ms", time.Since(assignment.Item.WaitingSince)).
		Stringer("wait_reason", assignment.Wait.Reason).Msg("item started")
	r.options.Fleet.RequestStarted(engine.Incarnation())
	r.wait.Go(func() {
		defer cancel()
		err := r.readStream(ctx, job, key, engine, started, call)
		r.reportConnectionLost(key, engine, call, err)
		r.runEnded(job, key, started, err)
	})
}

// reportConnectionLost reports a connection that the engine closed during a run. Must be called without mu held.
func (r *Runner) reportConnectionLost(key batchplan.Key, engine fleet.Engine, call Call, err error) {
	var callError *CallError
	if !errors.As(err, &callError) || !callError.ConnectionLost {
		return
	}
	if r.wasOvercommitted(key, engine, time.Now()) {
		r.options.Logger.Warn().Str("job", key.Job).Str("item", call.ItemID).Stringer("engine", engine.Incarnation()).
			Msg("overcommitted engine lost its connections")
		return
	}
	r.options.Crashes.ConnectionLost(r.ctx, crashes.LostConnection{Engine: engine, RequestID: call.ItemID})
}

// readStream starts the stream and adds its events to the output until it ends.
func (r *Runner) readStream(
	ctx context.Context, job *openJob, key batchplan.Key, engine fleet.Engine, current *run, call Call,
) error {
	current.lastEventAt.Store(time.Now().UnixNano())
	stallTimer := time.AfterFunc(stallTimeout, func() { r.checkStall(current) })
	current.stallTimer.Store(stallTimer)
	defer stallTimer.Stop()
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
		current.lastEventAt.Store(now.UnixNano())
		if err := r.addEvent(job, key, current, event, now); err != nil {
			return err
		}
	}
}

// errItemDone ends a run that has been stopped, or whose item has ended, meanwhile.
var errItemDone = errors.New("item already ended or run stopped")

// addEvent adds an event to the item's output.
func (r *Runner) addEvent(
	job *openJob, key batchplan.Key, current *run, event Event, now time.Time,
) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	item := &job.items[key.Item]
	if item.Ended() || r.runs[key] != current || current.reason != notStopped {
		return errItemDone
	}
	if !current.hasEvents {
		current.hasEvents = true
		r.options.Fleet.RecordResponse(current.engine, now)
	}
	before := item.Output
	switch item.Output.Add(event, job.limitsOf(key.Item)) {
	case batchitem.OutOfOrder:
		return &CallError{Kind: InvalidResponse, Detail: "event number out of sequence"}
	case batchitem.VersionTooOld:
		r.reportDropped(job, key.Item, before, DroppedOldVersion)
		return &CallError{Kind: NotExecuted, Detail: "event from a weight version below the job's minimum"}
	case batchitem.MixedVersions:
		r.reportDropped(job, key.Item, before, DroppedMixedVersions)
		return &CallError{Kind: NotExecuted, Detail: "weight version changed, but the route requires a single version"}
	case batchitem.TooLong:
		r.reportDropped(job, key.Item, before, DroppedTooLong)
		return &CallError{Kind: InvalidResponse, Detail: "output is longer than any of the item"}
	}
	item.IdleSince, item.WaitingSince = now, time.Time{}
	r.observePace(current, now)
	if r.options.MixedEngines || r.options.DueOrder {
		r.plan.RecordEvents(key, item.Output.Last())
	}
	return nil
}

// observePace measures the time between events over several of them, since events delayed within this process
// arrive together. Must be called with mu held.
func (r *Runner) observePace(current *run, now time.Time) {
	if current.sampleStart.IsZero() {
		current.sampleStart = now
		return
	}
	current.sampleEvents++
	if current.sampleEvents < paceSampleEvents {
		return
	}
	r.options.Fleet.RecordStreamProgress(current.engine, current.started, current.sampleStart)
	if r.options.LoadingModel(current.engine) == "" {
		r.plan.ObservePace(current.engine, now.Sub(current.sampleStart)/paceSampleEvents)
	}
	current.sampleStart, current.sampleEvents = now, 0
}

// runEnded handles the end of a run: it completes the item or queues it again.
func (r *Runner) runEnded(job *openJob, key batchplan.Key, current *run, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	complete := errors.Is(err, io.EOF)
	outcome := fleet.Outcome{At: time.Now()}
	var callError *CallError
	errorKind := InvalidResponse
	if errors.As(err, &callError) {
		errorKind = callError.Kind
	}
	if current.reason == notStopped && !complete && r.ctx.Err() == nil {
		outcome.Failed = errorKind == InvalidResponse
		outcome.Unreached = errorKind == InvalidResponse
		outcome.RefusedItem = errorKind == NotExecuted && !current.hasEvents
		outcome.AddressReused = errorKind == WrongEngine
	}
	if current.reason == stopStalled {
		outcome.Failed, outcome.Unreached = true, true
	}
	r.options.Fleet.RequestEnded(current.engine, outcome)
	if errorKind == NotExecuted && current.reason == notStopped {
		r.pausedUntil[current.engine] = outcome.At.Add(refusalPause)
	}
	if r.runs[key] == current {
		delete(r.runs, key)
		r.plan.Ended(key)
	}
	if job.items[key.Item].Ended() || r.jobs[key.Job] != job {
		return
	}
	complete = complete && current.reason == notStopped
	switch {
	case r.ctx.Err() != nil && complete:
		// The output is marked as complete, so that the last write of progress, if it is still to come, records this
		// for the next leader.
		job.items[key.Item].StartScoring()
		return
	case r.ctx.Err() != nil:
		return
	case complete:
		r.outputComplete(job, key.Item, "whole")
		r.Wake()
		return
	}
	r.retryOrExpire(job, key, current, errorKind, err)
}

// retryOrExpire queues an item whose run did not complete, or expires it. Must be called with mu held.
func (r *Runner) retryOrExpire(job *openJob, key batchplan.Key, current *run, errorKind CallErrorKind, err error) {
	state := &job.items[key.Item]
	route, _ := r.options.RouteOf(job.record.Host, job.record.Path)
	line := r.options.Logger.Warn().Err(err).Str("job", key.Job).Str("item", job.record.Items[key.Item].ID).
		Stringer("engine", current.engine).Stringer("refusal", errorKind).Stringer("stop_reason", current.reason).
		Stringer("held_back", current.sendCheck.Held()).Bool("fast", current.fast).Bool("long", current.long)
	current.move.addTo(line)
	line.Int64("after_event", state.Output.Last()).Dur("ran_ms", time.Since(current.started)).Msg("run ended early")
	notBefore := time.Now().Add(retryDelay)
	if current.reason != notStopped {
		avoid := current.engine
		if current.move.reason == MovedToFast {
			// The engine has not failed: it may continue the item if the chosen one can't.
			avoid = incarnation.ID{}
		}
		r.queueItem(job, key.Item, avoid, time.Time{})
		r.Wake()
		return
	}
	switch errorKind {
	case NotPermitted:
		r.queueItem(job, key.Item, current.engine, time.Time{})
		r.Wake()
		return
	case NotExecutable:
		r.expire(job, key.Item, "impossible")
		return
	case ExecutionFailed:
		if state.RecordRunFailure(route.MaxAttempts) {
			r.expire(job, key.Item, "attempts used up")
			return
		}
	}
	r.queueItem(job, key.Item, current.engine, notBefore)
}
