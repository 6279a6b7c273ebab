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

func checkWhole(t *testing.T, got results, ids []string, events int) {
	t.Helper()
	assert.Equal(t, got.Total, len(ids))
	seen := map[string]bool{}
	for _, result := range got.Results {
		assert.Assert(t, !seen[result.ID], "%s stands at two positions", result.ID)
		seen[result.ID] = true
		assert.Equal(t, result.State, "completed")
		assert.Equal(t, result.Text, standin.Text(result.ID, events))
	}
	assert.Equal(t, len(seen), len(ids))
}

func TestBatchJobIsRunAndReadAtEveryNode(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.addModelEngine("e2", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	nodes := []*process{d.start("n1"), d.start("n2")}
	ids := itemIDs(20)
	assert.Equal(t, nodes[0].call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	first := d.awaitResults(nodes[1], "job1", len(ids))
	checkWhole(t, first, ids, 4)
	second := d.awaitResults(nodes[0], "job1", len(ids))
	assert.DeepEqual(t, first.Results, second.Results)

	// Handed in again, it is taken once; a body comes back; the end is kept.
	assert.Equal(t, nodes[1].call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	assert.Equal(t, nodes[1].call(http.MethodGet, "/items/job1?id=item3", "", "").body, "body of item3")
	assert.Equal(t, nodes[0].call(http.MethodDelete, "/lots/job1", "", "").status, http.StatusOK)
	assert.Equal(t, nodes[1].call(http.MethodDelete, "/lots/job1", "", "").status, http.StatusOK)
	assert.Equal(t, nodes[1].call(http.MethodGet, "/lots/none", "", "").status, http.StatusNotFound)
	for _, id := range ids {
		assert.Equal(t, d.runsOf(id), 1)
	}
}

// TestHeldReaderIsToldWhenNothingIsMissing: the first of two groups is whole long
// before the second; a reader that waits hears of both at once, one that does not
// hears of the first.
func TestHeldReaderIsToldWhenNothingIsMissing(t *testing.T) {
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
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, "short", "long")).status, http.StatusAccepted)
	held := make(chan answer, 1)
	go func() {
		held <- node.call(http.MethodGet, "/lots/job1?afterRev=0", "", "", "X-Corkpulley-Wait-Ms", "5000")
	}()
	first := d.awaitResults(node, "job1", 1)
	assert.Equal(t, len(first.Results), 1)
	var told results
	assert.NilError(t, json.Unmarshal([]byte((<-held).body), &told))
	assert.Equal(t, len(told.Results), 2)
}

func TestUnreadableJobIsRefusedWithWhatIsWrong(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	for body, wanted := range map[string]string{
		"no job":            "no JSON",
		`{"requests":[]}`:   "one item",
		job(1, "a", "a"):    "twice",
		`{"requests":[{}]}`: "item 0",
	} {
		got := node.call(http.MethodPost, "/batch/x", "job1", body)
		assert.Equal(t, got.status, http.StatusBadRequest, body)
		assert.Assert(t, strings.Contains(got.body, wanted), "%s: %s", body, got.body)
	}
	_, status := node.readResults("job1", 0)
	assert.Equal(t, status, http.StatusNotFound)
}

