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

// awaitEvents waits until the first item of a job has so many events.
func awaitEvents(t *testing.T, r *Runner, jobID string, events int64) {
	t.Helper()
	testwait.Until(t, "some events", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		job := r.jobs[jobID]
		return job != nil && job.items[0].Output.Last() >= events
	})
}

func TestBrokenRunContinuesAtItsLastEvent(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.engines.events["x"] = 6
	w.engines.pause["a"], w.engines.pause["b"] = 10*time.Millisecond, 10*time.Millisecond
	r, _ := w.lead()
	w.submit("j", 1, "x")
	awaitEvents(t, r, "j", 2)
	r.mu.Lock()
	for _, each := range r.runs {
		each.stop(stopStalled)
	}
	r.mu.Unlock()
	result := w.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), wholeText("x", 6))
	calls, at := w.engines.callsOf("x")
	assert.Equal(t, len(calls), 2)
	assert.Assert(t, calls[1].Started && calls[1].After >= 2)
	assert.Assert(t, at[0] != at[1], "continued at the engine that fell silent")
}

func TestTextMadeByWeightsThatAreTooOldIsThrownAway(t *testing.T) {
	w := newWorld(t, "a")
	w.engines.events["x"] = 3
	w.fleet.Observe(incarnation.ID{Engine: "a"}, "m", 5) // believed, while the engine still has version 1
	w.lead()
	w.submit("j", 5, "x")
	testwait.Until(t, "a run that is refused", func() bool { calls, _ := w.engines.callsOf("x"); return len(calls) >= 2 })
	assert.Equal(t, len(w.jobs.results()), 0)
	w.engines.setVersion("a", 5)
	result := w.awaitResults(1)["j/0"]
	assert.DeepEqual(t, result.Versions, []int64{5})
	assert.Equal(t, string(result.Text), wholeText("x", 3))
}

func TestItemOfOneVersionBeginsAnewWhenTheVersionChanges(t *testing.T) {
	w := newWorld(t, "a")
	w.route.SingleVersion = true
	w.engines.events["x"] = 10
	w.engines.pause["a"] = 20 * time.Millisecond
	r, _ := w.lead()
	w.submit("j", 1, "x")
	awaitEvents(t, r, "j", 3)
	w.engines.setVersion("a", 2)
	w.fleet.Observe(incarnation.ID{Engine: "a"}, "m", 2)
	result := w.awaitResults(1)["j/0"]
	assert.Equal(t, len(result.Versions), 1, "%v", result.Versions)
	assert.Equal(t, string(result.Text), wholeText("x", 10))
}

// TestEngineThatRefusedGetsNoMoreItemsForAWhile: a leader that is new does not know
// which engines change their weights; one refusal tells it.
func TestEngineThatRefusedGetsNoMoreItemsForAWhile(t *testing.T) {
	w := newWorld(t, "a", "b")
	var items []string
	for i := range 40 {
		items = append(items, fmt.Sprint("x", i))
		w.engines.events[items[i]] = 2
	}
	w.engines.pause["a"], w.engines.pause["b"] = 5*time.Millisecond, 5*time.Millisecond
	w.engines.refuse = func(engine string, _ Call) *RefusedError {
		if engine == "a" {
			return &RefusedError{Refusal: NotExecuted}
		}
		return nil
	}
	w.lead()
	w.submit("j", 1, items...)
	w.awaitResults(len(items))
	asked := 0
	w.engines.mu.Lock()
	for _, engine := range w.engines.at {
		if engine == "a" {
			asked++
		}
	}
	w.engines.mu.Unlock()
	assert.Assert(t, asked <= 8, "%d items were sent to the engine that refuses, more than its places at once", asked)
}

func TestFailuresAndImpossibleItemsExpire(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.engines.refuse = func(_ string, call Call) *RefusedError {
		switch call.ItemID {
		case "fails":
			return &RefusedError{Refusal: Failed}
		case "never":
			return &RefusedError{Refusal: Impossible}
		}
		return nil
	}
	w.lead()
	w.submit("j", 1, "fails", "never", "works")
	results := w.awaitResults(3)
	assert.Equal(t, results["j/0"].Outcome, batch.Expired)
	assert.Equal(t, results["j/1"].Outcome, batch.Expired)
	assert.Equal(t, results["j/2"].Outcome, batch.Completed)
	calls, _ := w.engines.callsOf("fails")
	assert.Equal(t, len(calls), w.route.MaxAttempts)
}

