package logrelay

import (
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
