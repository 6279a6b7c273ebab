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

// fakeJobs answers with its name and counts the queries.
type fakeJobs struct {
	name  string
	asked atomic.Int64
	// fail is the error of each query; nil for an answer.
	fail error
	// waits is the wait of the newest query for results.
	waits atomic.Int64
}

func (f *fakeJobs) Results(_ context.Context, jobID string, from int, wait time.Duration) (batchjobs.Results, error) {
	f.asked.Add(1)
	f.waits.Store(int64(wait))
	if f.fail != nil {
		return batchjobs.Results{}, f.fail
	}
	return batchjobs.Results{Total: from + 1, Results: []batchjobs.ResultText{{
		ItemID: jobID, Outcome: batch.Completed, Text: []byte(f.name), Versions: []int64{3, 4}, Score: "s",
	}}}, nil
}

func (f *fakeJobs) Body(context.Context, string, string) ([]byte, error) {
	f.asked.Add(1)
	return []byte(f.name), f.fail
}

func (f *fakeJobs) End(context.Context, string) error {
	f.asked.Add(1)
	return f.fail
}

func always(homes.Set) bool { return true }

// serving returns the address of a node with these jobs.
func serving(t *testing.T, jobs Jobs, answers func(homes.Set) bool) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(jobs, answers))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// silent returns the address of a node that does not answer before the test ends.
func silent(t *testing.T) string {
	t.Helper()
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	return strings.TrimPrefix(server.URL, "http://")
}

func relayTo(own Jobs, addresses ...string) *Relay {
	known := make(chan struct{})
	close(known)
	return NewRelay(own, func(homes.Set) []string { return addresses }, known, &http.Client{}, zerolog.Nop())
}

func TestReplicaAnswersWhole(t *testing.T) {
	own, replica := &fakeJobs{name: "own"}, &fakeJobs{name: "replica"}
	relay := relayTo(own, serving(t, replica, always))
	results, err := relay.Results(t.Context(), "j", 6, 20*time.Millisecond)
	assert.NilError(t, err)
	assert.DeepEqual(t, results, batchjobs.Results{Total: 7, Results: []batchjobs.ResultText{{
		ItemID: "j", Outcome: batch.Completed, Text: []byte("replica"), Versions: []int64{3, 4}, Score: "s",
	}}})
	assert.Equal(t, time.Duration(replica.waits.Load()), 20*time.Millisecond)
	body, err := relay.Body(t.Context(), "j", "i")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "replica")
	assert.NilError(t, relay.End(t.Context(), "j"))
	assert.Equal(t, own.asked.Load(), int64(0))
}

// TestErrorsKeepTheirKind: a replica's definite error is returned without asking another one.
func TestErrorsKeepTheirKind(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.NotFound, errkind.LogUnavailable, errkind.OutcomeUnknownRepeatable} {
		own, replica := &fakeJobs{}, &fakeJobs{fail: errkind.New(kind, "why")}
		relay := relayTo(own, serving(t, replica, always))
		_, err := relay.Results(t.Context(), "j", 0, 0)
		assert.Equal(t, errkind.KindOf(err), kind)
		assert.ErrorContains(t, err, "why")
		_, err = relay.Body(t.Context(), "j", "i")
		assert.Equal(t, errkind.KindOf(err), kind)
		assert.Equal(t, errkind.KindOf(relay.End(t.Context(), "j")), kind)
		assert.Equal(t, own.asked.Load(), int64(0))
	}
}

func TestWithoutReplicasTheNodeAnswersItself(t *testing.T) {
	own := &fakeJobs{name: "own"}
	relay := relayTo(own)
	body, err := relay.Body(t.Context(), "j", "i")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "own")
	_, err = relay.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	assert.NilError(t, relay.End(t.Context(), "j"))
	assert.Equal(t, own.asked.Load(), int64(3))
}

// TestWhereReplicasDoNotAnswerTheCallerAsksElsewhere: the node does not read the index
// itself and does not deny the job.
func TestWhereReplicasDoNotAnswerTheCallerAsksElsewhere(t *testing.T) {
	own := &fakeJobs{name: "own"}
	other := serving(t, &fakeJobs{name: "other"}, func(homes.Set) bool { return false })
	for _, address := range []string{other, silent(t)} {
		_, err := relayTo(own, address).Body(t.Context(), "j", "i")
		assert.Equal(t, errkind.KindOf(err), errkind.LogUnavailable)
	}
	// An end whose answer is lost may have been recorded.
	assert.Equal(t, errkind.KindOf(relayTo(own, other).End(t.Context(), "j")), errkind.LogUnavailable)
	assert.Equal(t, errkind.KindOf(relayTo(own, silent(t)).End(t.Context(), "j")), errkind.OutcomeUnknownRepeatable)
	assert.Equal(t, own.asked.Load(), int64(0))
}

