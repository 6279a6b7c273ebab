package batchrun

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// homesOf are the homes of a job by the configuration in force.
func (w *world) homesOf(job *batch.JobRecord) homes.Set {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.homes[job.ID]
}

func (w *world) configVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

func (w *world) routeOf(string, string) (Route, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.route, w.route.Service != ""
}

// setRoute puts a configuration in force that has this route.
func (w *world) setRoute(to Route) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.route = to
	w.config++
}

// setHomes puts a configuration in force that binds a job to the regions.
func (w *world) setHomes(job string, regions ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.homes[job] = homes.Of(regions)
	w.config++
}

// newRegions returns a world with two engines in each of two regions, named after them.
func newRegions(t *testing.T) *world {
	w := newWorld(t)
	for _, region := range []string{"north", "south"} {
		for number := range 2 {
			engine := engineOf(fmt.Sprint(region, number))
			engine.Region = region
			w.engines.version[engine.ID] = 1
			w.engines.pause[engine.ID] = 5 * time.Millisecond
			w.fleet.Put(engine)
		}
	}
	return w
}

// itemsOf names the items of a job and gives each some events.
func (w *world) itemsOf(job string, count, events int) []string {
	items := make([]string, count)
	for i := range items {
		items[i] = fmt.Sprint(job, "-item", i)
		w.engines.events[items[i]] = events
	}
	return items
}

func TestRunnersRunTheirOwnJobsAtTheirOwnEngines(t *testing.T) {
	w := newRegions(t)
	w.setHomes("bound", "north")
	bound, free := w.itemsOf("bound", 40, 3), w.itemsOf("free", 40, 3)
	w.run()
	w.run("north")
	w.submit("bound", 1, bound...)
	w.submit("free", 1, free...)
	w.awaitResults(len(bound) + len(free))
	for _, item := range bound {
		calls, at := w.engines.callsOf(item)
		assert.Equal(t, len(calls), 1, "run by one runner")
		assert.Assert(t, strings.HasPrefix(at[0], "north"), at[0])
	}
	for _, within := range w.jobs.readersOf("bound") {
		assert.Equal(t, within, homes.Of([]string{"north"}), "read by a runner that is not bound")
	}
	outside := 0
	for _, item := range free {
		if _, at := w.engines.callsOf(item); strings.HasPrefix(at[0], "south") {
			outside++
		}
	}
	assert.Assert(t, outside > 0, "the jobs without homes use the engines of all regions")
}

// TestAJobThatNobodyMayRunWaits: no runner of its region is there.
func TestAJobThatNobodyMayRunWaits(t *testing.T) {
	w := newRegions(t)
	w.setHomes("bound", "west")
	r, _ := w.run()
	w.run("north")
	w.submit("bound", 1, w.itemsOf("bound", 4, 3)...)
	w.submit("free", 1, w.itemsOf("free", 4, 3)...)
	w.awaitResults(4)
	assert.Equal(t, len(w.jobs.readersOf("bound")), 0)

	// The time of its items passes all the same.
	r.giveUpOthers(time.Now().Add(w.route.Retention + otherGrace))
	for key, result := range w.awaitResults(8) {
		assert.Equal(t, result.Outcome == batch.Expired, strings.HasPrefix(key, "bound"), key)
	}
	assert.Equal(t, len(w.jobs.readersOf("bound")), 0)
}

func TestTheLeaderAsksForTheWeightsOfAllJobs(t *testing.T) {
	w := newRegions(t)
	w.setHomes("bound", "north")
	r, _ := w.run()
	record := batch.JobRecord{ID: "bound", Model: "m", MinVersion: 7}
	record.Items = []batch.ItemRecord{{ID: "a", Group: "g", Tokens: 30}, {ID: "b", Group: "g", Tokens: 12}}
	w.jobs.apply(batch.Record{Job: &record})
	testwait.Until(t, "the job is known", func() bool { return r.Demands()["m"].Tokens > 0 })
	assert.Equal(t, r.Demands()["m"], Demand{Tokens: 42, MinVersion: 7, Items: 2})
	assert.Equal(t, r.Items()["s"], 2)
	w.jobs.apply(batch.Record{Results: []batch.ResultRecord{{Job: "bound", Item: 1, Outcome: batch.Completed}}})
	assert.Equal(t, r.Items()["s"], 1)
	w.jobs.apply(batch.Record{End: "bound"})
	assert.Equal(t, r.Items()["s"], 0)
	assert.Equal(t, len(r.Demands()), 0)
}

// TestHomesThatChangeHandTheJobOver: its items stop at once and go on from what stands in the log.
func TestHomesThatChangeHandTheJobOver(t *testing.T) {
	w := newRegions(t)
	w.setHomes("j", "north")
	const events = 300
	items := w.itemsOf("j", 2, events)
	north, _ := w.run("north")
	south, _ := w.run("south")
	w.submit("j", 1, items...)
	awaitEvents(t, north, "j", 1)
	testwait.Until(t, "progress is kept", func() bool {
		w.jobs.mu.Lock()
		defer w.jobs.mu.Unlock()
		return len(w.jobs.kept) >= len(items)
	})
	w.setHomes("j", "south")
	testwait.Until(t, "the job is left", func() bool {
		north.mu.Lock()
		defer north.mu.Unlock()
		return len(north.jobs) == 0 && len(north.runs) == 0 && north.others["j"] != nil
	})
	awaitEvents(t, south, "j", 2)
	results := w.awaitResults(len(items))
	for i, item := range items {
		assert.Equal(t, string(results[fmt.Sprint("j/", i)].Text), wholeText(item, events))
		calls, at := w.engines.callsOf(item)
		assert.Equal(t, len(calls), 2)
		assert.Assert(t, strings.HasPrefix(at[0], "north") && strings.HasPrefix(at[1], "south"), "%v", at)
		assert.Assert(t, calls[1].Started && calls[1].After > 0, "begun anew")
	}
}

