package batchrun

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/joborder"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// syncBuffer is a buffer for concurrent writers.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// lines returns the lines that contain the text.
func (b *syncBuffer) lines(text string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// newDueEnv returns an environment with one engine of one slot, whose runners order jobs by due times, and the log and
// the decisions of the runners.
func newDueEnv(t *testing.T) (*testEnv, *syncBuffer, func(kind joborder.Kind) int) {
	env := newTestEnv(t, "a")
	single := engineOf("a")
	single.Slots = 1
	env.fleet.Put(single)
	env.engines.pause["a"] = 10 * time.Millisecond
	env.route.ResultsDueAfter = 10 * time.Second
	logs := &syncBuffer{}
	var mu sync.Mutex
	counts := make(map[joborder.Kind]int)
	env.configure = func(options *Options) {
		options.DueOrder, options.Logger = true, zerolog.New(logs)
		options.OnJobDecision = func(kind joborder.Kind) {
			mu.Lock()
			defer mu.Unlock()
			counts[kind]++
		}
	}
	return env, logs, func(kind joborder.Kind) int {
		mu.Lock()
		defer mu.Unlock()
		return counts[kind]
	}
}

// submitLate submits a job that was accepted the given time ago.
func (env *testEnv) submitLate(id, model string, age time.Duration, items ...string) {
	env.submitRecord(batch.JobRecord{ID: id, Model: model, AcceptedMs: time.Now().Add(-age).UnixMilli()}, items)
}

// Guards against a runner that ignores when jobs are due, and against decisions that are not reported, or repeatedly.
func TestJobsStartByDueTimes(t *testing.T) {
	env, logs, count := newDueEnv(t)
	for _, item := range []string{"lost-0", "lost-1", "fresh-0", "fresh-1"} {
		env.engines.events[item] = 20
	}
	env.submitLate("lost", "m", 10100*time.Millisecond, "lost-0", "lost-1")
	env.submitLate("fresh", "m", 0, "fresh-0", "fresh-1")
	env.startRunner()
	env.awaitResults(4)
	started := logs.lines("item started")
	assert.Equal(t, len(started), 4)
	last := started[len(started)-1]
	assert.Assert(t, strings.Contains(last, `"job":"lost"`), "%v", started)
	assert.Equal(t, count(joborder.Late), 1)
	late := logs.lines("job cannot be complete in time")
	assert.Equal(t, len(late), 1)
	assert.Assert(t, strings.Contains(late[0], `"job":"lost"`), late[0])
	assert.Assert(t, strings.Contains(late[0], `"reason":"due time passed"`), late[0])
}

// Guards against a job that waits for one accepted later without a line and a count that say so, or with several.
func TestOutrankedJobIsReportedOnce(t *testing.T) {
	env, logs, count := newDueEnv(t)
	env.engines.events["fresh-0"], env.engines.events["fresh-1"], env.engines.events["lost"] = 60, 60, 1
	env.submitLate("lost", "m", 10100*time.Millisecond, "lost")
	env.submitLate("fresh", "m", 0, "fresh-0", "fresh-1")
	// Jobs are loaded concurrently: an engine that is free before all items wait may start the older job's item.
	single := engineOf("a")
	single.Slots, single.Draining = 1, true
	env.fleet.Put(single)
	r, _ := env.startRunner()
	testwait.Until(t, "all items wait", func() bool { return r.Demands()["m"].Waiting == 3 })
	single.Draining = false
	env.fleet.Put(single)
	env.awaitResults(3)
	assert.Equal(t, count(joborder.Outranked), 1)
	outranked := logs.lines("items wait for a job that was accepted later")
	assert.Equal(t, len(outranked), 1)
	for _, field := range []string{`"job":"lost"`, `"ahead":"fresh"`, `"can_be_in_time":false`, `"unfinished":1`, `"slack_ms":-`} {
		assert.Assert(t, strings.Contains(outranked[0], field), "%s: %s", field, outranked[0])
	}
}

// Guards against starts of items that had to wait as surplus and whose lines do not say so, or starts of others that do.
func TestStartsAsSurplusAreLogged(t *testing.T) {
	env, logs, _ := newDueEnv(t)
	double := engineOf("a")
	double.Slots = 2
	env.fleet.Put(double)
	record := batch.JobRecord{ID: "j", Model: "m", Wanted: 1, AcceptedMs: time.Now().UnixMilli()}
	for item, length := range map[string]int{"short": 10, "medium": 20, "long": 30} {
		env.engines.events[item] = 5
		record.Items = append(record.Items, batch.ItemRecord{ID: item, Group: "group of " + item, Length: length})
	}
	env.submitRecord(record, nil)
	env.startRunner()
	env.awaitResults(3)
	started, surplus := logs.lines("item started"), logs.lines(`"surplus":true`)
	assert.Equal(t, len(started), 3)
	assert.Equal(t, len(surplus), 1, "the last item had a slot, so it did not start later than others: %v", surplus)
	assert.Assert(t, strings.Contains(surplus[0], "item started") && strings.Contains(surplus[0], `"item":"long"`), surplus[0])
}

// Guards against jobs that are expired because they are late.
func TestLateJobStillCompletes(t *testing.T) {
	env, _, count := newDueEnv(t)
	env.engines.events["x"] = 2
	env.submitLate("j", "m", 20*time.Second, "x")
	env.startRunner()
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, result.Outcome, batch.Completed)
	testwait.Until(t, "the report that the job is late", func() bool { return count(joborder.Late) == 1 })
}

