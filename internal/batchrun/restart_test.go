package batchrun

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// engineStartedAt returns an engine that started at the given time.
func engineStartedAt(id string, startMillis int64) fleet.Engine {
	engine := engineOf(id)
	engine.StartMillis = startMillis
	return engine
}

// The stream keeps sending events, so the stall timeout would not stop the run.
func TestRunStopsWhenEngineRestarts(t *testing.T) {
	env := newTestEnv(t)
	env.fleet.Put(engineStartedAt("a", 1000))
	env.engines.version["a"], env.engines.pause["a"] = 1, 10*time.Millisecond
	env.engines.events["x"] = 1_000_000
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 2)
	env.fleet.Put(engineStartedAt("a", 1000)) // the same incarnation registers again
	awaitEvents(t, r, "j", 4)
	calls, _ := env.engines.callsOf("x")
	assert.Equal(t, len(calls), 1)

	env.fleet.Put(engineStartedAt("a", 2000))
	testwait.Until(t, "the restarted engine runs the item", func() bool {
		calls, _ = env.engines.callsOf("x")
		return len(calls) == 2
	})
	assert.Assert(t, calls[1].Continues && calls[1].LastEvent >= 4)
	env.engines.mu.Lock()
	env.engines.events["x"] = int(calls[1].LastEvent) + 3
	env.engines.mu.Unlock()
	result := env.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", int(calls[1].LastEvent)+3))
}

// Registrations may expire while the registry is unavailable, although the engine is up.
func TestRunContinuesAfterRegistrationExpires(t *testing.T) {
	env := newTestEnv(t)
	env.fleet.Put(engineStartedAt("a", 1000))
	env.engines.version["a"], env.engines.pause["a"] = 1, 10*time.Millisecond
	env.engines.events["x"] = 40
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 2)
	env.fleet.Remove("a")
	env.awaitResults(1)
	calls, _ := env.engines.callsOf("x")
	assert.Equal(t, len(calls), 1)
}

// The engine may be down for longer than its registration lasts.
func TestRunStopsWhenEngineRestartsAfterRegistrationExpired(t *testing.T) {
	env := newTestEnv(t)
	env.fleet.Put(engineStartedAt("a", 1000))
	env.engines.version["a"], env.engines.pause["a"] = 1, 10*time.Millisecond
	env.engines.events["x"] = 1_000_000
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	awaitEvents(t, r, "j", 2)
	env.fleet.Remove("a")
	env.fleet.Put(engineStartedAt("a", 2000))
	testwait.Until(t, "the restarted engine runs the item", func() bool {
		calls, _ := env.engines.callsOf("x")
		return len(calls) == 2
	})
}

// Guards against applying a refusal or the pace of the previous incarnation to a restarted engine.
func TestRestartedEngineIsUsableAtOnce(t *testing.T) {
	env := newTestEnv(t)
	first, second := engineStartedAt("a", 1000), engineStartedAt("a", 2000)
	env.fleet.Put(first)
	env.engines.events["x"] = 3
	env.engines.refuse = func(string, Call) *CallError { return &CallError{Kind: NotExecuted} }
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	testwait.Until(t, "the first incarnation refuses", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.pausedUntil) > 0
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan.ObservePace(first.Incarnation(), time.Second)
	duringPause := r.pausedUntil[first.Incarnation()].Add(-time.Millisecond)
	assert.Assert(t, !r.engineViews(duringPause)[0].Usable)
	env.fleet.Put(second)
	assert.Assert(t, r.engineViews(duringPause)[0].Usable)
	assert.Equal(t, r.plan.Pace(second.Incarnation()), time.Duration(0))
}
