package live

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/httpapi"
)

var twoVersions = []api.VersionSpan{{Version: 3, From: 0, To: 2}, {Version: 4, From: 2, To: 3}}

func newCompletion(text string, tokens int, versions []api.VersionSpan) api.Completion {
	reason := "stop"
	return api.Completion{
		ID:       "r1",
		Choices:  []api.CompletionChoice{{Text: text, FinishReason: &reason}},
		Usage:    &api.Usage{CompletionTokens: tokens},
		Versions: versions,
	}
}

func sendTo(t *testing.T, call Call, handler http.HandlerFunc) Outcome {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	client := NewClient()
	defer client.Close()
	call.Address = strings.TrimPrefix(server.URL, "http://")
	return client.Send(context.Background(), call)
}

func sendPlain(t *testing.T, body api.Completion) Outcome {
	t.Helper()
	return sendTo(t, Call{Service: "s", MaxTokens: 3}, func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusOK, body)
	})
}

func TestSendValidatesPlainCompletion(t *testing.T) {
	good := sendPlain(t, newCompletion("0:3 1:3 2:4 ", 3, twoVersions))
	assert.Assert(t, good.OK(), "%+v", good)
	assert.Assert(t, good.TimeToFirstToken > 0)
	for name, bad := range map[string]api.Completion{
		"gap":               newCompletion("0:3 2:3 3:4 ", 3, twoVersions),
		"usage":             newCompletion("0:3 1:3 2:4 ", 4, twoVersions),
		"version":           newCompletion("0:3 1:4 2:4 ", 3, twoVersions),
		"unversioned token": newCompletion("0:3 1:3 2:4 ", 3, twoVersions[:1]),
		"too many tokens":   newCompletion("0:4 1:4 2:4 3:4 ", 4, []api.VersionSpan{{Version: 4, From: 0, To: 4}}),
		"foreign text":      newCompletion("hello", 1, twoVersions),
		"no usage":          {ID: "r1", Choices: newCompletion("", 0, nil).Choices},
	} {
		outcome := sendPlain(t, bad)
		assert.Assert(t, outcome.Invalid() && !outcome.OK(), "%s: %+v", name, outcome)
	}
}

func TestSendRejectsCompletionOfUnexpectedLength(t *testing.T) {
	three := newCompletion("0:3 1:3 2:4 ", 3, twoVersions)
	for prompt, complete := range map[string]bool{"a [tokens=3]": true, "a [tokens=9]": true, "a [tokens=2]": false} {
		outcome := sendTo(t, Call{Service: "s", Prompt: prompt, MaxTokens: 3}, func(w http.ResponseWriter, _ *http.Request) {
			httpapi.WriteJSON(w, http.StatusOK, three)
		})
		assert.Equal(t, outcome.OK(), complete, "%s: %+v", prompt, outcome)
	}
	cut := sendTo(t, Call{Service: "s", Prompt: "a [tokens=4]", MaxTokens: 9}, func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusOK, three)
	})
	assert.Assert(t, cut.Invalid())
}

// streamHandler responds with an event stream: strings are written verbatim, other bodies as JSON events.
func streamHandler(bodies ...any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(api.HeaderRequestID, "r9")
		for _, body := range bodies {
			if text, ok := body.(string); ok {
				_, _ = fmt.Fprint(w, text)
				continue
			}
			encoded, _ := json.Marshal(body)
			_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
		}
	}
}

func partialCompletion(text string) api.Completion {
	return api.Completion{ID: "r9", Choices: []api.CompletionChoice{{Text: text}}}
}

func TestSendValidatesStreamedCompletion(t *testing.T) {
	call := Call{Service: "s", Stream: true, MaxTokens: 3}
	last := newCompletion("2:4 ", 3, twoVersions)
	complete := sendTo(t, call, streamHandler(": comment\n\n", partialCompletion("0:3 1:3 "), last, "data: [DONE]\n\n"))
	assert.Assert(t, complete.OK(), "%+v", complete)
	assert.Equal(t, complete.RequestID, "r9")

	cut := sendTo(t, call, streamHandler(partialCompletion("0:3 1:3 "), last))
	assert.Assert(t, !cut.Done && cut.TransportError != "")

	failed := sendTo(t, call, streamHandler(partialCompletion("0:3 "), api.ErrorBody{Error: api.ErrorDetail{Code: "engine_failed", Executed: "unknown"}}))
	assert.Assert(t, failed.Done && !failed.OK() && !failed.Invalid())
	assert.Equal(t, failed.Code, "engine_failed")

	doubled := sendTo(t, call, streamHandler(partialCompletion("0:3 1:3 "), partialCompletion("1:3 "), last, "data: [DONE]\n\n"))
	assert.Assert(t, doubled.Invalid())
}

func TestSendChecksExecutedHeaderAgainstErrorBody(t *testing.T) {
	refused := sendTo(t, Call{Service: "s"}, func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteError(w, errkind.New(errkind.QueueFull, "full"))
	})
	assert.Equal(t, refused.Executed, "no")
	assert.Equal(t, refused.Status, http.StatusTooManyRequests)
	assert.Assert(t, refused.Done && !refused.Invalid())

	disagreeing := sendTo(t, Call{Service: "s"}, func(w http.ResponseWriter, _ *http.Request) {
		detail := httpapi.ErrorDetail(errkind.New(errkind.QueueFull, "full"))
		httpapi.WriteJSON(w, http.StatusTooManyRequests, api.ErrorBody{Error: detail})
	})
	assert.Assert(t, disagreeing.Invalid())
}

func TestLoadRunSendsUniquePrompts(t *testing.T) {
	prompts := make(chan string, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request api.CompletionRequest
		assert.Check(t, json.NewDecoder(r.Body).Decode(&request))
		assert.Check(t, r.Header.Get(api.HeaderIdempotencyKey) != "")
		prompts <- request.Prompt
		httpapi.WriteJSON(w, http.StatusOK, newCompletion("0:3 1:3 2:4 ", 3, twoVersions))
	}))
	defer server.Close()
	client, recorder := NewClient(), NewRecorder()
	defer client.Close()
	load := Load{
		Addresses: []string{strings.TrimPrefix(server.URL, "http://")},
		Service:   "desk", Rate: 1e6, Count: 20, Seed: 7, PrefixGroups: 2, PrefixBytes: 128, WithIdempotencyKeys: true,
	}
	assert.NilError(t, load.Run(t.Context(), client, recorder))
	close(prompts)
	seen := map[string]bool{}
	for prompt := range prompts {
		seen[prompt] = true
	}
	assert.Equal(t, len(seen), 20)
	summary := recorder.Summary()
	assert.Equal(t, summary.OK, 20)
	assert.Equal(t, summary.Latency.Count, int64(20))
}

func TestLoadCallsAreDeterministicForSeed(t *testing.T) {
	load := Load{Addresses: []string{"a", "b"}, Service: "s", Seed: 3, PrefixGroups: 4}
	first, second := load, load
	for number := range 10 {
		assert.Equal(t, first.call(number, newRandom(3)), second.call(number, newRandom(3)))
	}
	spread := Load{Addresses: []string{"a"}, Service: "s", Tokens: 5, TokenSpread: 2}
	assert.Assert(t, strings.HasSuffix(spread.call(4, newRandom(3)).Prompt, "[tokens=6]"))
	invalid := Load{Addresses: []string{"a"}, Service: "s", Rate: 0, Duration: time.Second}
	assert.ErrorContains(t, invalid.Validate(), "rate")
}