// Guards against decisions, lines and ranks in deployments that keep the order of arrival.
func TestArrivalOrderMakesNoDecisions(t *testing.T) {
	env, logs, count := newDueEnv(t)
	configure := env.configure
	env.configure = func(options *Options) {
		configure(options)
		options.DueOrder = false
	}
	env.engines.events["x"], env.engines.events["y"] = 2, 2
	env.submitLate("lost", "m", 10*time.Second, "x")
	env.submitLate("fresh", "m", 0, "y")
	env.startRunner()
	env.awaitResults(2)
	assert.Equal(t, count(joborder.Late)+count(joborder.Outranked), 0)
	assert.Equal(t, len(logs.lines("surplus")), 0)
}

// Guards against an order of jobs that does not learn the events of running items unless engines are of different speed.
func TestEventsOfRunningItemsReachTheJobOrder(t *testing.T) {
	env := newTestEnv(t, "a")
	r := New(Options{
		Fleet: env.fleet, Crashes: env.crashes, RouteOf: env.routeOf, HomesOf: env.homesOf, ConfigVersion: env.configVersion,
		EngineTokensOf: func(string) int { return env.engineTokens },
		Logger:         zerolog.Nop(), DueOrder: true,
		LoadingModel: func(incarnation.ID) string { return "" },
	})
	key, started, engine := batchplan.Key{Job: "j"}, time.Now(), engineOf("a")
	r.plan.ObservePace(engine.Incarnation(), 10*time.Millisecond)
	r.plan.ObserveLength(1, 1)
	r.plan.AddJob(batchplan.Job{ID: key.Job, Model: "m", Lengths: []int{90}, Due: batchplan.DueJob{
		Submitter: "m", Accepted: started, DueAfter: time.Second, Groups: []string{"g"}, Done: []bool{false},
	}})
	r.plan.Add(batchplan.Item{Key: key, Service: "s", Model: "m", MinVersion: 1, Length: 90})
	view := batchplan.Engine{ID: engine.Incarnation(), Service: "s", Slots: 1, Versions: engine.Versions, Usable: true}
	assert.Equal(t, len(r.plan.Assign(started, []batchplan.Engine{view})), 1)
	current := &run{engine: engine.Incarnation(), started: started, cancel: func() {}}
	job := &openJob{record: batch.JobRecord{ID: key.Job, Model: "m", Items: make([]batch.ItemRecord, 1)}, items: make([]batchitem.Item, 1)}
	r.runs[key], r.jobs[key.Job] = current, job
	assert.NilError(t, r.addEvent(job, key, current, Event{Number: 1, Data: []byte("x"), Version: 1}, started))
	decisions := r.plan.RefreshOrder(started.Add(500 * time.Millisecond))
	assert.Equal(t, len(decisions), 1, "0.89 s of the item are left, and 0.5 s of the time until its results are due")
	assert.Equal(t, decisions[0].Kind, joborder.Late)
}
