package msgpackhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type question struct {
	Text string `msgpack:"t"`
}

type answer struct {
	Text string `msgpack:"t"`
}

func echo(_ context.Context, asked question) answer { return answer{Text: "re: " + asked.Text} }

func TestQuestionsAreAnswered(t *testing.T) {
	server := httptest.NewServer(Handle(64, echo))
	defer server.Close()
	var got answer
	assert.NilError(t, Ask(t.Context(), http.DefaultClient, server.URL, &question{Text: "a"}, &got, 64))
	assert.Equal(t, got.Text, "re: a")
}

func TestMessagesAreBoundedAndChecked(t *testing.T) {
	server := httptest.NewServer(Handle(64, echo))
	defer server.Close()
	var got answer
	long := &question{Text: strings.Repeat("a", 100)}
	assert.ErrorContains(t, Ask(t.Context(), http.DefaultClient, server.URL, long, &got, 64), "status 400")
	assert.ErrorContains(t, Ask(t.Context(), http.DefaultClient, server.URL, &question{Text: "abcdef"}, &got, 4), "message")
	response, err := http.Post(server.URL, "", strings.NewReader("\xdd\xff\xff\xff\xff"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.NilError(t, response.Body.Close())
}

func TestAnswersThatAreNoneAreErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("<html>"))
	}))
	defer server.Close()
	var got answer
	assert.ErrorContains(t, Ask(t.Context(), http.DefaultClient, server.URL, &question{}, &got, 64), "message")
	server.Close()
	assert.ErrorContains(t, Ask(t.Context(), http.DefaultClient, server.URL, &question{}, &got, 64), "ask")
}

// TestAQuestionIsSentOnceItIsAskedFor: a peer that has not started to serve the request receives no
// body once its sender has left.
func TestAQuestionIsSentOnceItIsAskedFor(t *testing.T) {
	goesOn, answered := make(chan struct{}), make(chan struct{})
	asked := 0
	count := func(ctx context.Context, of question) answer {
		asked++
		return echo(ctx, of)
	}
	handler := Handle(64, count)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-goesOn
		handler.ServeHTTP(w, r)
		answered <- struct{}{}
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var got answer
	assert.ErrorIs(t, AskOnceHeard(ctx, client, server.URL, &question{Text: "a"}, &got, 64), context.DeadlineExceeded)
	close(goesOn)
	<-answered
	assert.Equal(t, asked, 0)
	go func() { <-answered }()
	assert.NilError(t, AskOnceHeard(t.Context(), client, server.URL, &question{Text: "a"}, &got, 64))
	assert.Equal(t, got.Text, "re: a")
}
