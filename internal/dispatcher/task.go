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

// task is one submission. It outlives the caller's stream by the linger timeout. Fields without a lock
// are accessed only by the task's own goroutine.
type task struct {
	id     string
	submit message.Submit
	row    policy.Row
	// inFlightCap limits the service's requests in flight in this cell; 0 for no cap.
	inFlightCap int

	cell   *cell
	ctx    context.Context
	cancel context.CancelFunc
	buffer *answerBuffer
	// placements receives one placement each time the task is queued.
	placements chan placement

	// tokens is the answer so far, including the tokens of earlier submissions.
	tokens []string
	// sendCount counts the attempts at engines.
	sendCount uint32
	// excluded lists the engines that refused or failed the task.
	excluded []string
	// mayHaveRun is set once an engine may have run any part of the task. From then on no error may
	// report it as not executed.
	mayHaveRun bool
	// requeued is set when the task is queued again after it may have run. Guarded by the cell's
	// mutex.
	requeued bool

	lingerMutex sync.Mutex
	linger      *time.Timer
}

// placement is the result of queueing: the assigned engine, or an error.
type placement struct {
	assignment scheduler.Assignment
	address    string
	// generation is the engine link's generation at assignment.
	generation uint64
	err        *errkind.Error
}

func newTask(parent context.Context, owner *cell, submit message.Submit, row policy.Row, inFlightCap int) *task {
	ctx, cancel := context.WithCancel(parent)
	return &task{
		id:          taskID(&submit),
		submit:      submit,
		row:         row,
		inFlightCap: inFlightCap,
		cell:        owner,
		ctx:         ctx,
		cancel:      cancel,
		buffer:      newAnswerBuffer(len(submit.Generated)),
		placements:  make(chan placement, 1),
		tokens:      slices.Clone(submit.Generated),
	}
}

// item returns the scheduler item of the task.
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
		Requeued:       t.submit.Continued || t.sendCount > 0,
		Excluded:       slices.Clone(t.excluded),
	}
}

// fail ends the task with an error. An error that reports the request as not executed is replaced if
// an engine may have run it.
func (t *task) fail(err *errkind.Error) {
	if t.mayHaveRun && err.Kind.Response().Execution == errkind.NotExecuted {
		kind := errkind.EngineFailed
		if !t.submit.Repeatable {
			kind = errkind.OutcomeUnknown
		}
		err = errkind.New(kind, "an engine failed, then: %s", err.Message)
	}
	t.cell.dispatcher.metrics.failed.WithLabelValues(err.Kind.String()).Inc()
	t.buffer.fail(err)
}

// finish ends the task with a complete answer.
func (t *task) finish(engineID, reason string, version uint64) {
	t.buffer.finish(message.Progress{
		Attempt:       t.submit.Attempt,
		EngineAttempt: t.sendCount,
		Engine:        engineID,
		Version:       version,
		Finished:      true,
		FinishReason:  reason,
	})
}

// addReader registers a reader and stops the linger timer.
func (t *task) addReader(from int) *errkind.Error {
	if err := t.buffer.addReader(from); err != nil {
		return err
	}
	t.lingerMutex.Lock()
	defer t.lingerMutex.Unlock()
	if t.linger != nil {
		t.linger.Stop()
	}
	return nil
}

// removeReader starts the linger timer when the last reader has left.
func (t *task) removeReader() {
	if !t.buffer.removeReader() {
		return
	}
	t.lingerMutex.Lock()
	defer t.lingerMutex.Unlock()
	if t.linger != nil {
		t.linger.Stop()
	}
	t.linger = time.AfterFunc(t.cell.dispatcher.linger, t.abandon)
}

// abandon cancels and removes the task unless it has a reader again.
func (t *task) abandon() {
	if !t.buffer.closeIfUnread() {
		return
	}
	t.cell.removeTask(t)
	t.cancel()
}
