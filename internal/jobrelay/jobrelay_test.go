package jobrelay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// fakeJobs answers queries with its name and counts them.
type fakeJobs struct {
	name    string
	queries atomic.Int64
	// failure is the error of each query; nil for an answer.
	failure error
	// lastWait is the wait of the last query for results.
	lastWait atomic.Int64
}

func (f *fakeJobs) Results(_ context.Context, jobID string, from int, wait time.Duration) (batchjobs.Results, error) {
	f.queries.Add(1)
	f.lastWait.Store(int64(wait))
	if f.failure != nil {
		return batchjobs.Results{}, f.failure
	}
	return batchjobs.Results{Total: from + 1, Results: []batchjobs.ResultText{{
		ItemID: jobID, Outcome: batch.Completed, Text: []byte(f.name), Versions: []int64{3, 4}, Score: "s",
	}}}, nil
}

func (f *fakeJobs) Body(context.Context, string, string) ([]byte, error) {
	f.queries.Add(1)
	return []byte(f.name), f.failure
}

func (f *fakeJobs) End(context.Context, string) error {
	f.queries.Add(1)
	return f.failure
}

func always(homes.Set) bool { return true }

// startServer starts a node with the jobs and returns its address.
func startServer(t *testing.T, jobs Jobs, isReplicaFor func(homes.Set) bool) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(jobs, isReplicaFor))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startUnresponsiveServer starts a node that does not answer before the test ends, and returns its address.
func startUnresponsiveServer(t *testing.T) string {
	t.Helper()
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	return strings.TrimPrefix(server.URL, "http://")
}

func newTestRelay(own Jobs, addresses ...string) *Relay {
	directoryRead := make(chan struct{})
	close(directoryRead)
	return NewRelay(own, func(homes.Set) []string { return addresses }, directoryRead, &http.Client{}, zerolog.Nop())
}

func TestReplicaAnswersAllQueries(t *testing.T) {
	own, replica := &fakeJobs{name: "own"}, &fakeJobs{name: "replica"}
	relay := newTestRelay(own, startServer(t, replica, always))
	results, err := relay.Results(t.Context(), "j", 6, 20*time.Millisecond)
	assert.NilError(t, err)
	assert.DeepEqual(t, results, batchjobs.Results{Total: 7, Results: []batchjobs.ResultText{{
		ItemID: "j", Outcome: batch.Completed, Text: []byte("replica"), Versions: []int64{3, 4}, Score: "s",
	}}})
	assert.Equal(t, time.Duration(replica.lastWait.Load()), 20*time.Millisecond)
	body, err := relay.Body(t.Context(), "j", "i")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "replica")
	assert.NilError(t, relay.End(t.Context(), "j"))
	assert.Equal(t, own.queries.Load(), int64(0))
}

// A definite error of a replica must be returned without querying another one.
func TestErrorsKeepTheirKind(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.NotFound, errkind.LogUnavailable, errkind.OutcomeUnknownRepeatable} {
		own, replica := &fakeJobs{}, &fakeJobs{failure: errkind.New(kind, "why")}
		relay := newTestRelay(own, startServer(t, replica, always))
		_, err := relay.Results(t.Context(), "j", 0, 0)
		assert.Equal(t, errkind.KindOf(err), kind)
		assert.ErrorContains(t, err, "why")
		_, err = relay.Body(t.Context(), "j", "i")
		assert.Equal(t, errkind.KindOf(err), kind)
		assert.Equal(t, errkind.KindOf(relay.End(t.Context(), "j")), kind)
		assert.Equal(t, own.queries.Load(), int64(0))
	}
}

func TestLocalNodeAnswersWithoutReplicas(t *testing.T) {
	own := &fakeJobs{name: "own"}
	relay := newTestRelay(own)
	body, err := relay.Body(t.Context(), "j", "i")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "own")
	_, err = relay.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	assert.NilError(t, relay.End(t.Context(), "j"))
	assert.Equal(t, own.queries.Load(), int64(3))
}

