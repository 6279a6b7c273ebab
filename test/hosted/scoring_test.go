package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// deployScored returns a deployment with a model engine, scoring engines and routes to both.
func deployScored(t *testing.T, scorers ...string) *deployment {
	t.Helper()
	d := deploy(t)
	d.addModelEngine("e1", 1, 4, 5*time.Millisecond)
	for _, id := range scorers {
		d.addEngine(standin.EngineOptions{ID: id, Service: "desk"})
	}
	d.configure(batchRoute("/batch/"), safeRoute("/scoring/"))
	return d
}

// setScoringFault sets the fault of every scoring engine by request ID.
func (d *deployment) setScoringFault(fault func(id string) standin.EngineFault) {
	for _, engine := range d.engines {
		if engine.Service() == "desk" {
			engine.SetFault(fault)
		}
	}
}

func always(fault standin.EngineFault) func(string) standin.EngineFault {
	return func(string) standin.EngineFault { return fault }
}

// The scoring call is made as the item specifies, after the last event of its text.
func TestResultCarriesStampOfItsScoringCall(t *testing.T) {
	t.Parallel()
	d := deployScored(t, "d1", "d2")
	nodes := []*testNode{d.start("n1"), d.start("n2")}
	ids := itemIDs(20)
	assert.Equal(t, nodes[0].call(http.MethodPost, "/batch/x", "job1", scoredJobBody(1, ids...)).status, http.StatusAccepted)
	got := d.awaitResults(nodes[1], "job1", len(ids))
	assertAllCompleted(t, got, ids, 4)
	for _, result := range got.Results {
		assert.Equal(t, result.Score, standin.Stamp(scoringID(result.ID)))
	}
	began := map[string]time.Time{}
	for _, run := range d.engines[0].Runs() {
		began[run.ID] = run.At
	}
	for _, engine := range d.engines[1:] {
		for _, run := range engine.Runs() {
			item := strings.TrimPrefix(run.Path, "/scoring/")
			assert.Equal(t, run.ID, scoringID(item))
			assert.Equal(t, run.Body, "score "+item)
			assert.Equal(t, run.Host, host)
			assert.Assert(t, run.At.Sub(began[item]) >= 4*5*time.Millisecond, "scored before its text was complete")
		}
	}
}

// Responses with status 500 count as attempts; refusals and lost responses do not.
func TestScoringCallIsRetriedUpToMaxAttempts(t *testing.T) {
	t.Parallel()
	d := deployScored(t, "d1", "d2")
	var lost atomic.Int64
	d.setScoringFault(func(id string) standin.EngineFault {
		switch {
		case id == scoringID("bad"):
			return standin.RespondsError
		case id == scoringID("lost") && lost.Add(1) <= 2:
			return standin.DropsResponse
		default:
			return standin.NoFault
		}
	})
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", scoredJobBody(1, "bad", "lost", "good")).status,
		http.StatusAccepted)
	states := map[string]string{}
	for _, result := range d.awaitResults(node, "job1", 3).Results {
		states[result.ID] = result.State + " " + result.Score
	}
	assert.DeepEqual(t, states, map[string]string{
		"bad": "expired ", "lost": "completed " + standin.Stamp(scoringID("lost")),
		"good": "completed " + standin.Stamp(scoringID("good")),
	})
	assert.Equal(t, d.runCount(scoringID("bad")), 2)
	assert.Equal(t, d.runCount(scoringID("lost")), 3)
	assert.Equal(t, d.runCount("lost"), 1, "the text was generated again")
}

// Scoring is refused until the first leader has stopped; its successor reads the texts from the log.
func TestNewLeaderScoresCompleteTextsWithoutRerun(t *testing.T) {
	t.Parallel()
	d := deployScored(t, "d1")
	d.setScoringFault(always(standin.RefusesFull))
	leader := d.start("n1")
	ids := itemIDs(6)
	assert.Equal(t, leader.call(http.MethodPost, "/batch/x", "job1", scoredJobBody(1, ids...)).status, http.StatusAccepted)
	for _, id := range ids {
		testwait.Until(t, "a refused scoring call of each item", func() bool {
			return strings.Contains(leader.logs.String(), fmt.Sprintf(`"call":%q`, scoringID(id)))
		})
	}
	next := d.start("n2")
	leader.cancel()
	<-leader.done
	d.setScoringFault(nil)
	assertAllCompleted(t, d.awaitResults(next, "job1", len(ids)), ids, 4)
	for _, id := range ids {
		assert.Equal(t, d.runCount(id), 1, "%s ran again", id)
		assert.Equal(t, d.runCount(scoringID(id)), 1)
	}
}

// deployWithRefusedScoring returns a deployment whose scoring engine is full, and a node at which item "a"
// of "job1" waits for its score.
func deployWithRefusedScoring(t *testing.T) (*deployment, *testNode) {
	t.Helper()
	d := deployScored(t, "d1")
	d.setScoringFault(always(standin.RefusesFull))
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", scoredJobBody(1, "a")).status, http.StatusAccepted)
	testwait.Until(t, "a refused scoring call", func() bool { return strings.Contains(node.logs.String(), "scoring call ended") })
	return d, node
}

// The item waits for its score when its job is ended.
func TestEndedJobIsNotScored(t *testing.T) {
	t.Parallel()
	d, node := deployWithRefusedScoring(t)
	assert.Equal(t, node.call(http.MethodDelete, "/lots/job1", "", "").status, http.StatusOK)
	testwait.Until(t, "the end of the job to be known", func() bool {
		return strings.Contains(node.logs.String(), `"message":"job ended"`)
	})
	d.setScoringFault(nil)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job2", scoredJobBody(1, "b")).status, http.StatusAccepted)
	d.awaitResults(node, "job2", 1)
	assert.Equal(t, d.runCount(scoringID("a")), 0)
}

// The scoring route is removed while the item waits for its score and added again later.
func TestScoringUsesRouteInForce(t *testing.T) {
	t.Parallel()
	d, node := deployWithRefusedScoring(t)
	d.configure(batchRoute("/batch/"))
	testwait.Until(t, "a scoring call to fail without a route", func() bool {
		return strings.Contains(node.logs.String(), "no route for")
	})
	d.setScoringFault(nil)
	d.configure(batchRoute("/batch/"), safeRoute("/scoring/"))
	got := d.awaitResults(node, "job1", 1)
	assert.Equal(t, got.Results[0].Score, standin.Stamp(scoringID("a")))
}

// The response names the scoring call, and the item never runs.
func TestInvalidScoringCallIsRejected(t *testing.T) {
	t.Parallel()
	d := deployScored(t, "d1")
	node := d.start("n1")
	body := strings.Replace(scoredJobBody(1, "a"), `"path":"/scoring/a"`, `"path":"scoring"`, 1)
	got := node.call(http.MethodPost, "/batch/x", "job1", body)
	assert.Equal(t, got.status, http.StatusBadRequest)
	assert.Assert(t, strings.Contains(got.body, "scoring call"), got.body)
	assert.Equal(t, d.runCount("a"), 0)
}
