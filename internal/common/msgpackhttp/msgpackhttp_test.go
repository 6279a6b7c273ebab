package msgpackhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type testRequest struct {
	Text string `msgpack:"t"`
}

type testResponse struct {
	Text string `msgpack:"t"`
}

func echo(_ context.Context, request testRequest) testResponse {
	return testResponse{Text: "re: " + request.Text}
}

func TestCallReturnsTheResponse(t *testing.T) {
	server := httptest.NewServer(Handle(64, echo))
	defer server.Close()
	var got testResponse
	assert.NilError(t, Call(t.Context(), http.DefaultClient, server.URL, &testRequest{Text: "a"}, &got, 64))
	assert.Equal(t, got.Text, "re: a")
}

func TestMessagesAreLimitedAndValidated(t *testing.T) {
	server := httptest.NewServer(Handle(64, echo))
	defer server.Close()
	var got testResponse
	long := &testRequest{Text: strings.Repeat("a", 100)}
	assert.ErrorContains(t, Call(t.Context(), http.DefaultClient, server.URL, long, &got, 64), "status 400")
	assert.ErrorContains(t, Call(t.Context(), http.DefaultClient, server.URL, &testRequest{Text: "abcdef"}, &got, 4), "message")
	response, err := http.Post(server.URL, "", strings.NewReader("\xdd\xff\xff\xff\xff"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.NilError(t, response.Body.Close())
}

func TestInvalidResponseAndConnectionFailureReturnErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("<html>"))
	}))
	defer server.Close()
	var got testResponse
	assert.ErrorContains(t, Call(t.Context(), http.DefaultClient, server.URL, &testRequest{}, &got, 64), "message")
	server.Close()
	assert.ErrorContains(t, Call(t.Context(), http.DefaultClient, server.URL, &testRequest{}, &got, 64), "send request")
}

// Guards against late execution: a peer that serves the request after its sender has given up must not
// receive the body.
func TestExpectContinueSendsBodyOnlyOnRequest(t *testing.T) {
	proceed, served := make(chan struct{}), make(chan struct{})
	calls := 0
	count := func(ctx context.Context, request testRequest) testResponse {
		calls++
		return echo(ctx, request)
	}
	handler := Handle(64, count)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		handler.ServeHTTP(w, r)
		served <- struct{}{}
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var got testResponse
	assert.ErrorIs(t, CallExpectContinue(ctx, client, server.URL, &testRequest{Text: "a"}, &got, 64), context.DeadlineExceeded)
	close(proceed)
	<-served
	assert.Equal(t, calls, 0)
	go func() { <-served }()
	assert.NilError(t, CallExpectContinue(t.Context(), client, server.URL, &testRequest{Text: "a"}, &got, 64))
	assert.Equal(t, got.Text, "re: a")
}

// Guards against ages in a request that were computed before the request got to the peer: a request that waits on its
// way must be encoded after the wait, and not at all if its sender gave up.
func TestDeferredRequestIsEncodedWhenThePeerRequestsIt(t *testing.T) {
	proceed, began := make(chan struct{}), make(chan time.Time, 1)
	handler := Handle(64, echo)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		began <- time.Now()
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
	var got testResponse
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	neverEncoded := func() (any, error) {
		t.Error("the request was encoded although its sender gave up")
		return &testRequest{}, nil
	}
	assert.ErrorIs(t, CallDeferred(ctx, client, server.URL, neverEncoded, &got, 64), context.DeadlineExceeded)
	close(proceed)
	<-began
	var encodedAt time.Time
	encode := func() (any, error) {
		encodedAt = time.Now()
		return &testRequest{Text: "a"}, nil
	}
	assert.NilError(t, CallDeferred(t.Context(), client, server.URL, encode, &got, 64))
	assert.Equal(t, got.Text, "re: a")
	assert.Assert(t, !encodedAt.Before(<-began))
	failing := func() (any, error) { return nil, io.ErrNoProgress }
	assert.ErrorIs(t, CallDeferred(t.Context(), client, server.URL, failing, &got, 64), io.ErrNoProgress)
}
