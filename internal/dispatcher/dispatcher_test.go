package dispatcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

var allTokens = []string{"t0", "t1", "t2", "t3", "t4", "t5"}

func kindOf(t *testing.T, err error) errkind.Kind {
	t.Helper()
	assert.Assert(t, err != nil)
	return errkind.KindOf(err)
}

func refusal(code string, ran bool) generateFunc {
	return failWith(engine.SendError{Sent: true, Refusal: &engine.Refusal{Code: code, Ran: ran}})
}

func TestSubmitRelaysWholeAnswer(t *testing.T) {
	h := newHarness(t, "a")
	received := h.submit(submission("r"))
	assert.NilError(t, received.wait(t))
	assert.DeepEqual(t, received.tokens(), allTokens)
	last := received.pieces[len(received.pieces)-1]
	assert.Assert(t, last.Finished && last.FinishReason == engine.FinishLength && last.FirstToken == 6)
	assert.Assert(t, received.pieces[0].Load != nil && last.Load != nil)
}

func TestBrokenStreamResumesOnSameEngine(t *testing.T) {
	h := newHarness(t, "a")
	h.generate["a"] = inSequence(
		tokensUpTo(2, 1, nil), failWith(engine.SendError{}), tokensUpTo(4, 2, nil), wholeAnswer(2))
	submit := submission("r")
	submit.Repeatable = false
	received := h.submit(submit)
	assert.NilError(t, received.wait(t))
	assert.DeepEqual(t, received.tokens(), allTokens)
	assert.DeepEqual(t, received.versions(), []uint64{1, 1, 2, 2, 2, 2})
	for position, request := range h.requestsTo("a") {
		assert.Equal(t, request.Attempt, uint32(1))
		assert.Equal(t, request.ResumeFrom != nil, position > 0)
	}
}

func TestStaleAndOverlappingChunksAreDropped(t *testing.T) {
	h := newHarness(t, "a")
	h.generate["a"] = func(ctx context.Context, request engine.GenerateRequest) (engine.Stream, error) {
		stale := chunks(request, 0, 3, 9)
		for i := range stale {
			stale[i].Attempt++
		}
		list := append(stale, chunks(request, 0, 3, 1)...)
		list = append(list, chunks(request, 1, 6, 1)...)
		return &fakeStream{ctx: ctx, chunks: list}, nil
	}
	received := h.submit(submission("r"))
	assert.NilError(t, received.wait(t))
	assert.DeepEqual(t, received.tokens(), allTokens)
	assert.DeepEqual(t, received.versions(), []uint64{1, 1, 1, 1, 1, 1})
}

func TestLostEngineRepeatableRequestContinuesOnAnother(t *testing.T) {
	h := newHarness(t, "a", "b")
	lost := inSequence(tokensUpTo(3, 1, nil), refusal(engine.CodeUnknownStream, false), wholeAnswer(2))
	h.generate["a"] = lost
	h.generate["b"] = lost
	received := h.submit(submission("r"))
	assert.NilError(t, received.wait(t))
	assert.DeepEqual(t, received.tokens(), allTokens)
	assert.DeepEqual(t, received.versions(), []uint64{1, 1, 1, 2, 2, 2})
	assert.DeepEqual(t, received.engineAttempts(), []uint32{1, 1, 1, 2, 2, 2})
	var moved *engine.GenerateRequest
	for _, request := range append(h.requestsTo("a"), h.requestsTo("b")...) {
		if request.Attempt == 2 {
			moved = &request
		}
	}
	assert.DeepEqual(t, moved.Generated, allTokens[:3])
	h.eventually(func() bool {
		h.fakeEngines.mutex.Lock()
		defer h.fakeEngines.mutex.Unlock()
		return len(h.canceled) == 1 && h.canceled[0].Attempt == 1
	})
}

