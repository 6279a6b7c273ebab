package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/message"
)

// taskID returns the key of one submission of a request.
func taskID(submit *message.Submit) string {
	return fmt.Sprintf("%s/%d", submit.RequestID, submit.Attempt)
}

// task is one submission in this dispatcher. It outlives the stream that
// submitted it by the linger time. Fields without a lock belong to its own
// goroutine.
type task struct {
	id     string
	submit message.Submit
	row    policy.Row
	// inFlightCap bounds the service's requests in flight here; 0 for no cap.
	inFlightCap int

	cell   *cell
	ctx    context.Context
	cancel context.CancelFunc
	buffer *answerBuffer
	// placed receives one placement for each time the task is queued.
	placed chan placement

	// tokens is the whole answer so far, that of earlier submissions included.
	tokens []string
	// sends counts the sends to engines.
	sends uint32
	// excluded engines refused the task or failed it.
	excluded []string
	// mayHaveRun is set once an engine may have run any part of the task. From
	// then on no answer may say that it did not run.
	mayHaveRun bool
	// requeued: the task waits again after it may have run. The cell's lock
	// guards it.
	requeued bool

	lingerMutex sync.Mutex
	linger      *time.Timer
}

// placement ends a wait in the queue: an engine, or why there is none.
type placement struct {
	assignment scheduler.Assignment
	address    string
	// generation is that of the engine's link when it was chosen.
	generation uint64
	err        *errkind.Error
}

func newTask(parent context.Context, on *cell, submit message.Submit, row policy.Row, inFlightCap int) *task {
	ctx, cancel := context.WithCancel(parent)
	return &task{
		id:          taskID(&submit),
		submit:      submit,
		row:         row,
		inFlightCap: inFlightCap,
		cell:        on,
		ctx:         ctx,
		cancel:      cancel,
		buffer:      newAnswerBuffer(len(submit.Generated)),
		placed:      make(chan placement, 1),
		tokens:      slices.Clone(submit.Generated),
	}
}

// item returns the task as it is queued now.
func (t *task) item(now time.Time) scheduler.Item {
	expected := 0
	if t.submit.ExpectedTokens > 0 {
		expected = max(1, t.submit.ExpectedTokens-len(t.tokens))
	}
	timeout := t.submit.QueueTimeout
	if timeout <= 0 {
		timeout = defaultQueueTimeout
	}
	return scheduler.Item{
		ID:             t.id,
		Service:        t.submit.Service,
		Model:          t.submit.Model,
		MinVersion:     t.submit.MinVersion,
		Prompt:         t.submit.Prompt,
		Live:           t.row.Kind == policy.KindLive,
		Priority:       t.submit.Priority,
		Share:          t.row.Share,
		Cap:            t.inFlightCap,
		ExpectedTokens: expected,
		Urgent:         t.submit.Urgent,
		Deadline:       now.Add(timeout),
		Requeued:       t.submit.Continued || t.sends > 0,
		Excluded:       slices.Clone(t.excluded),
	}
}

// fail ends the task with an error that tells the truth about what ran.
func (t *task) fail(err *errkind.Error) {
	if t.mayHaveRun && err.Kind.Answer().Execution == errkind.NotExecuted {
		kind := errkind.EngineFailed
		if !t.submit.Repeatable {
			kind = errkind.OutcomeUnknown
		}
		err = errkind.New(kind, "an engine failed, then: %s", err.Message)
	}
	t.cell.dispatcher.metrics.failed.WithLabelValues(err.Kind.String()).Inc()
	t.buffer.fail(err)
}

// finish ends the task with a whole answer.
func (t *task) finish(engineID, reason string, version uint64) {
	t.buffer.finish(message.Progress{
		Attempt:       t.submit.Attempt,
		EngineAttempt: t.sends,
		Engine:        engineID,
		Version:       version,
		Finished:      true,
		FinishReason:  reason,
	})
}

// enter admits a reader and stops the linger timer.
func (t *task) enter(from int) *errkind.Error {
	if err := t.buffer.enter(from); err != nil {
		return err
	}
	t.lingerMutex.Lock()
	defer t.lingerMutex.Unlock()
	if t.linger != nil {
		t.linger.Stop()
	}
	return nil
}

// leave starts the linger timer when the last reader left.
func (t *task) leave() {
	if !t.buffer.leave() {
		return
	}
	t.lingerMutex.Lock()
	defer t.lingerMutex.Unlock()
	if t.linger != nil {
		t.linger.Stop()
	}
	t.linger = time.AfterFunc(t.cell.dispatcher.linger, t.abandon)
}

// abandon gives the task up unless a reader came back.
func (t *task) abandon() {
	if !t.buffer.closeUnread() {
		return
	}
	t.cell.forget(t)
	t.cancel()
}