// TestRefusedJobNeverRuns: the store takes nothing, so the answer promises that
// nothing runs, and nothing does once the store is back.
func TestRefusedJobNeverRuns(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.store.Log.SetFault(appendsFail(memlog.Refused))
	got := node.call(http.MethodPost, "/batch/x", "job1", job(1, "a"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	d.noFault()
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job2", job(1, "b")).status, http.StatusAccepted)
	d.awaitResults(node, "job2", 1)
	assert.Equal(t, d.runsOf("a"), 0)
}

// TestJobWithLostAnswersIsNotPromisedNotToRun: the record may be in the log, so
// the answer is no promise, and a second try is taken as the same job.
func TestJobWithLostAnswersIsNotPromisedNotToRun(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.store.Log.SetFault(func(call memlog.Call) memlog.Fault {
		if call.Append && strings.HasSuffix(call.Partition.Topic, ".jobs") {
			return memlog.LostAnswer
		}
		return memlog.None
	})
	got := node.call(http.MethodPost, "/batch/x", "job1", job(1, "a"))
	assert.Assert(t, got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests, "%d", got.status)
	d.noFault()
	testwait.Until(t, "the job is taken", func() bool {
		return node.call(http.MethodPost, "/batch/x", "job1", job(1, "a")).status == http.StatusAccepted
	})
	checkWhole(t, d.awaitResults(node, "job1", 1), []string{"a"}, 4)
	assert.Equal(t, d.runsOf("a"), 1)
}

// TestNewLeaderContinuesWhatRuns stops the leader while items run that outlast its
// planned stop: the texts are
// whole, and the runs were continued rather than begun again.
func TestNewLeaderContinuesWhatRuns(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	const events = 150
	engines := []*standin.Engine{
		d.addModelEngine("e1", 1, events, 30*time.Millisecond), d.addModelEngine("e2", 1, events, 30*time.Millisecond),
	}
	d.configure(batchRoute("/batch/"))
	leader := d.start("n1")
	testwait.Until(t, "n1 leads", func() bool { return strings.Contains(leader.logs.String(), "leadership gained") })
	other := d.start("n2")
	ids := itemIDs(4)
	assert.Equal(t, leader.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "the items run", func() bool { return d.runsOf(ids[0]) == 1 && d.runsOf(ids[3]) == 1 })
	time.Sleep(900 * time.Millisecond) // lets the items make some events
	leader.cancel()
	checkWhole(t, d.awaitResults(other, "job1", len(ids)), ids, events)
	continued := 0
	for _, engine := range engines {
		for _, run := range engine.Runs() {
			if run.After > 0 {
				continued++
			}
		}
	}
	assert.Assert(t, continued > 0, "no run was continued")
}

// TestResultsLastThroughTheLossOfAllNodes: what was read once is read again, at
// the same positions, from the log alone.
func TestResultsLastThroughTheLossOfAllNodes(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	first := d.start("n1")
	ids := itemIDs(6)
	assert.Equal(t, first.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	before := d.awaitResults(first, "job1", len(ids))
	first.cancel()
	<-first.done
	second := d.start("n1")
	after := d.awaitResults(second, "job1", len(ids))
	assert.DeepEqual(t, before.Results, after.Results)
}

func TestItemsGivenUpAreListedAsExpired(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0).SetFault(func(id string) standin.EngineFault {
		switch id {
		case "never":
			return standin.Impossible
		case "fails":
			return standin.Fails
		}
		return standin.Works
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, "never", "fails", "works")).status, http.StatusAccepted)
	states := map[string]string{}
	for _, result := range d.awaitResults(node, "job1", 3).Results {
		states[result.ID] = result.State
	}
	assert.DeepEqual(t, states, map[string]string{"never": "expired", "fails": "expired", "works": "completed"})
	assert.Equal(t, d.runsOf("never"), 1)
	assert.Equal(t, d.runsOf("fails"), 2) // maxAttempts of the route
}

// TestEndedJobRunsNoMore ends a job whose items wait and run.
func TestEndedJobRunsNoMore(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 400, 20*time.Millisecond)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	ids := itemIDs(30)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "items run", func() bool { return len(d.engines[0].Runs()) == 8 })
	assert.Equal(t, node.call(http.MethodDelete, "/lots/job1", "", "").status, http.StatusOK)
	testwait.Until(t, "the leader knows", func() bool { return strings.Contains(node.logs.String(), "job ended") })
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job2", job(1, "after")).status, http.StatusAccepted)
	testwait.Until(t, "the next job runs", func() bool { return d.runsOf("after") == 1 })
	assert.Equal(t, len(d.engines[0].Runs()), 9)
}

// TestSamplesNameTheirVersionsAndNoneIsTooOld moves the engines to a new version
// and asks for it.
func TestSamplesNameTheirVersionsAndNoneIsTooOld(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 10, 20*time.Millisecond)
	d.addModelEngine("e2", 1, 10, 20*time.Millisecond)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.nameVersion(2)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(2, itemIDs(6)...)).status, http.StatusAccepted)
	for _, result := range d.awaitResults(node, "job1", 6).Results {
		assert.DeepEqual(t, result.Versions, []int64{2})
	}
	for _, engine := range d.engines {
		assert.Assert(t, engine.Version(model) >= 1)
		for _, holder := range engine.Holders() {
			assert.Equal(t, holder, engine.Holders()[0])
		}
	}
}

// TestNodeThatCannotBeSureSaysSo: an unknown job is "not found" only after a read
// to the end of the log.
func TestNodeThatCannotBeSureSaysSo(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 0)
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.store.Refuse(func(r *http.Request) int {
		if strings.HasPrefix(r.URL.Path, "/log-read") {
			return http.StatusServiceUnavailable
		}
		return 0
	})
	_, status := node.readResults("job1", 0)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	d.store.Refuse(nil)
	testwait.Until(t, "not found", func() bool {
		_, status := node.readResults("job1", 0)
		return status == http.StatusNotFound
	})
}
