package batchrun

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const pinnedEvents = 60

// newSingleVersionEnv returns an environment whose engine "a" has version 1. Item "x" takes it 1.2 s.
func newSingleVersionEnv(t *testing.T) *testEnv {
	env := newTestEnv(t, "a")
	env.route.SingleVersion = true
	env.engines.events["x"] = pinnedEvents
	env.engines.pause["a"] = 20 * time.Millisecond
	return env
}

// addEngine lists an engine with a version and lets the runner learn its pace.
func addEngine(t *testing.T, env *testEnv, r *Runner, id string, version int64) {
	t.Helper()
	env.engines.mu.Lock()
	env.engines.version[id], env.engines.pause[id] = version, 20*time.Millisecond
	env.engines.mu.Unlock()
	engine := engineOf(id)
	engine.Versions = map[string]int64{"m": version}
	env.fleet.Put(engine)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan.ObservePace(incarnation.ID{Engine: id}, 20*time.Millisecond)
}

// breakStreamsOf makes an engine end: its streams break off and its entry goes.
func breakStreamsOf(env *testEnv, r *Runner, id string) {
	env.engines.mu.Lock()
	env.engines.refuse = func(engine string, _ Call) *CallError {
		if engine == id {
			return &CallError{Kind: InvalidResponse, ConnectionLost: true}
		}
		return nil
	}
	env.engines.mu.Unlock()
	env.fleet.Remove(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, running := range r.runs {
		if running.engine.Engine == id {
			running.cancel()
		}
	}
}

func drain(env *testEnv, id string, version int64) {
	env.fleet.Put(fleet.Engine{ID: id, Service: "s", Slots: 8, Draining: true, Versions: map[string]int64{"m": version}})
}

// Guards against a run that is stopped to move it although no engine has its version: its engine may complete it.
func TestRunStaysAtDrainingEngineThatAloneHasItsVersion(t *testing.T) {
	env := newSingleVersionEnv(t)
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 5)
	addEngine(t, env, r, "b", 2)
	drain(env, "a", 1)
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", pinnedEvents))
	assert.DeepEqual(t, result.Versions, []int64{1})
	_, ranOn := env.engines.callsOf("x")
	assert.DeepEqual(t, ranOn, []string{"a"})
	assert.Equal(t, len(env.dropped()), 0)
}

// The run of a draining engine continues where another engine has its version.
func TestRunMovesToEngineOfItsVersion(t *testing.T) {
	env := newSingleVersionEnv(t)
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 5)
	addEngine(t, env, r, "newer", 2)
	addEngine(t, env, r, "same", 1)
	drain(env, "a", 1)
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", pinnedEvents))
	calls, ranOn := env.engines.callsOf("x")
	assert.DeepEqual(t, ranOn, []string{"a", "same"})
	assert.Assert(t, calls[1].LastEvent >= 5)
	assert.Equal(t, len(env.dropped()), 0)
}

// Guards against an item that waits until its job ends for a version that no engine has any more, and against output
// that is dropped more than once or without a trace.
func TestItemOfLostVersionStartsOver(t *testing.T) {
	env := newSingleVersionEnv(t)
	var log bytes.Buffer
	logger := zerolog.New(zerolog.SyncWriter(&log))
	env.logger = &logger
	r, stop := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 5)
	addEngine(t, env, r, "b", 2)
	breakStreamsOf(env, r, "a")
	result := env.awaitResults(1)["j/0"]
	stop()
	assert.Equal(t, string(result.Text), fullText("x", pinnedEvents))
	assert.DeepEqual(t, result.Versions, []int64{2})
	calls, ranOn := env.engines.callsOf("x")
	assert.DeepEqual(t, ranOn, []string{"a", "b"})
	assert.Assert(t, !calls[1].Continues)
	assert.DeepEqual(t, env.dropped(), []DropReason{DroppedVersionGone})
	assert.Equal(t, strings.Count(log.String(), `"item output dropped"`), 1, log.String())
	assert.Assert(t, strings.Contains(log.String(), `"reason":"version_gone"`))
}

// Guards against output that is dropped because its engine restarted or is out of reach for a moment.
func TestItemContinuesAtRestartedEngineOfItsVersion(t *testing.T) {
	env := newSingleVersionEnv(t)
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 20)
	addEngine(t, env, r, "b", 2)
	addEngine(t, env, r, "c", 1)
	env.fleet.RequestEnded(incarnation.ID{Engine: "c"}, fleet.Outcome{Failed: true, At: time.Now()})
	assert.Assert(t, env.fleet.Suspected(incarnation.ID{Engine: "c"}, time.Now()))
	breakStreamsOf(env, r, "a")
	time.Sleep(100 * time.Millisecond) // a quarter of what the output took
	addEngine(t, env, r, "a2", 1)
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", pinnedEvents))
	assert.DeepEqual(t, result.Versions, []int64{1})
	assert.Equal(t, len(env.dropped()), 0)
}