func TestItemsWithoutRouteOrTimeExpire(t *testing.T) {
	w := newWorld(t) // no engine
	w.route.Retention = 100 * time.Millisecond
	w.lead()
	w.submit("j", 1, "x")
	assert.Equal(t, w.awaitResults(1)["j/0"].Outcome, batch.Expired)
}

func TestNextTermContinuesWhatTheLastOneKept(t *testing.T) {
	w := newWorld(t, "a")
	w.engines.events["x"] = 40
	w.engines.pause["a"] = 20 * time.Millisecond
	r, stop := w.lead()
	w.submit("j", 1, "x")
	awaitEvents(t, r, "j", 5)
	stop()
	w.lead()
	assert.Equal(t, string(w.awaitResults(1)["j/0"].Text), wholeText("x", 40))
	calls, _ := w.engines.callsOf("x")
	assert.Equal(t, len(calls), 2)
	assert.Assert(t, calls[1].After >= 5, "began again after event %d", calls[1].After)
}

// TestInterruptedItemsGoBeforeFreshOnes: a new leader has one place for an item that
// another one had begun and for those of a later step.
func TestInterruptedItemsGoBeforeFreshOnes(t *testing.T) {
	w := newWorld(t, "a")
	w.fleet.Put(fleet.Engine{ID: "a", Service: "s", Slots: 1, Versions: map[string]int64{"m": 1}})
	w.engines.pause["a"] = 20 * time.Millisecond
	w.engines.events["begun"], w.engines.events["fresh"] = 40, 2
	r, stop := w.lead()
	w.submitStep("first", 0, "begun")
	awaitEvents(t, r, "first", 5)
	stop()
	w.jobs.holdKept = make(chan struct{})
	time.AfterFunc(restoreWait/4, func() { close(w.jobs.holdKept) })
	w.submitStep("second", 1, "fresh")
	w.lead()
	w.awaitResults(2)
	assert.Equal(t, w.jobs.results()[0].JobID, "first")
}

// TestResultsOfAnOutageAreRecordedAfterIt: what ended while the log was away is
// not run again.
func TestResultsOfAnOutageAreRecordedAfterIt(t *testing.T) {
	w := newWorld(t, "a")
	w.engines.events["x"] = 2
	w.lead()
	w.jobs.mu.Lock()
	w.jobs.down = true
	w.jobs.mu.Unlock()
	w.submit("j", 1, "x")
	testwait.Until(t, "the run", func() bool { calls, _ := w.engines.callsOf("x"); return len(calls) == 1 })
	time.Sleep(200 * time.Millisecond) // an outage, not a wait for a condition
	w.jobs.mu.Lock()
	w.jobs.down = false
	w.jobs.mu.Unlock()
	assert.Equal(t, string(w.awaitResults(1)["j/0"].Text), wholeText("x", 2))
	calls, _ := w.engines.callsOf("x")
	assert.Equal(t, len(calls), 1)
}

// TestUnusedTextServesTheJobInWhichItsGroupReturns ends a job while one of its
// items runs; the item returns under the same ID.
func TestUnusedTextServesTheJobInWhichItsGroupReturns(t *testing.T) {
	w := newWorld(t, "a")
	w.engines.events["x"], w.engines.events["y"] = 40, 1
	w.engines.pause["a"] = 20 * time.Millisecond
	r, _ := w.lead()
	w.submit("j1", 1, "x", "y")
	testwait.Until(t, "some events", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		job := r.jobs["j1"]
		return job != nil && job.items[0].Output.Last() >= 5 && job.items[1].Completed()
	})
	w.jobs.apply(batch.Record{End: "j1"})
	w.submit("j2", 1, "x", "y")
	testwait.Until(t, "both of the second job", func() bool {
		count := 0
		for _, result := range w.jobs.results() {
			if result.JobID == "j2" {
				count++
			}
		}
		return count == 2
	})
	calls, _ := w.engines.callsOf("x")
	assert.Assert(t, calls[len(calls)-1].After >= 5)
	calls, _ = w.engines.callsOf("y")
	assert.Equal(t, len(calls), 1, "a whole text was made again")
	for _, result := range w.jobs.results() {
		if result.JobID == "j2" && result.Item == 0 {
			assert.Equal(t, string(result.Text), wholeText("x", 40))
		}
	}
}