// TestASilentReplicaCostsOneTimeout: the next one is asked without a further wait, and the
// unresponsive one is skipped afterwards.
func TestASilentReplicaCostsOneTimeout(t *testing.T) {
	own, replica := &fakeJobs{name: "own"}, &fakeJobs{name: "replica"}
	relay := relayTo(own, silent(t), serving(t, replica, always))
	results, err := relay.Results(t.Context(), "j", 0, 10*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, string(results.Results[0].Text), "replica")
	assert.Equal(t, replica.waits.Load(), int64(0))
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout/2)
	defer cancel()
	_, err = relay.Results(ctx, "j", 0, 0)
	assert.NilError(t, err, "the silent replica was asked again")
	assert.Equal(t, own.asked.Load(), int64(0))
}

// TestACallerThatLeavesBlamesNoReplica: the replica is asked again by the next caller.
func TestACallerThatLeavesBlamesNoReplica(t *testing.T) {
	own, replica := &fakeJobs{name: "own"}, &fakeJobs{name: "replica"}
	relay := relayTo(own, serving(t, replica, always))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := relay.Body(ctx, "j", "i")
	assert.Equal(t, errkind.KindOf(err), errkind.Canceled)
	body, err := relay.Body(t.Context(), "j", "i")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "replica")
	assert.Equal(t, own.asked.Load(), int64(0))
}

// TestAFreshNodeWaitsForTheDirectory: without it, it would read the whole index itself.
func TestAFreshNodeWaitsForTheDirectory(t *testing.T) {
	own, replica := &fakeJobs{name: "own"}, &fakeJobs{name: "replica"}
	address := serving(t, replica, always)
	known := make(chan struct{})
	var sources atomic.Pointer[[]string]
	sources.Store(&[]string{})
	relay := NewRelay(own, func(homes.Set) []string { return *sources.Load() }, known, &http.Client{}, zerolog.Nop())
	time.AfterFunc(directoryTimeout/10, func() {
		sources.Store(&[]string{address})
		close(known)
	})
	body, err := relay.Body(t.Context(), "j", "i")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "replica")
}

// TestANodeThatKnowsNobodyYetIsNotSure: the directory cannot be read.
func TestANodeThatKnowsNobodyYetIsNotSure(t *testing.T) {
	own := &fakeJobs{name: "own"}
	relay := NewRelay(own, func(homes.Set) []string { return nil }, make(chan struct{}), &http.Client{}, zerolog.Nop())
	_, err := relay.Results(t.Context(), "j", 0, 0)
	assert.Equal(t, errkind.KindOf(err), errkind.LogUnavailable)
	assert.Equal(t, own.asked.Load(), int64(0))
}

func TestUnreadableQuestionsAreRefused(t *testing.T) {
	address := serving(t, &fakeJobs{}, always)
	answer, err := http.Post("http://"+address+Path, "application/octet-stream", strings.NewReader("\xdd\xff\xff\xff\xff"))
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusBadRequest)
}

// TestAReplicaThatIsNotSureIsNotTheLast: another replica may have read what the log has dropped.
func TestAReplicaThatIsNotSureIsNotTheLast(t *testing.T) {
	own, unsure := &fakeJobs{name: "own"}, &fakeJobs{fail: errkind.New(errkind.HistoryLost, "why")}
	replica := &fakeJobs{name: "replica"}
	relay := relayTo(own, serving(t, unsure, always), serving(t, replica, always))
	for range 2 {
		body, err := relay.Body(t.Context(), "j", "i")
		assert.NilError(t, err)
		assert.Equal(t, string(body), "replica")
	}
	assert.Equal(t, unsure.asked.Load(), int64(2), "it may know other jobs")
	_, err := relayTo(own, serving(t, unsure, always), silent(t)).Body(t.Context(), "j", "i")
	assert.Equal(t, errkind.KindOf(err), errkind.HistoryLost)
}