func TestStreamsOfUnreachableEngineAreCanceled(t *testing.T) {
	h := newHarness(t, "a", "b")
	hanging := inSequence(tokensUpTo(3, 1, make(chan struct{})), wholeAnswer(2))
	h.generate["a"] = hanging
	h.generate["b"] = hanging
	received := h.submit(submission("r"))
	h.eventually(func() bool { return len(received.tokens()) == 3 })
	lostEngine := received.engine()
	h.fakeEngines.mutex.Lock()
	h.unreachable[lostEngine] = true
	h.fakeEngines.mutex.Unlock()
	h.change(lostEngine, func(*engine.Status) {})
	h.eventually(func() bool { return h.dispatcher.CellStatuses()[0].Engines == 1 })
	h.dispatcher.allCells()[0].tick(time.Now())
	assert.Equal(t, h.dispatcher.CellStatuses()[0].Running, 1)
	h.dispatcher.allCells()[0].tick(time.Now().Add(2 * engineUnreachableTimeout))
	assert.NilError(t, received.wait(t))
	assert.DeepEqual(t, received.tokens(), allTokens)
	assert.DeepEqual(t, received.versions(), []uint64{1, 1, 1, 2, 2, 2})
}

func TestLostEngineNonRepeatableRequestIsOutcomeUnknown(t *testing.T) {
	h := newHarness(t, "a", "b")
	lost := inSequence(failWith(engine.SendError{Sent: true}), refusal(engine.CodeUnknownStream, false), wholeAnswer(1))
	h.generate["a"] = lost
	h.generate["b"] = lost
	submit := submission("r")
	submit.Repeatable = false
	assert.Equal(t, kindOf(t, h.submit(submit).wait(t)), errkind.OutcomeUnknown)
	for _, request := range append(h.requestsTo("a"), h.requestsTo("b")...) {
		assert.Equal(t, request.Attempt, uint32(1))
	}
}

func TestNotExecutedNonRepeatableRequestIsSentToAnotherEngine(t *testing.T) {
	for name, failure := range map[string]generateFunc{
		"refused":  refusal(engine.CodeDraining, false),
		"not sent": failWith(engine.SendError{}),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "a", "b")
			once := inSequence(failure, wholeAnswer(1))
			h.generate["a"] = once
			h.generate["b"] = once
			submit := submission("r")
			submit.Repeatable = false
			received := h.submit(submit)
			assert.NilError(t, received.wait(t))
			assert.DeepEqual(t, received.tokens(), allTokens)
		})
	}
}

func TestRefusalErrorKinds(t *testing.T) {
	tests := []struct {
		name       string
		answer     generateFunc
		repeatable bool
		kind       errkind.Kind
	}{
		{"all refuse", refusal(engine.CodeOverloaded, false), true, errkind.EngineRefused},
		{"invalid", refusal(engine.CodeInvalid, false), true, errkind.InvalidRequest},
		{"ran, repeatable", refusal(engine.CodeInvalid, true), true, errkind.EngineFailed},
		{"ran, not repeatable", refusal(engine.CodeInvalid, true), false, errkind.OutcomeUnknown},
		{"ran, then refused", inSequence(tokensUpTo(2, 1, nil), refusal(engine.CodeUnknownStream, false),
			refusal(engine.CodeOverloaded, false)), true, errkind.EngineFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "a")
			h.generate["a"] = test.answer
			submit := submission("r")
			submit.Repeatable = test.repeatable
			assert.Equal(t, kindOf(t, h.submit(submit).wait(t)), test.kind)
		})
	}
}

func TestQueueTimeoutReachesNoEngine(t *testing.T) {
	h := newHarness(t, "a")
	submit := submission("r")
	submit.MinVersion = 2
	submit.QueueTimeout = time.Millisecond
	assert.Equal(t, kindOf(t, h.submit(submit).wait(t)), errkind.QueueTimeout)
	assert.Equal(t, len(h.requestsTo("a")), 0)
}

func TestAttachAfterCallerDisconnect(t *testing.T) {
	h := newHarness(t, "a")
	hold := make(chan struct{})
	h.generate["a"] = inSequence(tokensUpTo(3, 1, hold), wholeAnswer(1))
	first := h.submit(submission("r"))
	h.eventually(func() bool { return len(first.tokens()) == 3 })
	first.disconnect()
	assert.Equal(t, kindOf(t, first.wait(t)), errkind.Canceled)

	attach := submission("r")
	attach.Attach = true
	attach.ResumeFrom = 2
	second := h.submit(attach)
	duplicate := h.submit(submission("r"))
	h.eventually(func() bool { return len(second.tokens()) == 1 && len(duplicate.tokens()) == 3 })
	close(hold)
	assert.NilError(t, second.wait(t))
	assert.NilError(t, duplicate.wait(t))
	assert.DeepEqual(t, second.tokens(), allTokens[2:])
	assert.DeepEqual(t, duplicate.tokens(), allTokens)

	attach.RequestID = "never seen"
	assert.Equal(t, kindOf(t, h.submit(attach).wait(t)), errkind.OutcomeUnknown)
}

