package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// brokenOff is an answer of two megabytes that ends before it is whole.
type brokenOff struct{}

func (brokenOff) Send(context.Context, fleet.Engine, Call) (*Answer, error) {
	part := bytes.NewReader(make([]byte, 2*callerwrite.MaxHeld))
	return &Answer{
		Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(part, failingReader{})),
	}, nil
}

// failingReader is a connection that its other end has closed.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// pausedCaller takes nothing until it goes on.
type pausedCaller struct {
	answerHead
	goOn chan struct{}
}

func (c *pausedCaller) Write(content []byte) (int, error) {
	<-c.goOn
	return len(content), nil
}

// suspectedAfter relays an answer that breaks off and tells whether its engine is suspected then.
func suspectedAfter(t *testing.T, pause bool) bool {
	t.Helper()
	relay := newRelay(scriptedEngines{"a": {Status: http.StatusOK}}, noCrashes{}, 1)
	relay.options.Engines = brokenOff{}
	budget := bytebudget.New(1 << 30)
	relay.options.Callers = callerwrite.Limits{Budget: budget}
	var passed atomic.Int64
	began := time.Now()
	relay.now = func() time.Time { return began.Add(time.Duration(passed.Load())) }
	caller := &pausedCaller{goOn: make(chan struct{})}
	if !pause {
		close(caller.goOn)
	}
	x, cancel, failure := relay.begin(caller, t.Context(), &Request{
		ID: "r", Method: http.MethodGet, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
	})
	assert.Assert(t, failure == nil)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		assert.Check(t, x.run() != nil, "what broke off is told as whole")
	}()
	if pause {
		testwait.Until(t, "an engine that waits for the caller", func() bool {
			return budget.Held(bytebudget.Answers) > callerwrite.MaxHeld-copyBytes
		})
		passed.Add(int64(heldUp))
		close(caller.goOn)
	}
	<-ended
	assert.Equal(t, budget.Held(bytebudget.Answers), int64(0))
	return relay.options.Fleet.Suspected(incarnation.ID{Engine: "a"}, time.Now())
}

// TestAnEngineThatHadToWaitForTheCallerIsNotToBlame: it breaks off answers that nobody reads.
func TestAnEngineThatHadToWaitForTheCallerIsNotToBlame(t *testing.T) {
	assert.Assert(t, !suspectedAfter(t, true))
}

// TestAnEngineThatBreaksOffByItselfIsSuspected: the caller took all there was.
func TestAnEngineThatBreaksOffByItselfIsSuspected(t *testing.T) {
	assert.Assert(t, suspectedAfter(t, false))
}
