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
		send := t.newAttempt(placed)
		result := send.run()
		t.cell.release(t, result.outcome != outcomeNotRun)
		t.cell.dispatcher.metrics.attempts.WithLabelValues(result.outcome.String()).Inc()
		if t.handleResult(send, result) {
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
	case placed := <-t.placed:
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
func (t *task) handleResult(send *attempt, result attemptResult) bool {
	engineID := send.placed.assignment.EngineID
	switch result.outcome {
	case outcomeFinished:
		t.finish(engineID, result.reason, send.version)
		return true
	case outcomeCanceled:
		send.cancelAtEngine()
		t.fail(t.stopError())
		return true
	case outcomeNotRun:
		return t.handleNotRun(send, result)
	default:
		return t.handleLost(send, result)
	}
}

// handleNotRun handles an attempt that certainly did not run, so even a request that is not repeatable
// may be sent to another engine.
func (t *task) handleNotRun(send *attempt, result attemptResult) bool {
	if result.refusal == nil {
		t.cell.suspectEngine(send.placed)
	} else {
		t.excluded = append(t.excluded, send.placed.assignment.EngineID)
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
func (t *task) handleLost(send *attempt, result attemptResult) bool {
	t.cell.dispatcher.start(send.cancelAtEngine)
	if result.suspectEngine {
		t.cell.suspectEngine(send.placed)
	} else {
		t.excluded = append(t.excluded, send.placed.assignment.EngineID)
	}
	switch {
	case len(t.tokens) >= t.submit.MaxTokens:
		// All tokens arrived; only the final chunk is missing.
		t.finish(send.placed.assignment.EngineID, engine.FinishLength, send.version)
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