func TestLongItemsMoveFromSlowEngines(t *testing.T) {
	w := newWorld(t, "slow")
	w.engines.events["x"], w.engines.events["y"] = 200, 200
	w.engines.pause["slow"], w.engines.pause["fast"] = 40*time.Millisecond, 5*time.Millisecond
	w.lead()
	w.submit("j", 1, "x")
	testwait.Until(t, "x runs", func() bool { calls, _ := w.engines.callsOf("x"); return len(calls) == 1 })
	for _, id := range []string{"fast", "fast2", "fast3"} {
		w.engines.setVersion(id, 1)
		w.fleet.Put(fleet.Engine{ID: id, Service: "s", Slots: 8, Versions: map[string]int64{"m": 1}})
	}
	w.submit("j2", 1, "y") // shows how fast the others are
	result := w.awaitResults(2)
	assert.Equal(t, string(result["j/0"].Text), wholeText("x", 200))
	calls, at := w.engines.callsOf("x")
	assert.Assert(t, len(calls) > 1 && at[0] == "slow" && at[len(at)-1] != "slow", "%v", at)
	assert.Assert(t, calls[len(calls)-1].After > 0)
}

func TestItemsMoveFromAnEngineThatLeaves(t *testing.T) {
	w := newWorld(t, "a")
	w.engines.events["x"], w.engines.events["y"] = 100, 100
	w.engines.pause["a"], w.engines.pause["b"] = 20*time.Millisecond, 20*time.Millisecond
	r, _ := w.lead()
	w.submit("j", 1, "x")
	testwait.Until(t, "x runs", func() bool { calls, _ := w.engines.callsOf("x"); return len(calls) == 1 })
	w.engines.setVersion("b", 1)
	w.fleet.Put(fleet.Engine{ID: "b", Service: "s", Slots: 8, Versions: map[string]int64{"m": 1}})
	w.submit("j2", 1, "y")
	testwait.Until(t, "the pace of b is known", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.plan.Pace(incarnation.ID{Engine: "b"}) > 0
	})
	w.fleet.Put(fleet.Engine{ID: "a", Service: "s", Slots: 8, Draining: true, Versions: map[string]int64{"m": 1}})
	results := w.awaitResults(2)
	assert.Equal(t, string(results["j/0"].Text), wholeText("x", 100))
	calls, at := w.engines.callsOf("x")
	assert.DeepEqual(t, at, []string{"a", "b"})
	assert.Assert(t, calls[1].After > 0)
}

// TestTextThatAnotherLeaderListedIsNotTakenAsWhole lists an item by the record of
// an earlier leader while this one still runs it. The part made here must not
// pass for the whole output when the group returns in a later job.
func TestTextThatAnotherLeaderListedIsNotTakenAsWhole(t *testing.T) {
	w := newWorld(t, "a")
	w.engines.events["x"], w.engines.events["y"] = 40, 40
	w.engines.pause["a"] = 20 * time.Millisecond
	r, _ := w.lead()
	w.submit("j1", 1, "x", "y")
	awaitEvents(t, r, "j1", 5)
	w.jobs.apply(batch.Record{Results: []batch.ResultRecord{{Job: "j1", Item: 0, Outcome: batch.Completed}}})
	w.jobs.apply(batch.Record{End: "j1"})
	w.submit("j2", 1, "x", "y")
	results := w.awaitResults(2)
	assert.Equal(t, string(results["j2/0"].Text), wholeText("x", 40))
	assert.Equal(t, string(results["j2/1"].Text), wholeText("y", 40))
}
