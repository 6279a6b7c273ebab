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

func (env *testEnv) homesOf(job *batch.JobRecord) homes.Set {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.homes[job.ID]
}

func (env *testEnv) configVersion() int64 {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.config
}

func (env *testEnv) routeOf(string, string) (Route, bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.route, len(env.route.Parts) > 0
}

// setRoute applies a new configuration with the route.
func (env *testEnv) setRoute(to Route) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.route = to
	env.config++
}

// setHomes applies a new configuration that binds a job to the regions.
func (env *testEnv) setHomes(job string, regions ...string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.homes[job] = homes.Of(regions)
	env.config++
}

// newRegionalEnv returns an environment with two engines in each of two regions, named after them.
func newRegionalEnv(t *testing.T) *testEnv {
	env := newTestEnv(t)
	for _, region := range []string{"north", "south"} {
		for number := range 2 {
			engine := engineOf(fmt.Sprint(region, number))
			engine.Region = region
			env.engines.version[engine.ID] = 1
			env.engines.pause[engine.ID] = 5 * time.Millisecond
			env.fleet.Put(engine)
		}
	}
	return env
}

// addItems returns item IDs for a job and gives each the number of events.
func (env *testEnv) addItems(job string, count, events int) []string {
	items := make([]string, count)
	for i := range items {
		items[i] = fmt.Sprint(job, "-item", i)
		env.engines.events[items[i]] = events
	}
	return items
}

func TestRunnersRunOnlyTheirOwnJobs(t *testing.T) {
	env := newRegionalEnv(t)
	env.setHomes("bound", "north")
	bound, unbound := env.addItems("bound", 40, 3), env.addItems("unbound", 40, 3)
	env.startBoundRunner()
	env.startBoundRunner("north")
	env.submit("bound", 1, bound...)
	env.submit("unbound", 1, unbound...)
	env.awaitResults(len(bound) + len(unbound))
	for _, item := range bound {
		calls, ranOn := env.engines.callsOf(item)
		assert.Equal(t, len(calls), 1, "run by one runner")
		assert.Assert(t, strings.HasPrefix(ranOn[0], "north"), ranOn[0])
	}
	for _, within := range env.jobs.readersOf("bound") {
		assert.Equal(t, within, homes.Of([]string{"north"}), "read by a runner that is not bound")
	}
	outside := 0
	for _, item := range unbound {
		if _, ranOn := env.engines.callsOf(item); strings.HasPrefix(ranOn[0], "south") {
			outside++
		}
	}
	assert.Assert(t, outside > 0, "unbound jobs use the engines of all regions")
}

// No runner exists in the job's home region, so its payloads must not be read.
func TestJobWithoutRunnerWaitsUntilRetentionEnds(t *testing.T) {
	env := newRegionalEnv(t)
	env.setHomes("bound", "west")
	r, _ := env.startBoundRunner()
	env.startBoundRunner("north")
	env.submit("bound", 1, env.addItems("bound", 4, 3)...)
	env.submit("unbound", 1, env.addItems("unbound", 4, 3)...)
	env.awaitResults(4)
	assert.Equal(t, len(env.jobs.readersOf("bound")), 0)

	// Its items expire nevertheless.
	r.expireOverdueOthers(time.Now().Add(env.route.Retention + otherRunnerGrace))
	for key, result := range env.awaitResults(8) {
		assert.Equal(t, result.Outcome == batch.Expired, strings.HasPrefix(key, "bound"), key)
	}
	assert.Equal(t, len(env.jobs.readersOf("bound")), 0)
}

