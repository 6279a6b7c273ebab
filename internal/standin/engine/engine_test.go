package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
)

var pollTimeout = poll.WithTimeout(30 * time.Second)

// harness is a simulated engine with a client for its address.
type harness struct {
	*standin.Server
	engine.Client
	address string
}

func startEngine(t *testing.T, config standin.Config) harness {
	t.Helper()
	config.ID = "e1"
	config.History = true
	if config.TokenInterval == 0 {
		config.TokenInterval = time.Millisecond
	}
	if config.Models == nil {
		config.Models = []string{"m@3"}
	}
	server := standin.New(config)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		listener.CloseClientConnections()
		listener.Close()
	})
	return harness{Server: server, Client: enginehttp.NewHTTP(nil), address: listener.Listener.Addr().String()}
}

func newRequest(id string, tokens int) engine.GenerateRequest {
	prompt := fmt.Sprintf("value of parcel %s [tokens=%d]", id, tokens)
	return engine.GenerateRequest{RequestID: id, Attempt: 1, Service: "s", Model: "m", Prompt: prompt, MaxTokens: 10_000}
}

func (h harness) generate(t *testing.T, request engine.GenerateRequest) engine.Stream {
	t.Helper()
	stream, err := h.Generate(t.Context(), h.address, request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}

// readAll reads a stream to its end and checks that the chunks are contiguous.
func readAll(t *testing.T, stream engine.Stream, from int) (text string, last engine.Chunk) {
	t.Helper()
	for next := from; ; {
		chunk, err := stream.Receive()
		if err == io.EOF {
			return text, last
		}
		assert.NilError(t, err)
		assert.Equal(t, chunk.FirstToken, next)
		for index, token := range chunk.Tokens {
			assert.Equal(t, token, fmt.Sprintf("%d:%d ", next+index, chunk.Version))
		}
		next += len(chunk.Tokens)
		text += strings.Join(chunk.Tokens, "")
		last = chunk
	}
}

func requireRefusal(t *testing.T, err error) engine.Refusal {
	t.Helper()
	var failure *engine.SendError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.Refusal != nil, "%v", err)
	return *failure.Refusal
}

func TestBatchedRequestsReturnCompleteAnswers(t *testing.T) {
	h := startEngine(t, standin.Config{MaxBatch: 3, ChunkTokens: 2})
	streams := make(map[string]engine.Stream)
	for index := range 8 {
		id := fmt.Sprint("r", index)
		streams[id] = h.generate(t, newRequest(id, 5+index))
	}
	for id, stream := range streams {
		text, last := readAll(t, stream, 0)
		assert.Equal(t, last.FinishReason, engine.FinishStop)
		assert.Equal(t, strings.Count(text, ":3 "), 5+int(id[1]-'0'))
	}
	history := h.History()
	assert.Equal(t, len(history.Requests), 8)
	for _, request := range history.Requests {
		assert.Equal(t, request.Outcome, engine.FinishStop)
		assert.Assert(t, request.EndedUnixNS >= request.StartedUnixNS)
	}
}

func TestContinuationOnAnotherEngineMatchesOriginal(t *testing.T) {
	request := newRequest("r", 0)
	request.Prompt = "no directive, so the length is drawn"
	request.Seed = 11
	whole, _ := readAll(t, startEngine(t, standin.Config{}).generate(t, request), 0)
	request.Attempt = 2
	request.Generated = strings.SplitAfter(whole, " ")[:5]
	rest, _ := readAll(t, startEngine(t, standin.Config{}).generate(t, request), 5)
	assert.Equal(t, strings.Join(request.Generated, "")+rest, whole)
}

func TestMaxTokensLimitsAnswer(t *testing.T) {
	h := startEngine(t, standin.Config{})
	request := newRequest("r", 50)
	request.MaxTokens = 4
	text, last := readAll(t, h.generate(t, request), 0)
	assert.Equal(t, strings.Count(text, ":"), 4)
	assert.Equal(t, last.FinishReason, engine.FinishLength)
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	h := startEngine(t, standin.Config{MaxBatch: 1})
	first := h.generate(t, newRequest("first", 60))
	_, err := first.Receive()
	assert.NilError(t, err)
	low := newRequest("low", 1)
	high := newRequest("high", 1)
	high.Priority = 9
	lowStream := h.generate(t, low)
	highStream := h.generate(t, high)
	readAll(t, lowStream, 0)
	readAll(t, highStream, 0)
	var order []string
	for _, request := range h.History().Requests {
		order = append(order, request.RequestID)
	}
	assert.DeepEqual(t, order, []string{"first", "high", "low"})
}

func TestResumeContinuesAtRequestedToken(t *testing.T) {
	h := startEngine(t, standin.Config{})
	stream := h.generate(t, newRequest("r", 400))
	chunk, err := stream.Receive()
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	from := chunk.FirstToken + len(chunk.Tokens)
	request := newRequest("r", 400)
	request.ResumeFrom = &from
	text, _ := readAll(t, h.generate(t, request), from)
	assert.Equal(t, strings.Count(text, ":"), 400-from)
	assert.Equal(t, len(h.History().Requests), 1)
}

func TestStreamWithoutReaderExpires(t *testing.T) {
	h := startEngine(t, standin.Config{ResumeWindow: time.Millisecond, TokenInterval: 5 * time.Millisecond})
	stream := h.generate(t, newRequest("r", 9_999))
	_, err := stream.Receive()
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	h.waitOutcome(t, engine.FinishCanceled)
	request := newRequest("r", 9_999)
	request.ResumeFrom = new(int)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err = h.Generate(t.Context(), h.address, request)
		if err == nil {
			return poll.Continue("the stream is still known")
		}
		return poll.Success()
	}, pollTimeout)
	assert.Equal(t, requireRefusal(t, err).Code, engine.CodeUnknownStream)
	assert.Assert(t, requireRefusal(t, err).Ran)
}

