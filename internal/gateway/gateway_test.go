package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/router"
)

func TestJSONAnswer(t *testing.T) {
	var seen router.Request
	f := newFixture(t, func(ctx context.Context, request router.Request, onPiece func(router.Piece) error) (router.Result, error) {
		seen = request
		return sendTwoPieces(ctx, request, onPiece)
	})
	response := f.post(t, `{"model":"lookup","prompt":"parcel 0412","user":"desk"}`, api.HeaderIdempotencyKey, "k1")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get(HeaderWeightVersions), "3:0-2,4:2-3")
	assert.Equal(t, response.Header.Get(api.HeaderRequestID), seen.ID)
	body := decode[api.Completion](t, response.Body)
	assert.Equal(t, body.ID, seen.ID)
	assert.Equal(t, body.Choices[0].Text, "Lot 12 <ok>")
	assert.Equal(t, *body.Choices[0].FinishReason, "stop")
	assert.DeepEqual(t, *body.Usage, api.Usage{PromptTokens: 3, CompletionTokens: 3, TotalTokens: 6, CachedTokens: 2})
	assert.DeepEqual(t, body.Versions, twoVersions)
	assert.Equal(t, seen.MaxTokens, DefaultMaxTokens)
	assert.Equal(t, seen.TableRevision, int64(7))
	assert.Equal(t, len(f.keyed), 0, "a repeatable request is not keyed")
	assert.Equal(t, f.counter(t, "corkpulley_gateway_tokens_total"), 8.0)
}

// readEvents returns the data of each event, prefixed with "error: " for error events.
func readEvents(t *testing.T, reader io.Reader) []string {
	t.Helper()
	var events []string
	name := ""
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		line := scanner.Text()
		if event, found := strings.CutPrefix(line, "event: "); found {
			name = event + ": "
		}
		if data, found := strings.CutPrefix(line, "data: "); found {
			events = append(events, name+data)
			name = ""
		}
	}
	assert.NilError(t, scanner.Err())
	return events
}

func TestEventStreamAnswer(t *testing.T) {
	f := newFixture(t, sendTwoPieces)
	response := f.post(t, `{"model":"lookup","prompt":"p","stream":true}`)
	assert.Equal(t, response.Header.Get("Content-Type"), contentTypeEvents)
	events := readEvents(t, response.Body)
	assert.Equal(t, len(events), 4)
	second := decode[api.Completion](t, strings.NewReader(events[1]))
	assert.Equal(t, second.Choices[0].Text, "<ok>")
	assert.Assert(t, second.Choices[0].FinishReason == nil)
	assert.DeepEqual(t, second.Versions, twoVersions[1:])
	last := decode[api.Completion](t, strings.NewReader(events[2]))
	assert.Equal(t, *last.Choices[0].FinishReason, "stop")
	assert.Equal(t, last.Usage.CompletionTokens, 3)
	assert.DeepEqual(t, last.Versions, twoVersions)
	assert.Equal(t, events[3], "[DONE]")
}

func TestErrorBeforeAndAfterFirstEvent(t *testing.T) {
	f := newFixture(t, func(_ context.Context, request router.Request, onPiece func(router.Piece) error) (router.Result, error) {
		if request.Prompt == "late" {
			if err := onPiece(router.Piece{Tokens: []string{"a"}, Version: 1}); err != nil {
				return router.Result{}, err
			}
			return router.Result{}, errkind.New(errkind.EngineFailed, "engine crashed")
		}
		return router.Result{}, &errkind.Error{Kind: errkind.QueueFull, Message: "full", RetryAfter: 1500 * time.Millisecond}
	})
	response := f.post(t, `{"model":"lookup","prompt":"early","stream":true}`)
	assert.Equal(t, response.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, response.Header.Get("Retry-After"), "2")
	assert.Equal(t, response.Header.Get(api.HeaderExecuted), "no")
	assert.Equal(t, decode[api.ErrorBody](t, response.Body).Error.RetryAfterMS, int64(1500))

	events := readEvents(t, f.post(t, `{"model":"lookup","prompt":"late","stream":true}`).Body)
	assert.Equal(t, len(events), 2, "no [DONE] after an error")
	data, isError := strings.CutPrefix(events[1], "error: ")
	assert.Assert(t, isError)
	detail := decode[api.ErrorBody](t, strings.NewReader(data)).Error
	assert.Equal(t, detail.Code, "engine_failed")
	assert.Equal(t, detail.Executed, "unknown")
}