func TestDemandIncludesJobsOfOtherRunners(t *testing.T) {
	env := newRegionalEnv(t)
	env.setHomes("bound", "north")
	r, _ := env.startBoundRunner()
	record := batch.JobRecord{ID: "bound", Model: "m", MinVersion: 7}
	record.Items = []batch.ItemRecord{{ID: "a", Group: "g", Tokens: 30}, {ID: "b", Group: "g", Tokens: 12}}
	env.jobs.apply(batch.Record{Job: &record})
	testwait.Until(t, "the job is known", func() bool { return r.Demands()["m"].Tokens > 0 })
	assert.Equal(t, r.Demands()["m"], Demand{Tokens: 42, MinVersion: 7, Unfinished: 2})
	assert.Equal(t, r.UnfinishedByService()["s"], 2)
	env.jobs.apply(batch.Record{Results: []batch.ResultRecord{{Job: "bound", Item: 1, Outcome: batch.Completed}}})
	assert.Equal(t, r.UnfinishedByService()["s"], 1)
	env.jobs.apply(batch.Record{End: "bound"})
	assert.Equal(t, r.UnfinishedByService()["s"], 0)
	assert.Equal(t, len(r.Demands()), 0)
}

// The items must stop at once and continue from the saved progress.
func TestJobIsHandedOverWhenHomesChange(t *testing.T) {
	env := newRegionalEnv(t)
	env.setHomes("j", "north")
	const events = 300
	items := env.addItems("j", 2, events)
	north, _ := env.startBoundRunner("north")
	south, _ := env.startBoundRunner("south")
	env.submit("j", 1, items...)
	awaitEvents(t, north, "j", 1)
	testwait.Until(t, "progress is saved", func() bool {
		env.jobs.mu.Lock()
		defer env.jobs.mu.Unlock()
		return len(env.jobs.saved) >= len(items)
	})
	env.setHomes("j", "south")
	testwait.Until(t, "the job is released", func() bool {
		north.mu.Lock()
		defer north.mu.Unlock()
		return len(north.jobs) == 0 && len(north.runs) == 0 && north.otherJobs["j"] != nil
	})
	awaitEvents(t, south, "j", 2)
	results := env.awaitResults(len(items))
	for i, item := range items {
		assert.Equal(t, string(results[fmt.Sprint("j/", i)].Text), fullText(item, events))
		calls, ranOn := env.engines.callsOf(item)
		assert.Equal(t, len(calls), 2)
		assert.Assert(t, strings.HasPrefix(ranOn[0], "north") && strings.HasPrefix(ranOn[1], "south"), "%v", ranOn)
		assert.Assert(t, calls[1].Continues && calls[1].LastEvent > 0, "restarted from the beginning")
	}
}

// Guards against further attempts to read payloads that were unreadable before the handover.
func TestReleasedJobIsNotReadAgain(t *testing.T) {
	env := newRegionalEnv(t)
	env.jobs.unreadable["j"] = true
	env.startBoundRunner()
	env.submit("j", 1, env.addItems("j", 1, 3)...)
	testwait.Until(t, "attempts to read it", func() bool { return len(env.jobs.readersOf("j")) >= 2 })
	env.setHomes("j", "north")
	north, _ := env.startBoundRunner("north")
	testwait.Until(t, "the other runner has it", func() bool {
		north.mu.Lock()
		defer north.mu.Unlock()
		return north.jobs["j"] != nil
	})
	isNorth := func(within homes.Set) bool { return within == homes.Of([]string{"north"}) }
	testwait.Until(t, "only the other runner reads it", func() bool {
		readers := env.jobs.readersOf("j")
		last := readers[max(0, len(readers)-4):]
		for _, within := range last {
			if !isNorth(within) {
				return false
			}
		}
		return true
	})
}

