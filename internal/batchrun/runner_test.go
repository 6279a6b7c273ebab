package batchrun

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// awaitEvents waits until the first item of a job has at least the given number of events.
func awaitEvents(t *testing.T, r *Runner, jobID string, events int64) {
	t.Helper()
	testwait.Until(t, "some events", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		job := r.jobs[jobID]
		return job != nil && job.items[0].Output.Last() >= events
	})
}

func TestStalledRunContinuesAfterItsLastEvent(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.engines.events["x"] = 6
	env.engines.pause["a"], env.engines.pause["b"] = 10*time.Millisecond, 10*time.Millisecond
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 2)
	r.mu.Lock()
	for _, running := range r.runs {
		running.stop(stopStalled)
	}
	r.mu.Unlock()
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", 6))
	calls, ranOn := env.engines.callsOf("x")
	assert.Equal(t, len(calls), 2)
	assert.Assert(t, calls[1].Continues && calls[1].LastEvent >= 2)
	assert.Assert(t, ranOn[0] != ranOn[1], "continued on the stalled engine")
}

func TestOutputOfTooOldWeightsIsDiscarded(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engines.events["x"] = 3
	env.fleet.ObserveVersion(incarnation.ID{Engine: "a"}, "m", 5) // the fleet expects version 5, but the engine has version 1
	env.startRunner()
	env.submit("j", 5, "x")
	testwait.Until(t, "a run that is refused", func() bool { calls, _ := env.engines.callsOf("x"); return len(calls) >= 2 })
	assert.Equal(t, len(env.jobs.results()), 0)
	env.engines.setVersion("a", 5)
	result := env.awaitResults(1)["j/0"]
	assert.DeepEqual(t, result.Versions, []int64{5})
	assert.Equal(t, string(result.Text), fullText("x", 3))
}

func TestSingleVersionItemRestartsWhenVersionChanges(t *testing.T) {
	env := newTestEnv(t, "a")
	env.route.SingleVersion = true
	env.engines.events["x"] = 10
	env.engines.pause["a"] = 20 * time.Millisecond
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 3)
	env.engines.setVersion("a", 2)
	env.fleet.ObserveVersion(incarnation.ID{Engine: "a"}, "m", 2)
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, len(result.Versions), 1, "%v", result.Versions)
	assert.Equal(t, string(result.Text), fullText("x", 10))
}

// A new leader does not know which engines are loading weights until one refuses an item.
func TestRefusingEngineIsPaused(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	var items []string
	for i := range 40 {
		items = append(items, fmt.Sprint("x", i))
		env.engines.events[items[i]] = 2
	}
	env.engines.pause["a"], env.engines.pause["b"] = 5*time.Millisecond, 5*time.Millisecond
	env.engines.refuse = func(engine string, _ Call) *CallError {
		if engine == "a" {
			return &CallError{Kind: NotExecuted}
		}
		return nil
	}
	env.startRunner()
	env.submit("j", 1, items...)
	env.awaitResults(len(items))
	sent := 0
	env.engines.mu.Lock()
	for _, engine := range env.engines.ranOn {
		if engine == "a" {
			sent++
		}
	}
	env.engines.mu.Unlock()
	assert.Assert(t, sent <= 8, "%d items were sent to the refusing engine, more than its slots", sent)
}

func TestFailedAndNotExecutableItemsExpire(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.engines.refuse = func(_ string, call Call) *CallError {
		switch call.ItemID {
		case "fails":
			return &CallError{Kind: ExecutionFailed}
		case "never":
			return &CallError{Kind: NotExecutable}
		}
		return nil
	}
	env.startRunner()
	env.submit("j", 1, "fails", "never", "works")
	results := env.awaitResults(3)
	assert.Equal(t, results["j/0"].Outcome, batch.Expired)
	assert.Equal(t, results["j/1"].Outcome, batch.Expired)
	assert.Equal(t, results["j/2"].Outcome, batch.Completed)
	calls, _ := env.engines.callsOf("fails")
	assert.Equal(t, len(calls), env.route.MaxAttempts)
}

func TestItemsExpireAfterRetention(t *testing.T) {
	env := newTestEnv(t) // no engine
	env.route.Retention = 100 * time.Millisecond
	env.startRunner()
	env.submit("j", 1, "x")
	assert.Equal(t, env.awaitResults(1)["j/0"].Outcome, batch.Expired)
}

func TestNextTermContinuesFromSavedProgress(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engines.events["x"] = 40
	env.engines.pause["a"] = 20 * time.Millisecond
	r, stop := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 5)
	stop()
	env.startRunner()
	assert.Equal(t, string(env.awaitResults(1)["j/0"].Text), fullText("x", 40))
	calls, _ := env.engines.callsOf("x")
	assert.Equal(t, len(calls), 2)
	assert.Assert(t, calls[1].LastEvent >= 5, "continued after event %d", calls[1].LastEvent)
}

// Guards against fresh items taking the only slot before the saved progress of an earlier leader is read.
func TestInterruptedItemsRunBeforeFreshOnes(t *testing.T) {
	env := newTestEnv(t, "a")
	env.fleet.Put(fleet.Engine{ID: "a", Service: "s", Slots: 1, Versions: map[string]int64{"m": 1}})
	env.engines.pause["a"] = 20 * time.Millisecond
	env.engines.events["begun"], env.engines.events["fresh"] = 40, 2
	r, stop := env.startRunner()
	env.submitStep("first", 0, "begun")
	awaitEvents(t, r, "first", 5)
	stop()
	env.jobs.blockSavedTexts = make(chan struct{})
	time.AfterFunc(restoreWait/4, func() { close(env.jobs.blockSavedTexts) })
	env.submitStep("second", 1, "fresh")
	env.startRunner()
	env.awaitResults(2)
	assert.Equal(t, env.jobs.results()[0].JobID, "first")
}

