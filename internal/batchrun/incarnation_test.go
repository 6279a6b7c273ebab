package batchrun

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// startOf is an engine that started at a time.
func startOf(id string, born int64) fleet.Engine {
	engine := engineOf(id)
	engine.Born = born
	return engine
}

// TestARunAtAnEngineThatStartedAgainEndsAtOnce: its stream is heard all the while, so nothing else would end
// it. The item goes on from the last event.
func TestARunAtAnEngineThatStartedAgainEndsAtOnce(t *testing.T) {
	w := newWorld(t)
	w.fleet.Put(startOf("a", 1000))
	w.engines.version["a"], w.engines.pause["a"] = 1, 10*time.Millisecond
	w.engines.events["x"] = 1_000_000
	r, _ := w.lead()
	w.submit("j", 1, "x")
	awaitEvents(t, r, "j", 2)
	w.fleet.Put(startOf("a", 1000)) // a further entry of the same start
	awaitEvents(t, r, "j", 4)
	calls, _ := w.engines.callsOf("x")
	assert.Equal(t, len(calls), 1)

	w.fleet.Put(startOf("a", 2000))
	testwait.Until(t, "the item is run by the next start", func() bool {
		calls, _ = w.engines.callsOf("x")
		return len(calls) == 2
	})
	assert.Assert(t, calls[1].Started && calls[1].After >= 4)
	w.engines.mu.Lock()
	w.engines.events["x"] = int(calls[1].After) + 3
	w.engines.mu.Unlock()
	result := w.awaitResults(1)["j/0"]
	assert.Equal(t, string(result.Text), wholeText("x", int(calls[1].After)+3))
}

// TestARunAtAnEngineWhoseEntryWentGoesOn: entries lapse while the list is out of reach, and engines live.
func TestARunAtAnEngineWhoseEntryWentGoesOn(t *testing.T) {
	w := newWorld(t)
	w.fleet.Put(startOf("a", 1000))
	w.engines.version["a"], w.engines.pause["a"] = 1, 10*time.Millisecond
	w.engines.events["x"] = 40
	r, _ := w.lead()
	w.submit("j", 1, "x")
	awaitEvents(t, r, "j", 2)
	w.fleet.Remove("a")
	w.awaitResults(1)
	calls, _ := w.engines.callsOf("x")
	assert.Equal(t, len(calls), 1)
}

// TestARunEndsAlsoWhereTheEntryWentBeforeTheNextStart: the engine was away for longer than its entry lasts.
func TestARunEndsAlsoWhereTheEntryWentBeforeTheNextStart(t *testing.T) {
	w := newWorld(t)
	w.fleet.Put(startOf("a", 1000))
	w.engines.version["a"], w.engines.pause["a"] = 1, 10*time.Millisecond
	w.engines.events["x"] = 1_000_000
	r, _ := w.lead()
	w.submit("j", 1, "x")
	awaitEvents(t, r, "j", 2)
	w.fleet.Remove("a")
	w.fleet.Put(startOf("a", 2000))
	testwait.Until(t, "the item is run by the next start", func() bool {
		calls, _ := w.engines.callsOf("x")
		return len(calls) == 2
	})
}

// TestTheNextStartOfAnEngineIsNotHeldBack: what the start before refused says nothing of it, nor does its pace.
func TestTheNextStartOfAnEngineIsNotHeldBack(t *testing.T) {
	w := newWorld(t)
	first, second := startOf("a", 1000), startOf("a", 2000)
	w.fleet.Put(first)
	w.engines.events["x"] = 3
	w.engines.refuse = func(string, Call) *RefusedError { return &RefusedError{Refusal: NotExecuted} }
	r, _ := w.lead()
	w.submit("j", 1, "x")
	testwait.Until(t, "the first start refuses", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.pausedUntil) > 0
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan.ObservePace(first.Incarnation(), time.Second)
	held := r.pausedUntil[first.Incarnation()].Add(-time.Millisecond)
	assert.Assert(t, !r.engineViews(held)[0].Usable)
	w.fleet.Put(second)
	assert.Assert(t, r.engineViews(held)[0].Usable)
	assert.Equal(t, r.plan.Pace(second.Incarnation()), time.Duration(0))
}