// waitOutcome waits until the only request has the outcome.
func (h harness) waitOutcome(t *testing.T, outcome string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		requests := h.History().Requests
		if len(requests) == 1 && requests[0].Outcome == outcome {
			return poll.Success()
		}
		return poll.Continue("history: %+v", requests)
	}, pollTimeout)
}

func TestCancelFinishesStream(t *testing.T) {
	h := startEngine(t, standin.Config{})
	stream := h.generate(t, newRequest("r", 9_999))
	assert.NilError(t, h.Cancel(t.Context(), h.address, engine.CancelRequest{RequestID: "r", Attempt: 1}))
	_, last := readAll(t, stream, 0)
	assert.Equal(t, last.FinishReason, engine.FinishCanceled)
	assert.NilError(t, h.Cancel(t.Context(), h.address, engine.CancelRequest{RequestID: "other", Attempt: 1}))
}

func TestRefusedRequestsAreNotExecuted(t *testing.T) {
	h := startEngine(t, standin.Config{})
	unknown := newRequest("unknown", 1)
	unknown.Model = "other"
	newer := newRequest("newer", 1)
	newer.MinVersion = 4
	drained := true
	for code, request := range map[string]engine.GenerateRequest{
		engine.CodeUnknownModel:  unknown,
		engine.CodeVersionTooLow: newer,
		engine.CodeInvalid:       {RequestID: "r", Model: "m"},
	} {
		_, err := h.Generate(t.Context(), h.address, request)
		assert.Equal(t, requireRefusal(t, err).Code, code)
		assert.Assert(t, !requireRefusal(t, err).Ran)
	}
	h.Control(standin.Control{Drain: &drained})
	_, err := h.Generate(t.Context(), h.address, newRequest("r", 1))
	assert.DeepEqual(t, requireRefusal(t, err).Code, engine.CodeDraining)
	assert.Equal(t, len(h.History().Requests), 0)
}

func TestRepeatedAttemptIsRefused(t *testing.T) {
	h := startEngine(t, standin.Config{})
	readAll(t, h.generate(t, newRequest("r", 2)), 0)
	_, err := h.Generate(t.Context(), h.address, newRequest("r", 2))
	assert.Assert(t, requireRefusal(t, err).Ran)
	assert.Equal(t, len(h.History().Requests), 1)
}

func TestPrefixCacheHitOnRepeatedPrompt(t *testing.T) {
	h := startEngine(t, standin.Config{CacheTokens: 64})
	request := newRequest("r1", 1)
	request.Prompt = strings.Repeat("a", 128) + request.Prompt
	_, first := readAll(t, h.generate(t, request), 0)
	request.RequestID = "r2"
	_, second := readAll(t, h.generate(t, request), 0)
	assert.Equal(t, first.CachedTokens, 0)
	assert.Equal(t, second.CachedTokens, 32)
}

func TestImportedKVCacheSkipsPrefill(t *testing.T) {
	config := standin.Config{PrefillPerToken: time.Hour}
	h := startEngine(t, standin.Config{})
	stream := h.generate(t, newRequest("r", 9_999))
	_, err := stream.Receive()
	assert.NilError(t, err)
	export, err := h.KVExport(t.Context(), h.address, engine.CancelRequest{RequestID: "r", Attempt: 1})
	assert.NilError(t, err)
	other := startEngine(t, config)
	handle, err := other.KVImport(t.Context(), other.address, export)
	assert.NilError(t, err)
	request := newRequest("r", 9_999)
	request.Attempt = 2
	request.KVHandle = handle.Handle
	chunk, err := other.generate(t, request).Receive()
	assert.NilError(t, err)
	assert.Equal(t, len(chunk.Tokens), 1)
}

func TestCrashAbortsStreams(t *testing.T) {
	h := startEngine(t, standin.Config{})
	stream := h.generate(t, newRequest("r", 9_999))
	// The headers are sent before the request starts, and a request that never started has no history.
	_, err := stream.Receive()
	assert.NilError(t, err)
	h.Control(standin.Control{Crash: true})
	for {
		_, err := stream.Receive()
		if err != nil {
			assert.Assert(t, !errors.Is(err, io.EOF))
			break
		}
	}
	_, err = h.Client.Status(t.Context(), h.address)
	assert.Assert(t, err != nil)
	h.waitOutcome(t, standin.OutcomeBroken)
}

func TestWatchSendsStatusAndCacheEvents(t *testing.T) {
	h := startEngine(t, standin.Config{EventDelay: time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events := make(chan engine.Event, 1000)
	ended := make(chan error, 1)
	go func() {
		ended <- h.Watch(ctx, h.address, time.Hour, func(event engine.Event) { events <- event })
	}()
	first := <-events
	assert.Equal(t, first.Status.State, engine.StateServing)
	request := newRequest("r", 1)
	request.Prompt = strings.Repeat("a", 64) + request.Prompt
	readAll(t, h.generate(t, request), 0)
	stored := <-events
	assert.Equal(t, stored.Kind, engine.EventStored)
	assert.DeepEqual(t, stored.Prefixes, engine.PrefixHashes("m", 3, request.Prompt))
	drained := true
	h.Control(standin.Control{Drain: &drained})
	assert.Equal(t, (<-events).Status.State, engine.StateDraining)
	cancel()
	assert.Assert(t, errors.Is(<-ended, context.Canceled))
}