// Items that finish while the log is unavailable must not run again.
func TestResultsAreRecordedAfterLogOutage(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engines.events["x"] = 2
	env.startRunner()
	env.jobs.mu.Lock()
	env.jobs.unavailable = true
	env.jobs.mu.Unlock()
	env.submit("j", 1, "x")
	testwait.Until(t, "the run", func() bool { calls, _ := env.engines.callsOf("x"); return len(calls) == 1 })
	time.Sleep(200 * time.Millisecond) // duration of the outage
	env.jobs.mu.Lock()
	env.jobs.unavailable = false
	env.jobs.mu.Unlock()
	assert.Equal(t, string(env.awaitResults(1)["j/0"].Text), fullText("x", 2))
	calls, _ := env.engines.callsOf("x")
	assert.Equal(t, len(calls), 1)
}

// A job ends while one of its items runs; a later job contains the items under the same IDs.
func TestOutputOfEndedJobIsReusedByLaterJob(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engines.events["x"], env.engines.events["y"] = 40, 1
	env.engines.pause["a"] = 20 * time.Millisecond
	r, _ := env.startRunner()
	env.submit("j1", 1, "x", "y")
	testwait.Until(t, "some events", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		job := r.jobs["j1"]
		return job != nil && job.items[0].Output.Last() >= 5 && job.items[1].Completed()
	})
	env.jobs.apply(batch.Record{End: "j1"})
	env.submit("j2", 1, "x", "y")
	testwait.Until(t, "both results of the second job", func() bool {
		count := 0
		for _, result := range env.jobs.results() {
			if result.JobID == "j2" {
				count++
			}
		}
		return count == 2
	})
	calls, _ := env.engines.callsOf("x")
	assert.Assert(t, calls[len(calls)-1].LastEvent >= 5)
	calls, _ = env.engines.callsOf("y")
	assert.Equal(t, len(calls), 1, "an item with complete output ran again")
	for _, result := range env.jobs.results() {
		if result.JobID == "j2" && result.Item == 0 {
			assert.Equal(t, string(result.Text), fullText("x", 40))
		}
	}
}

func TestLongItemsMoveFromSlowEngines(t *testing.T) {
	env := newTestEnv(t, "slow")
	env.engines.events["x"], env.engines.events["y"] = 200, 200
	env.engines.pause["slow"], env.engines.pause["fast"] = 40*time.Millisecond, 5*time.Millisecond
	env.startRunner()
	env.submit("j", 1, "x")
	testwait.Until(t, "x runs", func() bool { calls, _ := env.engines.callsOf("x"); return len(calls) == 1 })
	for _, id := range []string{"fast", "fast2", "fast3"} {
		env.engines.setVersion(id, 1)
		env.fleet.Put(fleet.Engine{ID: id, Service: "s", Slots: 8, Versions: map[string]int64{"m": 1}})
	}
	env.submit("j2", 1, "y") // provides the pace of the fast engines
	result := env.awaitResults(2)
	assert.Equal(t, string(result["j/0"].Text), fullText("x", 200))
	calls, ranOn := env.engines.callsOf("x")
	assert.Assert(t, len(calls) > 1 && ranOn[0] == "slow" && ranOn[len(ranOn)-1] != "slow", "%v", ranOn)
	assert.Assert(t, calls[len(calls)-1].LastEvent > 0)
}

func TestItemsMoveFromDrainingEngine(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engines.events["x"], env.engines.events["y"] = 100, 100
	env.engines.pause["a"], env.engines.pause["b"] = 20*time.Millisecond, 20*time.Millisecond
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	testwait.Until(t, "x runs", func() bool { calls, _ := env.engines.callsOf("x"); return len(calls) == 1 })
	env.engines.setVersion("b", 1)
	env.fleet.Put(fleet.Engine{ID: "b", Service: "s", Slots: 8, Versions: map[string]int64{"m": 1}})
	env.submit("j2", 1, "y")
	testwait.Until(t, "the pace of b is known", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.plan.Pace(incarnation.ID{Engine: "b"}) > 0
	})
	env.fleet.Put(fleet.Engine{ID: "a", Service: "s", Slots: 8, Draining: true, Versions: map[string]int64{"m": 1}})
	results := env.awaitResults(2)
	assert.Equal(t, string(results["j/0"].Text), fullText("x", 100))
	calls, ranOn := env.engines.callsOf("x")
	assert.DeepEqual(t, ranOn, []string{"a", "b"})
	assert.Assert(t, calls[1].LastEvent > 0)
}

// The result recorded by an earlier leader ends an item that is still running here. Its partial output must not
// count as complete when a later job contains the item again.
func TestPartialOutputIsNotReusedAsComplete(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engines.events["x"], env.engines.events["y"] = 40, 40
	env.engines.pause["a"] = 20 * time.Millisecond
	r, _ := env.startRunner()
	env.submit("j1", 1, "x", "y")
	awaitEvents(t, r, "j1", 5)
	env.jobs.apply(batch.Record{Results: []batch.ResultRecord{{Job: "j1", Item: 0, Outcome: batch.Completed}}})
	env.jobs.apply(batch.Record{End: "j1"})
	env.submit("j2", 1, "x", "y")
	results := env.awaitResults(2)
	assert.Equal(t, string(results["j2/0"].Text), fullText("x", 40))
	assert.Equal(t, string(results["j2/1"].Text), fullText("y", 40))
}
