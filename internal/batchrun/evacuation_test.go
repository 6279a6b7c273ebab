package batchrun

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/sendgate"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// gatedEngines checks MaySend after connecting; connecting to zone za blocks until release.
type gatedEngines struct {
	*fakeEngines
	dialing  chan string
	release  chan struct{}
	mu       sync.Mutex
	heldBack int
}

func (e *gatedEngines) Stream(ctx context.Context, engine fleet.Engine, call Call) (Stream, error) {
	if engine.Zone == "za" {
		e.dialing <- engine.ID
		<-e.release
	}
	if !call.MaySend() {
		e.mu.Lock()
		e.heldBack++
		e.mu.Unlock()
		return nil, &CallError{Kind: NotPermitted, Detail: "not permitted"}
	}
	return e.fakeEngines.Stream(ctx, engine, call)
}

// newZonedEnv returns an environment with one engine in each of the zones za and zb.
func newZonedEnv(t *testing.T) *testEnv {
	env := newTestEnv(t)
	for id, zone := range map[string]string{"a": "za", "b": "zb"} {
		engine := engineOf(id)
		engine.Zone = zone
		env.engines.version[id] = 1
		env.fleet.Put(engine)
	}
	return env
}

// Guards against sending an item to a zone that was evacuated while the call was connecting.
func TestItemAssignedBeforeEvacuationRunsElsewhere(t *testing.T) {
	t.Parallel()
	env := newZonedEnv(t)
	engines := &gatedEngines{fakeEngines: env.engines, dialing: make(chan string, 16), release: make(chan struct{})}
	items := []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"}
	for _, item := range items {
		env.engines.events[item] = 3
	}
	env.startRunnerWith(engines)
	env.submit("job", 1, items...)
	<-engines.dialing
	env.fleet.Evacuate("za", time.Now(), 1)
	close(engines.release)
	for _, result := range env.awaitResults(len(items)) {
		assert.Equal(t, result.Outcome, batch.Completed)
	}
	assert.Assert(t, engines.heldBack > 0)
	for _, item := range items {
		_, ranOn := env.engines.callsOf(item)
		assert.DeepEqual(t, ranOn, []string{"b"})
	}
}

// Evacuation must not move running items as draining does; see TestItemsMoveFromDrainingEngine.
func TestRunningItemsFinishInEvacuatedZone(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	engineA, engineB := engineOf("a"), engineOf("b")
	engineA.Zone, engineB.Zone = "za", "zb"
	env.engines.events["x"], env.engines.events["y"] = 100, 100
	env.engines.pause["a"], env.engines.pause["b"] = 20*time.Millisecond, 20*time.Millisecond
	env.engines.setVersion("a", 1)
	env.fleet.Put(engineA)
	r, _ := env.startRunner()
	env.submit("j", 1, "x")
	testwait.Until(t, "x runs", func() bool { calls, _ := env.engines.callsOf("x"); return len(calls) == 1 })
	env.engines.setVersion("b", 1)
	env.fleet.Put(engineB)
	env.submit("j2", 1, "y")
	testwait.Until(t, "the pace of b is known", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.plan.Pace(engineB.Incarnation()) > 0
	})
	env.fleet.Evacuate("za", time.Now(), 1)
	results := env.awaitResults(2)
	assert.Equal(t, string(results["j/0"].Text), fullText("x", 100))
	_, ranOn := env.engines.callsOf("x")
	assert.DeepEqual(t, ranOn, []string{"a"})
}

func TestItemsWaitWhileAllZonesAreEvacuated(t *testing.T) {
	t.Parallel()
	env := newZonedEnv(t)
	env.engines.events["i0"] = 3
	env.fleet.Evacuate("za", time.Now(), 1)
	env.fleet.Evacuate("zb", time.Now(), 2)
	r, _ := env.startRunner()
	env.submit("job", 1, "i0")
	testwait.Until(t, "the item waits", func() bool { return r.Demands()["m"].Waiting == 1 })
	assert.Equal(t, len(env.jobs.results()), 0)
	env.fleet.EndEvacuation("zb", time.Now(), 3)
	for _, result := range env.awaitResults(1) {
		assert.Equal(t, result.Outcome, batch.Completed)
	}
}

// Guards against a busy loop of items that are assigned and held back again.
func TestNoItemIsAssignedWhileEvacuationsAreUnknown(t *testing.T) {
	t.Parallel()
	env := newZonedEnv(t)
	env.engines.events["i0"] = 3
	var known atomic.Bool
	env.gate = sendgate.New(sendgate.Options{Fleet: env.fleet, EnginesKnown: known.Load})
	r, _ := env.startRunner()
	env.submit("job", 1, "i0")
	testwait.Until(t, "the item waits", func() bool { return r.Demands()["m"].Waiting == 1 })
	r.assign()
	assert.Equal(t, r.Demands()["m"].Waiting, 1)
	known.Store(true)
	for _, result := range env.awaitResults(1) {
		assert.Equal(t, result.Outcome, batch.Completed)
	}
}
