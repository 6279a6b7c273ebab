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

// heldEngines ask for the permission to send after a dial that may be held.
type heldEngines struct {
	*fakeEngines
	dialling chan string
	release  chan struct{}
	mu       sync.Mutex
	held     int
}

func (e *heldEngines) Stream(ctx context.Context, engine fleet.Engine, call Call) (Stream, error) {
	if engine.Zone == "za" {
		e.dialling <- engine.ID
		<-e.release
	}
	if !call.MayLeave() {
		e.mu.Lock()
		e.held++
		e.mu.Unlock()
		return nil, &RefusedError{Refusal: HeldBack, Detail: "not permitted"}
	}
	return e.fakeEngines.Stream(ctx, engine, call)
}

// inZones puts two engines into zones za and zb.
func inZones(t *testing.T) *world {
	w := newWorld(t)
	for id, zone := range map[string]string{"a": "za", "b": "zb"} {
		engine := engineOf(id)
		engine.Zone = zone
		w.engines.version[id] = 1
		w.fleet.Put(engine)
	}
	return w
}

// TestAnItemChosenBeforeAnEvacuationRunsElsewhere: the dial to its engine ended after it.
func TestAnItemChosenBeforeAnEvacuationRunsElsewhere(t *testing.T) {
	t.Parallel()
	w := inZones(t)
	engines := &heldEngines{fakeEngines: w.engines, dialling: make(chan string, 16), release: make(chan struct{})}
	items := []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"}
	for _, item := range items {
		w.engines.events[item] = 3
	}
	w.leadWith(engines)
	w.submit("job", 1, items...)
	<-engines.dialling
	w.fleet.Evacuate("za", time.Now(), 1)
	close(engines.release)
	for _, result := range w.awaitResults(len(items)) {
		assert.Equal(t, result.Outcome, batch.Completed)
	}
	assert.Assert(t, engines.held > 0)
	for _, item := range items {
		_, at := w.engines.callsOf(item)
		assert.DeepEqual(t, at, []string{"b"})
	}
}

// TestItemsInAnEvacuatedZoneFinishThere: where they would be moved if their engine left; see
// TestItemsMoveFromAnEngineThatLeaves.
func TestItemsInAnEvacuatedZoneFinishThere(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	engineA, engineB := engineOf("a"), engineOf("b")
	engineA.Zone, engineB.Zone = "za", "zb"
	w.engines.events["x"], w.engines.events["y"] = 100, 100
	w.engines.pause["a"], w.engines.pause["b"] = 20*time.Millisecond, 20*time.Millisecond
	w.engines.setVersion("a", 1)
	w.fleet.Put(engineA)
	r, _ := w.lead()
	w.submit("j", 1, "x")
	testwait.Until(t, "x runs", func() bool { calls, _ := w.engines.callsOf("x"); return len(calls) == 1 })
	w.engines.setVersion("b", 1)
	w.fleet.Put(engineB)
	w.submit("j2", 1, "y")
	testwait.Until(t, "the pace of b is known", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.plan.Pace(engineB.Incarnation()) > 0
	})
	w.fleet.Evacuate("za", time.Now(), 1)
	results := w.awaitResults(2)
	assert.Equal(t, string(results["j/0"].Text), wholeText("x", 100))
	_, at := w.engines.callsOf("x")
	assert.DeepEqual(t, at, []string{"a"})
}

// TestItemsWaitWhileAllZonesAreEvacuated: none is given up.
func TestItemsWaitWhileAllZonesAreEvacuated(t *testing.T) {
	t.Parallel()
	w := inZones(t)
	w.engines.events["i0"] = 3
	w.fleet.Evacuate("za", time.Now(), 1)
	w.fleet.Evacuate("zb", time.Now(), 2)
	r, _ := w.lead()
	w.submit("job", 1, "i0")
	testwait.Until(t, "the item waits", func() bool { return r.Demands()["m"].Waiting == 1 })
	assert.Equal(t, len(w.jobs.results()), 0)
	w.fleet.TakeBack("zb", time.Now(), 3)
	for _, result := range w.awaitResults(1) {
		assert.Equal(t, result.Outcome, batch.Completed)
	}
}

// TestNoItemIsChosenWhileTheEvacuationsAreNotKnown: it would be held back and chosen again without an end.
// It runs once they are known.
func TestNoItemIsChosenWhileTheEvacuationsAreNotKnown(t *testing.T) {
	t.Parallel()
	w := inZones(t)
	w.engines.events["i0"] = 3
	var known atomic.Bool
	w.gate = sendgate.New(sendgate.Options{Fleet: w.fleet, Known: known.Load})
	r, _ := w.lead()
	w.submit("job", 1, "i0")
	testwait.Until(t, "the item waits", func() bool { return r.Demands()["m"].Waiting == 1 })
	r.assign()
	assert.Equal(t, r.Demands()["m"].Waiting, 1)
	known.Store(true)
	for _, result := range w.awaitResults(1) {
		assert.Equal(t, result.Outcome, batch.Completed)
	}
}
