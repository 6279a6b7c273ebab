package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// truncatingEngine sends an answer that is cut off after twice the size of a spool.
type truncatingEngine struct{}

func (truncatingEngine) Send(context.Context, fleet.Engine, Call) (*Answer, error) {
	part := bytes.NewReader(make([]byte, 2*callerwrite.MaxBufferedBytes))
	return &Answer{
		Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(part, failingReader{})),
	}, nil
}

// failingReader is a connection that the peer has closed.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// pausedCaller blocks writes until resume is closed.
type pausedCaller struct {
	discardWriter
	resume chan struct{}
}

func (c *pausedCaller) Write(content []byte) (int, error) {
	<-c.resume
	return len(content), nil
}

// suspectedAfterTruncation relays a truncated answer, to a stalled caller if pause is true, and reports whether its
// engine is suspected afterwards. A test with a stalled caller must run in a synctest bubble.
func suspectedAfterTruncation(t *testing.T, pause bool) bool {
	t.Helper()
	relay := newRelay(scriptedEngines{"a": {Status: http.StatusOK}}, noCrashes{}, 1)
	relay.options.Engines = truncatingEngine{}
	budget := bytebudget.New(1 << 30)
	relay.options.CallerLimits = callerwrite.Limits{Budget: budget}
	var passed atomic.Int64
	began := time.Now()
	relay.now = func() time.Time { return began.Add(time.Duration(passed.Load())) }
	caller := &pausedCaller{resume: make(chan struct{})}
	if !pause {
		close(caller.resume)
	}
	x, cancel, failure := relay.begin(caller, t.Context(), &Request{
		ID: "r", Method: http.MethodGet, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
	})
	assert.Assert(t, failure == nil)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		assert.Check(t, x.run() != nil, "a truncated answer was reported as complete")
	}()
	if pause {
		// Only the wait for the caller blocks the relay. The budget fills up before the relay reads the clock for it.
		synctest.Wait()
		assert.Check(t, budget.Held(bytebudget.Answers) > callerwrite.MaxBufferedBytes-copyBufferBytes,
			"the engine does not wait for the caller")
		passed.Add(int64(callerStallThreshold))
		close(caller.resume)
	}
	<-ended
	assert.Equal(t, budget.Held(bytebudget.Answers), int64(0))
	return relay.options.Fleet.Suspected(incarnation.ID{Engine: "a"}, time.Now())
}

// TestEngineStalledByCallerIsNotSuspected: engines abort answers that the caller does not read.
func TestEngineStalledByCallerIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Assert(t, !suspectedAfterTruncation(t, true))
	})
}

// TestEngineThatTruncatesAnswerIsSuspected: the caller reads without delay.
func TestEngineThatTruncatesAnswerIsSuspected(t *testing.T) {
	assert.Assert(t, suspectedAfterTruncation(t, false))
}
