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

// TestRelayedWriteIsDroppedAfterSenderTimeout guards against a suspended node that resumes and makes a call which
// waited in its socket after the sender gave up.
func TestRelayedWriteIsDroppedAfterSenderTimeout(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	handler := NewHandler(log, func() bool { return true }, nil)
	resume, handled := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-resume
		handler.ServeHTTP(w, r)
		close(handled)
	}))
	defer server.Close()
	sender := &relayClient{client: NewClient(), address: server.Listener.Addr().String()}
	partition := eventlog.Partition{Topic: "t"}
	_, err := sender.Append(t.Context(), partition, [][]byte{{1}})
	assert.ErrorIs(t, err, eventlog.ErrOutcomeUnknown)
	const suspension = 500 * time.Millisecond
	time.Sleep(suspension)
	close(resume)
	<-handled
	assert.Equal(t, log.End(partition), int64(0), "an abandoned call was made")
}

// delayedBody is a request body that has been received, but is returned to its reader only after resume is closed.
type delayedBody struct {
	io.ReadCloser
	resume <-chan struct{}
	read   *bytes.Reader
}

func (b *delayedBody) Read(into []byte) (int, error) {
	if b.read == nil {
		content, err := io.ReadAll(b.ReadCloser)
		if err != nil {
			return 0, err
		}
		b.read = bytes.NewReader(content)
		<-b.resume
	}
	return b.read.Read(into)
}

// TestRelayedWriteIsDroppedAfterSuspension guards against making an abandoned call when the node is suspended after
// it received the body.
func TestRelayedWriteIsDroppedAfterSuspension(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	handler := NewHandler(log, func() bool { return true }, nil)
	resume, handled := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &delayedBody{ReadCloser: r.Body, resume: resume}
		handler.ServeHTTP(w, r)
		close(handled)
	}))
	defer server.Close()
	sender := &relayClient{client: NewClient(), address: server.Listener.Addr().String()}
	partition := eventlog.Partition{Topic: "t"}
	_, err := sender.Append(t.Context(), partition, [][]byte{{1}})
	assert.ErrorIs(t, err, eventlog.ErrOutcomeUnknown)
	time.Sleep(100 * time.Millisecond)
	close(resume)
	<-handled
	assert.Equal(t, log.End(partition), int64(0), "an abandoned call was made")
}

// TestCallIsAbandonedAfterTimeoutOrCancellation also covers a sender whose disconnect has not been noticed yet.
func TestCallIsAbandonedAfterTimeoutOrCancellation(t *testing.T) {
	call := request{Operation: opAppend, SenderTimeout: time.Second}
	assert.Assert(t, !isAbandoned(t.Context(), call, 900*time.Millisecond))
	assert.Assert(t, isAbandoned(t.Context(), call, 1100*time.Millisecond))
	assert.Assert(t, !isAbandoned(t.Context(), request{Operation: opAppend}, time.Hour), "the sender timeout is unknown")
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, isAbandoned(canceled, call, 0))
}