// TestAJobThatIsLeftIsReadNoMore: its bodies could not be read while it was this runner's.
func TestAJobThatIsLeftIsReadNoMore(t *testing.T) {
	w := newRegions(t)
	w.jobs.unreadable["j"] = true
	w.run()
	w.submit("j", 1, w.itemsOf("j", 1, 3)...)
	testwait.Until(t, "tries to read it", func() bool { return len(w.jobs.readersOf("j")) >= 2 })
	w.setHomes("j", "north")
	north, _ := w.run("north")
	testwait.Until(t, "the other runner has it", func() bool {
		north.mu.Lock()
		defer north.mu.Unlock()
		return north.jobs["j"] != nil
	})
	isNorth := func(within homes.Set) bool { return within == homes.Of([]string{"north"}) }
	testwait.Until(t, "only the other runner tries", func() bool {
		readers := w.jobs.readersOf("j")
		last := readers[max(0, len(readers)-4):]
		for _, within := range last {
			if !isNorth(within) {
				return false
			}
		}
		return true
	})
}

// TestEnginesOutsideAreNeitherOfferedNorSentItems: an engine may be known in another place by the time
// at which an item is to be sent.
func TestEnginesOutsideAreNeitherOfferedNorSentItems(t *testing.T) {
	w := newRegions(t)
	w.setHomes("j", "north")
	r, _ := w.run("north")
	w.submit("j", 1, w.itemsOf("j", 1, 1000)...)
	awaitEvents(t, r, "j", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	views := r.engineViews(time.Now())
	assert.Equal(t, len(views), 2)
	for _, view := range views {
		assert.Assert(t, strings.HasPrefix(view.ID.Engine, "north"), view.ID.Engine)
	}
	north, _ := w.fleet.Get("north0")
	south, _ := w.fleet.Get("south0")
	job := r.jobs["j"]
	assert.Assert(t, r.mayRun(job, north))
	assert.Assert(t, !r.mayRun(job, south))
	w.setHomes("j", "south")
	assert.Assert(t, !r.mayRun(job, north))
}

// TestWhatIsKeptNamesTheHomesOfTheJobsRecord: whatever the configuration says by now, the job's texts lie there.
func TestWhatIsKeptNamesTheHomesOfTheJobsRecord(t *testing.T) {
	w := newRegions(t)
	w.setHomes("bound", "south")
	w.run("south")
	items := w.itemsOf("bound", 2, 200)
	w.submitRecord(batch.JobRecord{ID: "bound", Model: "m", MinVersion: 1, Homes: []string{"north"}}, items)
	for _, result := range w.awaitResults(len(items)) {
		assert.DeepEqual(t, result.Homes, []string{"north"})
	}
	w.jobs.mu.Lock()
	defer w.jobs.mu.Unlock()
	assert.Assert(t, len(w.jobs.kept) > 0)
	for _, part := range w.jobs.kept {
		assert.DeepEqual(t, part.Homes, []string{"north"})
	}
}

// TestTheTimeOfAnotherRunnersJobGoesOnWhenItIsToldAgain: as it is with each configuration that moves some job.
func TestTheTimeOfAnotherRunnersJobGoesOnWhenItIsToldAgain(t *testing.T) {
	w := newRegions(t)
	w.setHomes("bound", "west")
	r, _ := w.run()
	w.submit("bound", 1, w.itemsOf("bound", 2, 3)...)
	seenAt := func() (at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if job := r.others["bound"]; job != nil {
			at = job.seenAt
		}
		return at
	}
	testwait.Until(t, "the job is known", func() bool { return !seenAt().IsZero() })
	first := seenAt()
	w.jobs.Observe(r)
	assert.Equal(t, seenAt(), first)
}

// TestAJobWhoseRouteIsNotKnownYetIsNotGivenUp: the node that took it knew a newer configuration than its runner.
func TestAJobWhoseRouteIsNotKnownYetIsNotGivenUp(t *testing.T) {
	w := newRegions(t)
	route := w.route
	w.route = Route{}
	r, _ := w.run()
	w.setHomes("bound", "west")
	newer := w.configVersion() + 1
	w.submitRecord(batch.JobRecord{ID: "new", Model: "m", Config: newer}, w.itemsOf("new", 2, 3))
	w.submitRecord(batch.JobRecord{ID: "bound", Model: "m", Config: newer}, w.itemsOf("bound", 2, 3))
	w.submit("gone", 1, w.itemsOf("gone", 2, 3)...)
	for key, result := range w.awaitResults(2) {
		assert.Assert(t, result.Outcome == batch.Expired && strings.HasPrefix(key, "gone"), key)
	}
	r.giveUpOthers(time.Now().Add(otherGrace))
	r.mu.Lock()
	assert.Assert(t, r.others["bound"] != nil)
	r.mu.Unlock()
	w.setRoute(route)
	for key, result := range w.awaitResults(4) {
		assert.Equal(t, result.Outcome == batch.Completed, strings.HasPrefix(key, "new"), key)
	}
}