func TestInvalidRequestsAreNotRun(t *testing.T) {
	f := newFixture(t, func(context.Context, router.Request, func(router.Piece) error) (router.Result, error) {
		t.Error("an invalid request was run")
		return router.Result{}, nil
	})
	valid := `{"model":"lookup","prompt":"p"}`
	tests := []struct {
		name, body string
		headers    []string
		kind       errkind.Kind
	}{
		{"content type", valid, []string{"Content-Type", "text/plain"}, errkind.UnsupportedMediaType},
		{"unknown field", `{"model":"lookup","prompt":"p","top_p":1}`, nil, errkind.InvalidRequest},
		{"trailing data", valid + "{}", nil, errkind.InvalidRequest},
		{"too large", `{"model":"lookup","prompt":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, nil, errkind.PayloadTooLarge},
		{"no prompt", `{"model":"lookup"}`, nil, errkind.InvalidRequest},
		{"long prompt", `{"model":"lookup","prompt":"` + strings.Repeat("x", MaxPromptBytes+1) + `"}`, nil, errkind.InvalidRequest},
		{"no model", `{"prompt":"p"}`, nil, errkind.InvalidRequest},
		{"zero tokens", `{"model":"lookup","prompt":"p","max_tokens":0}`, nil, errkind.InvalidRequest},
		{"many tokens", `{"model":"lookup","prompt":"p","max_tokens":32769}`, nil, errkind.InvalidRequest},
		{"temperature", `{"model":"lookup","prompt":"p","temperature":-1}`, nil, errkind.InvalidRequest},
		{"unknown service", `{"model":"nobody","prompt":"p"}`, nil, errkind.UnknownService},
		{"trainer service", `{"model":"comparables","prompt":"p"}`, nil, errkind.UnknownService},
		{"blank in key", valid, []string{api.HeaderIdempotencyKey, "a b"}, errkind.InvalidRequest},
		{"empty key", valid, []string{api.HeaderIdempotencyKey, ""}, errkind.InvalidRequest},
		{"long key", valid, []string{api.HeaderIdempotencyKey, strings.Repeat("k", 129)}, errkind.InvalidRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := f.post(t, test.body, test.headers...)
			assert.Equal(t, response.StatusCode, test.kind.Response().Status)
			detail := decode[api.ErrorBody](t, response.Body).Error
			assert.Equal(t, detail.Code, test.kind.String())
			assert.Equal(t, detail.Executed, "no")
		})
	}
	f.tables.refusal = errkind.New(errkind.NotCurrent, "the table may be old")
	assert.Equal(t, f.post(t, valid).StatusCode, http.StatusServiceUnavailable)
}

func TestNonRepeatableKeyedRequestUsesExecutor(t *testing.T) {
	f := newFixture(t, func(context.Context, router.Request, func(router.Piece) error) (router.Result, error) {
		t.Error("a keyed request bypassed the executor")
		return router.Result{}, nil
	})
	key := strings.Repeat("~", MaxKeyBytes)
	bodies := []string{
		`{"model":"permit","prompt":"issue 9"}`,
		`{ "stream":true, "max_tokens":256, "prompt":"issue 9", "model":"permit"}`,
		`{"model":"permit","prompt":"issue 10"}`,
	}
	for _, body := range bodies {
		response := f.post(t, body, api.HeaderIdempotencyKey, key)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		_, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, f.keyed[0].Key, key)
	assert.Equal(t, f.keyed[0].Service, "permit")
	assert.Equal(t, f.keyed[0].Submission.Prompt, "issue 9")
	assert.Equal(t, f.keyed[0].Fingerprint, f.keyed[1].Fingerprint)
	assert.Assert(t, f.keyed[0].Fingerprint != f.keyed[2].Fingerprint)
}

func TestDrainWaitsForInflightRequests(t *testing.T) {
	begun := make(chan struct{})
	release := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, request router.Request, onPiece func(router.Piece) error) (router.Result, error) {
		close(begun)
		<-release
		return sendTwoPieces(ctx, request, onPiece)
	})
	status := make(chan int, 1)
	go func() { status <- f.post(t, `{"model":"lookup","prompt":"p"}`).StatusCode }()
	<-begun
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, f.gateway.Drain(canceled), context.Canceled)
	refused := f.post(t, `{"model":"lookup","prompt":"p"}`)
	assert.Equal(t, decode[api.ErrorBody](t, refused.Body).Error.Code, "shutting_down")
	close(release)
	assert.Equal(t, <-status, http.StatusOK)
	drainCtx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.gateway.Drain(drainCtx))
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	canceled := make(chan error, 1)
	f := newFixture(t, func(ctx context.Context, _ router.Request, onPiece func(router.Piece) error) (router.Result, error) {
		if err := onPiece(router.Piece{Tokens: []string{"a"}, Version: 1}); err != nil {
			return router.Result{}, err
		}
		<-ctx.Done()
		canceled <- ctx.Err()
		return router.Result{}, errkind.New(errkind.Canceled, "caller disconnected")
	})
	response := f.post(t, `{"model":"lookup","prompt":"p","stream":true}`)
	assert.NilError(t, response.Body.Close())
	select {
	case err := <-canceled:
		assert.ErrorIs(t, err, context.Canceled)
	case <-time.After(testTimeout):
		t.Fatal("the request was not canceled")
	}
}

// A caller that does not read must not block its request forever.
func TestSlowCallerIsDisconnected(t *testing.T) {
	failed := make(chan error, 1)
	f := newFixture(t, func(_ context.Context, _ router.Request, onPiece func(router.Piece) error) (router.Result, error) {
		tokens := []string{strings.Repeat("x", 1<<16)}
		for index := 0; ; index++ {
			if err := onPiece(router.Piece{FirstToken: index, Tokens: tokens, Version: 1}); err != nil {
				failed <- err
				return router.Result{}, err
			}
		}
	})
	f.gateway.options.WriteTimeout = 50 * time.Millisecond
	f.post(t, `{"model":"lookup","prompt":"p","stream":true}`)
	select {
	case err := <-failed:
		assert.Assert(t, errkind.Is(err, errkind.Canceled))
	case <-time.After(testTimeout):
		t.Fatal("the slow caller was not disconnected")
	}
}

func TestModelsListsLiveServices(t *testing.T) {
	f := newFixture(t, sendTwoPieces)
	response, err := f.server.Client().Get(f.server.URL + "/v1/models")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	list := decode[ModelList](t, response.Body)
	assert.Equal(t, fmt.Sprint(list.Data), "[{lookup model corkpulley} {permit model corkpulley}]")
}

// BenchmarkEvent measures sending one piece as an event.
func BenchmarkEvent(b *testing.B) {
	writer := newDeadlineWriter(httptest.NewRecorder(), DefaultWriteTimeout)
	responder := &eventResponder{writer: writer, template: completionTemplate{id: "node-1-x", service: "lookup"}}
	piece := router.Piece{Tokens: []string{"one ", "two ", "three ", "four "}, Version: 12}
	b.ReportAllocs()
	for b.Loop() {
		if err := responder.piece(piece); err != nil {
			b.Fatal(err)
		}
		writer.ResponseWriter.(*httptest.ResponseRecorder).Body.Reset()
	}
}
