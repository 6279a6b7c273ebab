package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

func (d *deployment) addModelEngine(id string, version int64, events int, eventTime time.Duration) *standin.Engine {
	return d.addEngine(standin.EngineOptions{
		ID: id, Service: "llm", Versions: map[string]int64{model: version},
		Events: func(string) int { return events }, EventTime: eventTime,
		LoadTime: 50 * time.Millisecond, CheckFences: true,
	})
}

func itemIDs(count int) []string {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("item%d", i)
	}
	return ids
}

func assertAllCompleted(t *testing.T, got results, ids []string, events int) {
	t.Helper()
	assert.Equal(t, got.Total, len(ids))
	seen := map[string]bool{}
	for _, result := range got.Results {
		assert.Assert(t, !seen[result.ID], "%s is at two positions", result.ID)
		seen[result.ID] = true
		assert.Equal(t, result.State, "completed")
		assert.Equal(t, result.Text, standin.ItemText(result.ID, events))
	}
	assert.Equal(t, len(seen), len(ids))
}

func TestBatchJobIsRunAndReadAtEveryNode(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.addModelEngine("e2", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	nodes := []*testNode{d.start("n1"), d.start("n2")}
	ids := itemIDs(20)
	assert.Equal(t, nodes[0].call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	first := d.awaitResults(nodes[1], "job1", len(ids))
	assertAllCompleted(t, first, ids, 4)
	second := d.awaitResults(nodes[0], "job1", len(ids))
	assert.DeepEqual(t, first.Results, second.Results)

	// Submitting and ending are idempotent, and bodies can be read back.
	assert.Equal(t, nodes[1].call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assert.Equal(t, nodes[1].call(http.MethodGet, "/items/job1?id=item3", "", "").body, "body of item3")
	assert.Equal(t, nodes[0].call(http.MethodDelete, "/lots/job1", "", "").status, http.StatusOK)
	assert.Equal(t, nodes[1].call(http.MethodDelete, "/lots/job1", "", "").status, http.StatusOK)
	assert.Equal(t, nodes[1].call(http.MethodGet, "/lots/none", "", "").status, http.StatusNotFound)
	for _, id := range ids {
		assert.Equal(t, d.runCount(id), 1)
	}
}

// One item completes long before the other: a read without a wait returns it alone, a long poll waits for both.
func TestLongPollReturnsOnceJobIsComplete(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{
		ID: "e1", Service: "llm", Versions: map[string]int64{model: 1}, EventTime: 10 * time.Millisecond,
		Events: func(id string) int {
			if id == "long" {
				return 80
			}
			return 2
		},
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "short", "long")).status, http.StatusAccepted)
	longPoll := make(chan callResult, 1)
	go func() {
		longPoll <- node.call(http.MethodGet, "/lots/job1?afterRev=0", "", "", "X-Corkpulley-Wait-Ms", "5000")
	}()
	first := d.awaitResults(node, "job1", 1)
	assert.Equal(t, len(first.Results), 1)
	var polled results
	assert.NilError(t, json.Unmarshal([]byte((<-longPoll).body), &polled))
	assert.Equal(t, len(polled.Results), 2)
}

func TestInvalidJobIsRejectedWithReason(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	for body, wanted := range map[string]string{
		"no job":             "decode batch job",
		`{"requests":[]}`:    "at least one item",
		jobBody(1, "a", "a"): "duplicate ID",
		`{"requests":[{}]}`:  "item 0",
	} {
		got := node.call(http.MethodPost, "/batch/x", "job1", body)
		assert.Equal(t, got.status, http.StatusBadRequest, body)
		assert.Assert(t, strings.Contains(got.body, wanted), "%s: %s", body, got.body)
	}
	_, status := node.readResults("job1", 0)
	assert.Equal(t, status, http.StatusNotFound)
}

// The rejection guarantees that nothing runs, even after the log is available again.
func TestRejectedJobNeverRuns(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.store.Log.SetFault(appendsFail(memlog.Refused))
	got := node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "a"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	d.clearFaults()
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job2", jobBody(1, "b")).status, http.StatusAccepted)
	d.awaitResults(node, "job2", 1)
	assert.Equal(t, d.runCount("a"), 0)
}

// The record may be in the log, and a retry must be accepted as the same job.
func TestJobWithLostAppendAnswersIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.store.Log.SetFault(func(call memlog.Call) memlog.Fault {
		if call.Append && strings.HasSuffix(call.Partition.Topic, ".jobs") {
			return memlog.LostResponse
		}
		return memlog.None
	})
	got := node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "a"))
	assert.Assert(t, got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests, "%d", got.status)
	d.clearFaults()
	testwait.Until(t, "the job to be accepted", func() bool {
		return node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "a")).status == http.StatusAccepted
	})
	assertAllCompleted(t, d.awaitResults(node, "job1", 1), []string{"a"}, 4)
	assert.Equal(t, d.runCount("a"), 1)
}