func TestCallerDisconnectCancelsAtEngine(t *testing.T) {
	h := newHarness(t, "a")
	h.dispatcher.linger = time.Millisecond
	h.generate["a"] = tokensUpTo(3, 1, make(chan struct{}))
	received := h.submit(submission("r"))
	h.eventually(func() bool { return len(received.tokens()) == 3 })
	received.disconnect()
	h.eventually(func() bool {
		h.fakeEngines.mutex.Lock()
		defer h.fakeEngines.mutex.Unlock()
		return len(h.canceled) == 1 && h.canceled[0].RequestID == "r"
	})
	h.eventually(func() bool { return h.dispatcher.CellStatuses()[0].Running == 0 })
}

func TestDrainFinishesStreamsAndRefusesOtherRequests(t *testing.T) {
	h := newHarness(t, "a")
	h.change("a", func(status *engine.Status) { status.MaxBatch = 1 })
	h.eventually(func() bool { return h.dispatcher.CellStatuses()[0].Slots == 1 })
	hold := make(chan struct{})
	h.generate["a"] = inSequence(tokensUpTo(3, 1, hold), wholeAnswer(1))
	running := h.submit(submission("running"))
	h.eventually(func() bool { return len(running.tokens()) == 3 })
	queued := h.submit(submission("queued"))
	h.eventually(func() bool { return h.dispatcher.CellStatuses()[0].Queued == 1 })

	drained := make(chan error, 1)
	go func() { drained <- h.dispatcher.Drain(context.Background()) }()
	assert.Equal(t, kindOf(t, queued.wait(t)), errkind.Draining)
	assert.Equal(t, kindOf(t, h.submit(submission("late")).wait(t)), errkind.Draining)
	select {
	case <-drained:
		t.Fatal("Drain returned while a stream was active")
	default:
	}
	close(hold)
	assert.NilError(t, running.wait(t))
	assert.DeepEqual(t, running.tokens(), allTokens)
	assert.NilError(t, <-drained)
}

func TestLeavingAndDrainingEnginesGetNoRequests(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.fakeNode.mutex.Lock()
	h.machines[0].Leaving = true
	h.fakeNode.mutex.Unlock()
	h.eventually(func() bool { return h.dispatcher.EngineStatuses()[0].State == stateLeaving })
	for _, id := range []string{"r1", "r2", "r3"} {
		assert.NilError(t, h.submit(submission(id)).wait(t))
	}
	assert.Equal(t, len(h.requestsTo("a")), 0)
	h.change("b", func(status *engine.Status) { status.State = engine.StateDraining })
	h.eventually(func() bool { return h.dispatcher.CellStatuses()[0].Engines == 0 })
	submit := submission("r4")
	submit.QueueTimeout = time.Millisecond
	assert.Equal(t, kindOf(t, h.submit(submit).wait(t)), errkind.QueueTimeout)
}

func TestSubmitToUnknownCellIsNotOwner(t *testing.T) {
	h := newHarness(t, "a")
	submit := submission("r")
	submit.Cell.Index = 7
	assert.Equal(t, kindOf(t, h.submit(submit).wait(t)), errkind.NotOwner)
	submit = submission("")
	assert.Equal(t, kindOf(t, h.submit(submit).wait(t)), errkind.InvalidRequest)
}

func TestCellsAreAnnouncedAndReported(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.eventually(func() bool {
		h.fakeNode.mutex.Lock()
		defer h.fakeNode.mutex.Unlock()
		last := len(h.digests) - 1
		return last >= 0 && h.digests[last].Slots == 4 && h.digests[last].Node == nodeID
	})
	response, err := h.calls[peer.MethodCellStatus](context.Background(), encode(t, message.Empty{}))
	assert.NilError(t, err)
	report := response.(StatusReport)
	assert.Equal(t, len(report.Engines), 2)
	assert.Equal(t, report.Cells[0].Slots, 4)
}
