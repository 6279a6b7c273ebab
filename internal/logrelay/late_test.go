package logrelay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestACallIsNotCarriedOutLongAfterItsSenderGaveUp: a node that stands still has the call lying
// in its socket, and finds it there when it goes on.
func TestACallIsNotCarriedOutLongAfterItsSenderGaveUp(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	inner := NewHandler(log, func() bool { return true }, nil)
	goesOn, carriedOut := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-goesOn
		inner.ServeHTTP(w, r)
		close(carriedOut)
	}))
	defer server.Close()
	other := &peer{client: NewClient(), address: server.Listener.Addr().String()}
	partition := eventlog.Partition{Topic: "t"}
	_, err := other.Append(t.Context(), partition, [][]byte{{1}})
	assert.ErrorIs(t, err, eventlog.ErrOutcomeUnknown)
	const freeze = 500 * time.Millisecond
	time.Sleep(freeze) // in which the node stands still
	close(goesOn)
	<-carriedOut
	assert.Equal(t, log.End(partition), int64(0), "the log took a call that nobody waits for")
}

// lyingBody is a body that was read, and lies in a node that stands still until the channel is
// closed.
type lyingBody struct {
	io.ReadCloser
	goesOn <-chan struct{}
	read   *bytes.Reader
}

func (b *lyingBody) Read(into []byte) (int, error) {
	if b.read == nil {
		content, err := io.ReadAll(b.ReadCloser)
		if err != nil {
			return 0, err
		}
		b.read = bytes.NewReader(content)
		<-b.goesOn
	}
	return b.read.Read(into)
}

// TestACallThatLayInANodeIsNotCarriedOut: the node has asked for the call, and stands still then.
func TestACallThatLayInANodeIsNotCarriedOut(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	inner := NewHandler(log, func() bool { return true }, nil)
	goesOn, carriedOut := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &lyingBody{ReadCloser: r.Body, goesOn: goesOn}
		inner.ServeHTTP(w, r)
		close(carriedOut)
	}))
	defer server.Close()
	other := &peer{client: NewClient(), address: server.Listener.Addr().String()}
	partition := eventlog.Partition{Topic: "t"}
	_, err := other.Append(t.Context(), partition, [][]byte{{1}})
	assert.ErrorIs(t, err, eventlog.ErrOutcomeUnknown)
	time.Sleep(100 * time.Millisecond)
	close(goesOn)
	<-carriedOut
	assert.Equal(t, log.End(partition), int64(0), "the log took a call that nobody waits for")
}

// TestACallIsLateOnceItsSenderHasLeft: or must have, although nothing was heard of it yet.
func TestACallIsLateOnceItsSenderHasLeft(t *testing.T) {
	call := request{Operation: opAppend, Patience: time.Second}
	assert.Assert(t, !isLate(t.Context(), call, 900*time.Millisecond))
	assert.Assert(t, isLate(t.Context(), call, 1100*time.Millisecond))
	assert.Assert(t, !isLate(t.Context(), request{Operation: opAppend}, time.Hour), "nothing is known")
	left, leave := context.WithCancel(t.Context())
	leave()
	assert.Assert(t, isLate(left, call, 0))
}
