package dispatcher

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/engine"
)

// run takes the task through the queue and the engines to its end.
func (t *task) run() {
	for {
		placed, err := t.await()
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
		if t.settle(send, result) {
			return
		}
		if err := t.cell.requeue(t); err != nil {
			t.fail(err)
			return
		}
	}
}

// await waits for a placement.
func (t *task) await() (placement, *errkind.Error) {
	select {
	case placed := <-t.placed:
		return placed, placed.err
	case <-t.ctx.Done():
		t.cell.withdraw(t)
		return placement{}, t.stopped()
	}
}

// stopped returns why the task's context ended.
func (t *task) stopped() *errkind.Error {
	if t.cell.dispatcher.base.Err() != nil {
		return errkind.New(errkind.ShuttingDown, "the dispatcher stopped")
	}
	return errkind.New(errkind.Canceled, "the caller left")
}

// settle decides what follows an attempt; false: the task is queued again.
func (t *task) settle(send *attempt, result attemptResult) bool {
	engineID := send.placed.assignment.EngineID
	switch result.outcome {
	case outcomeFinished:
		t.finish(engineID, result.reason, send.version)
		return true
	case outcomeCanceled:
		send.cancelAtEngine()
		t.fail(t.stopped())
		return true
	case outcomeNotRun:
		return t.settleNotRun(send, result)
	default:
		return t.settleLost(send, result)
	}
}

// settleNotRun handles an attempt that certainly did not run. Even a request
// that is not repeatable may then go to another engine.
func (t *task) settleNotRun(send *attempt, result attemptResult) bool {
	if result.refusal == nil {
		t.cell.suspect(send.placed)
	} else {
		t.excluded = append(t.excluded, send.placed.assignment.EngineID)
	}
	if result.refusal != nil && result.refusal.Code == engine.CodeInvalid {
		t.fail(errkind.New(errkind.InvalidRequest, "engine refused: %s", result.refusal.Message))
		return true
	}
	if t.exhausted() {
		t.fail(errkind.New(errkind.EngineRefused, "no engine took the request: %s", result.cause))
		return true
	}
	return false
}

// settleLost handles an attempt that may have run in part and can't be resumed.
func (t *task) settleLost(send *attempt, result attemptResult) bool {
	t.cell.dispatcher.start(send.cancelAtEngine)
	if result.suspect {
		t.cell.suspect(send.placed)
	} else {
		t.excluded = append(t.excluded, send.placed.assignment.EngineID)
	}
	switch {
	case len(t.tokens) >= t.submit.MaxTokens:
		// Only the engine's last word is missing; the answer is whole.
		t.finish(send.placed.assignment.EngineID, engine.FinishLength, send.version)
		return true
	case !t.submit.Repeatable:
		t.fail(errkind.New(errkind.OutcomeUnknown, "the engine stream was lost: %s", result.cause))
		return true
	case t.exhausted():
		t.fail(errkind.New(errkind.EngineFailed, "every engine tried failed: %s", result.cause))
		return true
	default:
		t.cell.dispatcher.metrics.moves.Inc()
		return false
	}
}

// exhausted tells whether there is nothing left to try.
func (t *task) exhausted() bool {
	return t.sends >= maximumEngineAttempts || t.cell.allExcluded(t.excluded)
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
