package dispatcher

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/engine"
)

// run queues the task and sends it to engines until it ends.
func (t *task) run() {
	for {
		placed, err := t.awaitPlacement()
		if err != nil {
			t.fail(err)
			return
		}
		t.cell.dispatcher.metrics.queueWait.WithLabelValues(t.submit.Service).
			Observe(placed.assignment.Waited.Seconds())
		a := t.newAttempt(placed)
		result := a.run()
		t.cell.release(t, result.outcome != outcomeNotRun)
		t.cell.dispatcher.metrics.attempts.WithLabelValues(result.outcome.String()).Inc()
		if t.handleResult(a, result) {
			return
		}
		if err := t.cell.requeue(t); err != nil {
			t.fail(err)
			return
		}
	}
}

// awaitPlacement waits until the scheduler has placed the task or rejected it.
func (t *task) awaitPlacement() (placement, *errkind.Error) {
	select {
	case placed := <-t.placements:
		return placed, placed.err
	case <-t.ctx.Done():
		t.cell.withdraw(t)
		return placement{}, t.stopError()
	}
}

// stopError returns the reason why the task's context ended.
func (t *task) stopError() *errkind.Error {
	if t.cell.dispatcher.baseContext.Err() != nil {
		return errkind.New(errkind.ShuttingDown, "the dispatcher has stopped")
	}
	return errkind.New(errkind.Canceled, "the caller disconnected")
}

// handleResult ends the task or prepares another attempt. It returns false if the task must be queued
// again.
func (t *task) handleResult(a *attempt, result attemptResult) bool {
	engineID := a.placement.assignment.EngineID
	switch result.outcome {
	case outcomeFinished:
		t.finish(engineID, result.reason, a.version)
		return true
	case outcomeCanceled:
		a.cancelAtEngine()
		t.fail(t.stopError())
		return true
	case outcomeNotRun:
		return t.handleNotRun(a, result)
	default:
		return t.handleLost(a, result)
	}
}

// handleNotRun handles an attempt that certainly did not run, so even a request that is not repeatable
// may be sent to another engine.
func (t *task) handleNotRun(a *attempt, result attemptResult) bool {
	if result.refusal == nil {
		t.cell.suspectEngine(a.placement)
	} else {
		t.excluded = append(t.excluded, a.placement.assignment.EngineID)
	}
	if result.refusal != nil && result.refusal.Code == engine.CodeInvalid {
		t.fail(errkind.New(errkind.InvalidRequest, "engine refused: %s", result.refusal.Message))
		return true
	}
	if t.exhausted() {
		t.fail(errkind.New(errkind.EngineRefused, "no engine accepted the request: %s", result.cause))
		return true
	}
	return false
}

// handleLost handles an attempt that may have run in part and cannot be resumed.
func (t *task) handleLost(a *attempt, result attemptResult) bool {
	t.cell.dispatcher.start(a.cancelAtEngine)
	if result.suspectEngine {
		t.cell.suspectEngine(a.placement)
	} else {
		t.excluded = append(t.excluded, a.placement.assignment.EngineID)
	}
	switch {
	case len(t.tokens) >= t.submit.MaxTokens:
		// All tokens arrived; only the final chunk is missing.
		t.finish(a.placement.assignment.EngineID, engine.FinishLength, a.version)
		return true
	case !t.submit.Repeatable:
		t.fail(errkind.New(errkind.OutcomeUnknown, "the engine stream was lost: %s", result.cause))
		return true
	case t.exhausted():
		t.fail(errkind.New(errkind.EngineFailed, "all attempted engines failed: %s", result.cause))
		return true
	default:
		t.cell.dispatcher.metrics.moves.Inc()
		return false
	}
}

// exhausted reports whether no further attempt is allowed or possible.
func (t *task) exhausted() bool {
	return t.sendCount >= maximumEngineAttempts || t.cell.allExcluded(t.excluded)
}

// requeue queues the task again after an attempt that did not finish.
func (c *cell) requeue(t *task) *errkind.Error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.draining && !t.mayHaveRun {
		return errkind.New(errkind.Draining, "the dispatcher is stopping")
	}
	t.requeued = t.mayHaveRun
	now := time.Now()
	if err := c.scheduler.Enqueue(now, t.item(now)); err != nil {
		return errkind.From(err)
	}
	c.dispatch(now)
	return nil
}
