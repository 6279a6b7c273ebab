package batchrun

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/admission"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// newScoringEnv returns an environment whose items have two events and a scoring call.
func newScoringEnv(t *testing.T, items ...string) *testEnv {
	env := newTestEnv(t, "a")
	env.jobs.scored = true
	for _, item := range items {
		env.engines.events[item] = 2
	}
	return env
}

func TestItemIsRecordedWithItsScore(t *testing.T) {
	env := newScoringEnv(t, "x")
	env.startRunner()
	env.submit("j", 1, "x")
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, result.Score, "stamp of score of x")
	assert.Equal(t, string(result.Text), fullText("x", 2))
}

func TestOnlyFailuresOfTheServiceUseUpAttempts(t *testing.T) {
	env := newScoringEnv(t, "x", "y")
	tries := map[string]int{}
	env.scorer.respond = func(call batch.ScoringCall) ScoringResult {
		tries[call.ID]++
		switch {
		case call.ID == "score of y" && tries[call.ID] <= 3:
			return ScoringResult{NoCapacity: true, MaxAttempts: 2}
		case call.ID == "score of y":
			return ScoringResult{Score: "s"}
		default:
			return ScoringResult{Failures: 1, MaxAttempts: 2}
		}
	}
	env.startRunner()
	env.submit("j", 1, "x", "y")
	results := env.awaitResults(2)
	assert.Equal(t, results["j/0"].Outcome, batch.Expired)
	assert.Equal(t, results["j/1"].Outcome, batch.Completed)
	env.scorer.mu.Lock()
	defer env.scorer.mu.Unlock()
	assert.Equal(t, tries["score of x"], 2)
}

func TestScoringUsesAtMostHalfOfTheSlots(t *testing.T) {
	var items []string
	for i := range 8 {
		items = append(items, fmt.Sprint("x", i))
	}
	env := newScoringEnv(t, items...)
	env.scorer.capacity = admission.Capacity{Slots: 6}
	env.scorer.hold = make(chan struct{})
	env.startRunner()
	env.submit("j", 1, items...)
	testwait.Until(t, "three calls", func() bool { return len(env.scorer.callIDs()) == 3 })
	close(env.scorer.hold)
	env.awaitResults(len(items))
	assert.Assert(t, env.scorer.maxInFlight <= 3, "%d concurrent calls with 6 slots", env.scorer.maxInFlight)
}

func TestScoringPrefersOlderJobs(t *testing.T) {
	q := newScoringQueue()
	at := time.Unix(1000, 0)
	add := func(job string, jobAddedAt, since int) {
		key := batchplan.Key{Job: job}
		q.items[key] = &scoringItem{
			key: key, jobAddedAt: at.Add(time.Duration(jobAddedAt)), since: at.Add(time.Duration(since)),
		}
	}
	add("newer", 2, 3)
	add("older, later", 1, 9)
	add("older, sooner", 1, 4)
	add("held back", 0, 0)
	q.items[batchplan.Key{Job: "held back"}].notBefore = at.Add(time.Hour)
	add("under way", 0, 0)
	q.items[batchplan.Key{Job: "under way"}].cancel = func() {}
	var order []string
	for _, item := range q.due(at) {
		order = append(order, item.key.Job)
	}
	assert.DeepEqual(t, order, []string{"older, sooner", "older, later", "newer"})
}

// startWithPendingScore starts a runner and blocks the scoring call of the item x of the job j.
func startWithPendingScore(t *testing.T) (*testEnv, *Runner, func()) {
	t.Helper()
	env := newScoringEnv(t, "x")
	env.scorer.hold = make(chan struct{})
	r, stop := env.startRunner()
	env.submit("j", 1, "x")
	testwait.Until(t, "a call", func() bool { return len(env.scorer.callIDs()) == 1 })
	return env, r, stop
}

// The term ends during the scoring call; the next one must not run the item again.
func TestNextTermScoresSavedOutput(t *testing.T) {
	env, _, stop := startWithPendingScore(t)
	stop()
	assert.Equal(t, len(env.jobs.results()), 0)
	env.scorer.hold = nil
	env.startRunner()
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", 2))
	calls, _ := env.engines.callsOf("x")
	assert.Equal(t, len(calls), 1, "the item ran again")
}

func TestScoringIsCanceledWhenJobEnds(t *testing.T) {
	env, r, _ := startWithPendingScore(t)
	env.jobs.apply(batch.Record{End: "j"})
	testwait.Until(t, "the call is canceled", func() bool {
		env.scorer.mu.Lock()
		defer env.scorer.mu.Unlock()
		return env.scorer.inFlight == 0
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(t, len(r.scoring.items), 0)
}