// Guards against an item that waits for ever because the only engine of its version refuses it each time.
func TestItemStartsOverWhenEngineOfItsVersionKeepsRefusing(t *testing.T) {
	env := newSingleVersionEnv(t)
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 5)
	addEngine(t, env, r, "b", 2)
	env.engines.mu.Lock()
	env.engines.refuse = func(engine string, _ Call) *CallError {
		if engine == "a" {
			return &CallError{Kind: NotExecuted, Detail: "full"}
		}
		return nil
	}
	env.engines.mu.Unlock()
	r.mu.Lock()
	for _, running := range r.runs {
		running.cancel()
	}
	r.mu.Unlock()
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", pinnedEvents))
	assert.DeepEqual(t, result.Versions, []int64{2})
	assert.DeepEqual(t, env.dropped(), []DropReason{DroppedVersionUnavailable})
}

// Guards against an item of a later job that keeps the output of an earlier one although its version is gone.
func TestReusedOutputOfLostVersionIsDropped(t *testing.T) {
	env := newSingleVersionEnv(t)
	r, _ := env.startRunner()
	env.submit("j1", 1, "x")
	awaitEvents(t, r, "j1", 5)
	env.jobs.apply(batch.Record{End: "j1"})
	testwait.Until(t, "the run ends", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.runs) == 0
	})
	addEngine(t, env, r, "b", 2)
	breakStreamsOf(env, r, "a")
	env.submit("j2", 1, "x")
	result := env.awaitResults(1)["j2/0"]
	assert.Equal(t, string(result.Text), fullText("x", pinnedEvents))
	assert.DeepEqual(t, result.Versions, []int64{2})
	assert.DeepEqual(t, env.dropped(), []DropReason{DroppedVersionGone})
}

// Guards against a next leader that takes up saved output of a version that is gone, and waits for it.
func TestNextTermDropsSavedOutputOfLostVersion(t *testing.T) {
	env := newSingleVersionEnv(t)
	r, stop := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 5)
	stop()
	r, _ = env.startRunner()
	breakStreamsOf(env, r, "a")
	addEngine(t, env, r, "b", 2)
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", pinnedEvents))
	assert.DeepEqual(t, result.Versions, []int64{2})
}

// Guards against output whose loss to a change of version is not counted.
func TestOutputOfChangedVersionIsCountedAsDropped(t *testing.T) {
	env := newSingleVersionEnv(t)
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 5)
	env.engines.setVersion("a", 2)
	env.fleet.ObserveVersion(incarnation.ID{Engine: "a"}, "m", 2)
	assert.DeepEqual(t, env.awaitResults(1)["j/0"].Versions, []int64{2})
	assert.DeepEqual(t, env.dropped(), []DropReason{DroppedMixedVersions})
}

// Guards against a run without end on an engine whose events never end.
func TestItemWithEndlessEventsStartsOverElsewhere(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engines.events["x"] = 1 << 30
	env.startRunner()
	record := batch.JobRecord{ID: "j", Model: "m", MinVersion: 1}
	record.Items = []batch.ItemRecord{{ID: "x", Group: "g", Prompt: 10, Tokens: 20}}
	env.jobs.apply(batch.Record{Job: &record})
	testwait.Until(t, "the output to be dropped", func() bool { return len(env.dropped()) > 0 })
	assert.Equal(t, env.dropped()[0], DroppedTooLong)
	env.engines.mu.Lock()
	env.engines.events["x"] = 2*10 + eventSlack
	env.engines.mu.Unlock()
	assert.Equal(t, string(env.awaitResults(1)["j/0"].Text), fullText("x", 2*10+eventSlack))
}

// Guards against a long item that is dropped again and again as too long although its tokens allow for its output.
func TestOutputLimitGrowsWithTokensOfItem(t *testing.T) {
	job := &openJob{record: batch.JobRecord{Items: []batch.ItemRecord{
		{Prompt: 10, Tokens: 20}, {Prompt: 1000, Tokens: 101_000}, {Tokens: 20},
	}}}
	assert.Equal(t, job.limitsOf(0).MaxBytes, minOutputLimit)
	assert.Equal(t, job.limitsOf(1).MaxBytes, outputBytesPerToken*100_000)
	assert.Equal(t, job.limitsOf(1).MaxEvents, int64(200_000+eventSlack))
	assert.Equal(t, job.limitsOf(2).MaxBytes, minOutputLimit)
	assert.Equal(t, job.limitsOf(2).MaxEvents, int64(0))
}