// Items outlast the leader's planned stop; the next leader must resume them rather than restart them.
func TestNewLeaderResumesRunningItems(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	const events = 150
	engines := []*standin.Engine{
		d.addModelEngine("e1", 1, events, 30*time.Millisecond), d.addModelEngine("e2", 1, events, 30*time.Millisecond),
	}
	d.configure(batchRoute("/batch/"))
	leader := d.start("n1")
	testwait.Until(t, "n1 to lead", func() bool { return strings.Contains(leader.logs.String(), "leadership gained") })
	other := d.start("n2")
	ids := itemIDs(4)
	assert.Equal(t, leader.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "the items to run", func() bool { return d.runCount(ids[0]) == 1 && d.runCount(ids[3]) == 1 })
	time.Sleep(900 * time.Millisecond) // lets the items produce some events
	leader.cancel()
	assertAllCompleted(t, d.awaitResults(other, "job1", len(ids)), ids, events)
	resumed := 0
	for _, engine := range engines {
		for _, run := range engine.Runs() {
			if run.LastEventID > 0 {
				resumed++
			}
		}
	}
	assert.Assert(t, resumed > 0, "no run was resumed")
}

// Results and their positions are restored from the log alone.
func TestResultsSurviveLossOfAllNodes(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	first := d.start("n1")
	ids := itemIDs(6)
	assert.Equal(t, first.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	before := d.awaitResults(first, "job1", len(ids))
	first.cancel()
	<-first.done
	second := d.start("n1")
	after := d.awaitResults(second, "job1", len(ids))
	assert.DeepEqual(t, before.Results, after.Results)
}

func TestFailedItemsExpire(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0).SetFault(func(id string) standin.EngineFault {
		switch id {
		case "never":
			return standin.RespondsUnprocessable
		case "fails":
			return standin.RespondsError
		}
		return standin.NoFault
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "never", "fails", "works")).status,
		http.StatusAccepted)
	states := map[string]string{}
	for _, result := range d.awaitResults(node, "job1", 3).Results {
		states[result.ID] = result.State
	}
	assert.DeepEqual(t, states, map[string]string{"never": "expired", "fails": "expired", "works": "completed"})
	assert.Equal(t, d.runCount("never"), 1)
	assert.Equal(t, d.runCount("fails"), 2) // maxAttempts of the route
}

// When the job is ended, some of its items are queued and others run.
func TestEndedJobStartsNoMoreItems(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 400, 20*time.Millisecond)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	ids := itemIDs(30)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "items to run", func() bool { return len(d.engines[0].Runs()) == 8 })
	assert.Equal(t, node.call(http.MethodDelete, "/lots/job1", "", "").status, http.StatusOK)
	testwait.Until(t, "the leader to end the job", func() bool { return strings.Contains(node.logs.String(), "job ended") })
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job2", jobBody(1, "after")).status, http.StatusAccepted)
	testwait.Until(t, "the next job to run", func() bool { return d.runCount("after") == 1 })
	assert.Equal(t, len(d.engines[0].Runs()), 9)
}

// Guards against items that run on an engine with weights older than the job's minVersion.
func TestResultsReportVersionsAtOrAboveMinimum(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 10, 20*time.Millisecond)
	d.addModelEngine("e2", 1, 10, 20*time.Millisecond)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.publishVersion(2)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(2, itemIDs(6)...)).status, http.StatusAccepted)
	for _, result := range d.awaitResults(node, "job1", 6).Results {
		assert.DeepEqual(t, result.Versions, []int64{2})
	}
	for _, engine := range d.engines {
		assert.Assert(t, engine.Version(model) >= 1)
		for _, holder := range engine.OrderHolders() {
			assert.Equal(t, holder, engine.OrderHolders()[0])
		}
	}
}

// A job is "not found" only after a read to the end of the log.
func TestUnknownJobIsUnavailableWhileLogReadsFail(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.store.SetRefusal(func(r *http.Request) int {
		if strings.HasPrefix(r.URL.Path, "/log-read") {
			return http.StatusServiceUnavailable
		}
		return 0
	})
	_, status := node.readResults("job1", 0)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	d.store.SetRefusal(nil)
	testwait.Until(t, "the job to be not found", func() bool {
		_, status := node.readResults("job1", 0)
		return status == http.StatusNotFound
	})
}

// Guards against a split batch route whose items all go to its first service.
func TestItemsOfSplitRouteFollowItsWeights(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	for i := range 3 {
		d.addModelEngine(fmt.Sprint("main", i), 1, 2, 0)
		d.addEngine(standin.EngineOptions{
			ID: fmt.Sprint("canary", i), Service: "canary", Versions: map[string]int64{model: 1},
			Events: func(string) int { return 2 },
		})
	}
	split := batchRoute("/batch/")
	delete(split, "service")
	split["split"] = []map[string]any{{"service": "canary", "weight": 20}, {"service": "llm", "weight": 80}}
	d.configure(split)
	node := d.start("n1")
	ids := itemIDs(100)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(node, "job1", len(ids)), ids, 2)
	onCanary := 0
	for _, engine := range d.engines {
		if strings.HasPrefix(engine.ID(), "canary") {
			onCanary += len(engine.Runs())
		}
	}
	assert.Assert(t, onCanary >= 15 && onCanary <= 25, "%d of 100 items, a fifth of them for the canary", onCanary)
}