// The node must neither read the index itself nor report the job as missing.
func TestQueryFailsAsRetryableWhenNoReplicaAnswers(t *testing.T) {
	own := &fakeJobs{name: "own"}
	other := startServer(t, &fakeJobs{name: "other"}, func(homes.Set) bool { return false })
	for _, address := range []string{other, startUnresponsiveServer(t)} {
		_, err := newTestRelay(own, address).Body(t.Context(), "j", "i")
		assert.Equal(t, errkind.KindOf(err), errkind.LogUnavailable)
	}
	// After a lost answer, the end may have been recorded.
	assert.Equal(t, errkind.KindOf(newTestRelay(own, other).End(t.Context(), "j")), errkind.LogUnavailable)
	assert.Equal(t, errkind.KindOf(newTestRelay(own, startUnresponsiveServer(t)).End(t.Context(), "j")),
		errkind.OutcomeUnknownRepeatable)
	assert.Equal(t, own.queries.Load(), int64(0))
}

// Guards against waiting for the same unresponsive replica in every query.
func TestUnresponsiveReplicaIsSkippedAfterOneTimeout(t *testing.T) {
	own, replica := &fakeJobs{name: "own"}, &fakeJobs{name: "replica"}
	relay := newTestRelay(own, startUnresponsiveServer(t), startServer(t, replica, always))
	results, err := relay.Results(t.Context(), "j", 0, 10*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, string(results.Results[0].Text), "replica")
	assert.Equal(t, replica.lastWait.Load(), int64(0))
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout/2)
	defer cancel()
	_, err = relay.Results(ctx, "j", 0, 0)
	assert.NilError(t, err, "the unresponsive replica was queried again")
	assert.Equal(t, own.queries.Load(), int64(0))
}

// Guards against skipping a replica because a caller canceled its query.
func TestCanceledQueryDoesNotPauseReplica(t *testing.T) {
	own, replica := &fakeJobs{name: "own"}, &fakeJobs{name: "replica"}
	relay := newTestRelay(own, startServer(t, replica, always))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := relay.Body(ctx, "j", "i")
	assert.Equal(t, errkind.KindOf(err), errkind.Canceled)
	body, err := relay.Body(t.Context(), "j", "i")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "replica")
	assert.Equal(t, own.queries.Load(), int64(0))
}

// Without the directory, the node would read the whole index itself.
func TestQueryWaitsForNodeDirectory(t *testing.T) {
	own, replica := &fakeJobs{name: "own"}, &fakeJobs{name: "replica"}
	address := startServer(t, replica, always)
	directoryRead := make(chan struct{})
	var addresses atomic.Pointer[[]string]
	addresses.Store(&[]string{})
	relay := NewRelay(
		own, func(homes.Set) []string { return *addresses.Load() }, directoryRead, &http.Client{}, zerolog.Nop(),
	)
	time.AfterFunc(directoryTimeout/10, func() {
		addresses.Store(&[]string{address})
		close(directoryRead)
	})
	body, err := relay.Body(t.Context(), "j", "i")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "replica")
}

func TestQueryFailsAsRetryableWithoutNodeDirectory(t *testing.T) {
	own := &fakeJobs{name: "own"}
	relay := NewRelay(own, func(homes.Set) []string { return nil }, make(chan struct{}), &http.Client{}, zerolog.Nop())
	_, err := relay.Results(t.Context(), "j", 0, 0)
	assert.Equal(t, errkind.KindOf(err), errkind.LogUnavailable)
	assert.Equal(t, own.queries.Load(), int64(0))
}

func TestMalformedQueryIsRejected(t *testing.T) {
	address := startServer(t, &fakeJobs{}, always)
	answer, err := http.Post("http://"+address+Path, "application/octet-stream", strings.NewReader("\xdd\xff\xff\xff\xff"))
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusBadRequest)
}

// Another replica may have read records that the log has dropped since.
func TestNextReplicaIsQueriedAfterHistoryLost(t *testing.T) {
	own, incomplete := &fakeJobs{name: "own"}, &fakeJobs{failure: errkind.New(errkind.HistoryLost, "why")}
	replica := &fakeJobs{name: "replica"}
	relay := newTestRelay(own, startServer(t, incomplete, always), startServer(t, replica, always))
	for range 2 {
		body, err := relay.Body(t.Context(), "j", "i")
		assert.NilError(t, err)
		assert.Equal(t, string(body), "replica")
	}
	assert.Equal(t, incomplete.queries.Load(), int64(2), "the replica may know other jobs")
	_, err := newTestRelay(own, startServer(t, incomplete, always), startUnresponsiveServer(t)).Body(t.Context(), "j", "i")
	assert.Equal(t, errkind.KindOf(err), errkind.HistoryLost)
}