// An engine's region may change between the assignment and the send.
func TestEnginesOutsideHomesGetNoItems(t *testing.T) {
	env := newRegionalEnv(t)
	env.setHomes("j", "north")
	r, _ := env.startBoundRunner("north")
	env.submit("j", 1, env.addItems("j", 1, 1000)...)
	awaitEvents(t, r, "j", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	views := r.engineViews(time.Now())
	assert.Equal(t, len(views), 2)
	for _, view := range views {
		assert.Assert(t, strings.HasPrefix(view.ID.Engine, "north"), view.ID.Engine)
	}
	north, _ := env.fleet.Get("north0")
	south, _ := env.fleet.Get("south0")
	job := r.jobs["j"]
	assert.Assert(t, r.mayRun(job, north))
	assert.Assert(t, !r.mayRun(job, south))
	env.setHomes("j", "south")
	assert.Assert(t, !r.mayRun(job, north))
}

// Results and progress are stored in the homes of the job's record, whatever the configuration says now.
func TestSavedDataUsesHomesOfJobRecord(t *testing.T) {
	env := newRegionalEnv(t)
	env.setHomes("bound", "south")
	env.startBoundRunner("south")
	items := env.addItems("bound", 2, 200)
	env.submitRecord(batch.JobRecord{ID: "bound", Model: "m", MinVersion: 1, Homes: []string{"north"}}, items)
	for _, result := range env.awaitResults(len(items)) {
		assert.DeepEqual(t, result.Homes, []string{"north"})
	}
	env.jobs.mu.Lock()
	defer env.jobs.mu.Unlock()
	assert.Assert(t, len(env.jobs.saved) > 0)
	for _, part := range env.jobs.saved {
		assert.DeepEqual(t, part.Homes, []string{"north"})
	}
}

// Jobs are announced again after every configuration change that moves a job.
func TestReannouncedJobKeepsItsStartTime(t *testing.T) {
	env := newRegionalEnv(t)
	env.setHomes("bound", "west")
	r, _ := env.startBoundRunner()
	env.submit("bound", 1, env.addItems("bound", 2, 3)...)
	seenAt := func() (at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if job := r.otherJobs["bound"]; job != nil {
			at = job.seenAt
		}
		return at
	}
	testwait.Until(t, "the job is known", func() bool { return !seenAt().IsZero() })
	first := seenAt()
	env.jobs.Observe(r)
	assert.Equal(t, seenAt(), first)
}

// The node that accepted the job may have a newer configuration than its runner.
func TestJobWithPendingRouteIsNotExpired(t *testing.T) {
	env := newRegionalEnv(t)
	route := env.route
	env.route = Route{}
	r, _ := env.startBoundRunner()
	env.setHomes("bound", "west")
	newer := env.configVersion() + 1
	env.submitRecord(batch.JobRecord{ID: "new", Model: "m", Config: newer}, env.addItems("new", 2, 3))
	env.submitRecord(batch.JobRecord{ID: "bound", Model: "m", Config: newer}, env.addItems("bound", 2, 3))
	env.submit("gone", 1, env.addItems("gone", 2, 3)...)
	for key, result := range env.awaitResults(2) {
		assert.Assert(t, result.Outcome == batch.Expired && strings.HasPrefix(key, "gone"), key)
	}
	r.expireOverdueOthers(time.Now().Add(otherRunnerGrace))
	r.mu.Lock()
	assert.Assert(t, r.otherJobs["bound"] != nil)
	r.mu.Unlock()
	env.setRoute(route)
	for key, result := range env.awaitResults(4) {
		assert.Equal(t, result.Outcome == batch.Completed, strings.HasPrefix(key, "new"), key)
	}
}

// Guards against engines that get no weights because the jobs that need them begin and end between two passes of the
// weight planner.
func TestItemPeakCoversJobsThatHaveEnded(t *testing.T) {
	env := newRegionalEnv(t)
	env.setHomes("bound", "north")
	r, _ := env.startBoundRunner()
	record := batch.JobRecord{ID: "bound", Model: "m", Items: []batch.ItemRecord{{ID: "a", Group: "g"}, {ID: "b", Group: "g"}}}
	env.jobs.apply(batch.Record{Job: &record})
	testwait.Until(t, "the job is known", func() bool { return r.UnfinishedByService()["s"] > 0 })
	env.jobs.apply(batch.Record{End: "bound"})
	assert.Equal(t, r.UnfinishedByService()["s"], 0)
	assert.Equal(t, r.Demands()["m"], Demand{Unfinished: 2})
	assert.Equal(t, len(r.Demands()), 0, "the peak counts once")
}
