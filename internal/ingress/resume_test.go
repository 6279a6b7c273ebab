package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// answerSequence gives each try the next answer, whichever engine it is sent to, and records where tries resume.
type answerSequence struct {
	mu      sync.Mutex
	answers []*Answer
	resumed []int64
}

func (s *answerSequence) Send(_ context.Context, _ fleet.Engine, call Call) (*Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		return nil, &SendError{Cause: io.ErrClosedPipe}
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.resumed = append(s.resumed, call.After)
	return answer, nil
}

// streamAnswer is an answer with the events of the given IDs, which breaks off after them if broken is true.
func streamAnswer(broken bool, ids ...int) *Answer {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", id, id)
	}
	return eventAnswer(broken, text.String())
}

func eventAnswer(broken bool, text string) *Answer {
	body := io.Reader(strings.NewReader(text))
	if broken {
		body = io.MultiReader(body, failingReader{})
	}
	return &Answer{
		Status: http.StatusOK, Stamp: "stamp", Header: http.Header{"Content-Type": {eventStream}}, Body: io.NopCloser(body),
	}
}

func plainAnswer(status int, notExecuted bool) *Answer {
	return &Answer{
		Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, NotExecuted: notExecuted,
		Body: io.NopCloser(strings.NewReader("no stream")),
	}
}

// streamResult is what a caller received of a stream.
type streamResult struct {
	status  int
	body    string
	readErr error
	// logs holds the relay's log, engines what the tries were given.
	logs    string
	engines *answerSequence
}

// callStream sends a request of a resumable route over a real connection.
func callStream(t *testing.T, maxAttempts int, answers ...*Answer) streamResult {
	t.Helper()
	engines := &answerSequence{answers: answers}
	var logs bytes.Buffer
	relay := newRelay(scriptedEngines{"a": {}, "b": {}, "c": {}, "d": {}}, noCrashes{}, maxAttempts)
	table := routes.NewTable(routes.Definition{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "h", Prefix: "/x/", Kind: routes.Streaming, Resumable: true,
		Parts: []routes.Part{{Service: "s", Weight: 1}}, Timeout: time.Second, MaxAttempts: maxAttempts,
	}}})
	relay.options.Engines, relay.options.Logger = engines, zerolog.New(&logs)
	relay.options.Table = func() *routes.Table { return table }
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		failure := relay.Serve(w, r.Context(), &Request{
			ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
		})
		if failure != nil {
			w.WriteHeader(failure.Kind.Response().Status)
		}
	}))
	defer server.Close()
	response, err := http.Post(server.URL, "", nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, readErr := io.ReadAll(response.Body)
	<-ended
	return streamResult{
		status: response.StatusCode, body: string(body), readErr: readErr, logs: logs.String(), engines: engines,
	}
}

// Guards against a stream that ends as complete although no engine sent its last event.
func TestInterruptedStreamIsCompletedOnlyByItsContinuation(t *testing.T) {
	partial := "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
	for name, continuation := range map[string]*Answer{
		"server error":          plainAnswer(http.StatusInternalServerError, false),
		"gateway timeout":       plainAnswer(http.StatusGatewayTimeout, false),
		"bad request":           plainAnswer(http.StatusBadRequest, false),
		"unprocessable":         plainAnswer(http.StatusUnprocessableEntity, false),
		"success, not a stream": plainAnswer(http.StatusOK, false),
		"not executed":          plainAnswer(http.StatusServiceUnavailable, true),
		"other event":           streamAnswer(false, 4),
		"first event again":     streamAnswer(false, 1, 2, 3),
		"breaks off":            streamAnswer(true),
		"none":                  nil,
	} {
		t.Run(name, func(t *testing.T) {
			answers := []*Answer{streamAnswer(true, 1, 2)}
			if continuation != nil {
				answers = append(answers, continuation)
			}
			result := callStream(t, 2, answers...)
			assert.Equal(t, result.status, http.StatusOK)
			assert.Equal(t, result.body, partial)
			assert.ErrorIs(t, result.readErr, io.ErrUnexpectedEOF)
			assert.Assert(t, strings.Contains(result.logs, `"status":200,"complete":false`), result.logs)
		})
	}
}

// Guards against giving a stream up, or passing on an error's body, while another engine may continue it.
func TestInterruptedStreamContinuesAfterFailedContinuation(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusInternalServerError} {
		result := callStream(t, 3, streamAnswer(true, 1, 2), plainAnswer(status, false), streamAnswer(false, 3))
		assert.NilError(t, result.readErr, "status %d", status)
		assert.Equal(t, result.body, "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n")
		assert.DeepEqual(t, result.engines.resumed, []int64{0, 2, 2})
		assert.Assert(t, strings.Contains(result.logs, `"status":200,"complete":true`), result.logs)
	}
}

// Guards against events without IDs that a second engine would send again.
func TestStreamWithUnnumberedEventsIsNotResumed(t *testing.T) {
	result := callStream(t, 2, eventAnswer(true, "data: one\n\n"), eventAnswer(false, "data: one\n\ndata: two\n\n"))
	assert.Equal(t, result.body, "data: one\n\n")
	assert.ErrorIs(t, result.readErr, io.ErrUnexpectedEOF)
	assert.Equal(t, len(result.engines.resumed), 1)
}

// failingCaller accepts no byte.
type failingCaller struct{ discardWriter }

func (*failingCaller) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against an answer that is logged as complete although it was not written.
func TestAnswerThatCallerDoesNotReadIsNotComplete(t *testing.T) {
	for name, answer := range map[string]*Answer{
		"plain": plainAnswer(http.StatusOK, false), "stream": streamAnswer(false, 1),
		"large": {
			Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(make([]byte, 2*maxBufferedBytes))),
		},
	} {
		t.Run(name, func(t *testing.T) {
			var logs bytes.Buffer
			relay := newRelay(scriptedEngines{"a": {}}, noCrashes{}, 2)
			relay.options.Engines = &answerSequence{answers: []*Answer{answer}}
			relay.options.Logger = zerolog.New(&logs)
			aborted := func() (reason any) {
				defer func() { reason = recover() }()
				_ = relay.Serve(&failingCaller{}, t.Context(), &Request{
					ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
				})
				return nil
			}()
			assert.Equal(t, aborted, http.ErrAbortHandler)
			assert.Assert(t, strings.Contains(logs.String(), `"complete":false`), logs.String())
			assert.Assert(t, strings.Contains(logs.String(), `"kind":"canceled"`), logs.String())
		})
	}
}
