package weightorders

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/weightplan"
	"github.com/corkpulley/corkpulley/internal/standin/leaseterm"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// Start times of an engine's incarnations.
const (
	firstStart  = 1000
	secondStart = 2000
)

// entryOf returns the list entry of an incarnation of the engine, which starts with version 1.
func entryOf(born int64) fleet.Engine {
	return fleet.Engine{ID: "e0", Born: born, Service: service, Slots: 4, Versions: map[string]int64{model: 1}}
}

// startAgain starts another incarnation of the engine, without the state of the earlier one.
func (f *fakeEngines) startAgain(born, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(born, version)
}

// restart is startAgain. Must be called with mu held.
func (f *fakeEngines) restart(born, version int64) {
	f.born["e0"], f.versions["e0"], f.counts["e0"], f.busy["e0"] = born, version, 0, false
}

// TestAnEngineThatStartedAgainIsOrderedAnew: its count of orders restarts, and no order names the count of the
// earlier incarnation.
func TestAnEngineThatStartedAgainIsOrderedAnew(t *testing.T) {
	var loaded atomic.Int64
	w := manage(t, 1, func(options *Options) {
		options.Engines.(*fakeEngines).born["e0"] = firstStart
		options.Fleet.Put(entryOf(firstStart))
		options.Loaded = func() { loaded.Add(1) }
	})
	testwait.Until(t, "the first start has version 2", func() bool { return w.engines.allAt(2) && loaded.Load() == 1 })
	w.engines.startAgain(secondStart, 1)
	w.fleet.Put(entryOf(secondStart))
	testwait.Until(t, "the second start has version 2", func() bool { return w.engines.allAt(2) && loaded.Load() == 2 })
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	assert.Equal(t, len(w.engines.orders), 2)
	assert.Equal(t, w.engines.orders[1].Count, int64(0))
	believed, _ := w.fleet.Get("e0")
	assert.Equal(t, believed.Versions[model], int64(2))
}

// TestAnAnswerOfAnotherStartIsNotCredited: the engine restarts after it has accepted an order, before the list
// shows it. Versions of the second incarnation must not be attributed to the first.
func TestAnAnswerOfAnotherStartIsNotCredited(t *testing.T) {
	var loaded atomic.Int64
	w := manage(t, 1, func(options *Options) {
		engines := options.Engines.(*fakeEngines)
		engines.born["e0"] = firstStart
		options.Fleet.Put(entryOf(firstStart))
		options.Loaded = func() { loaded.Add(1) }
		engines.answer = func(string, Order) (Answer, bool) {
			if engines.born["e0"] == secondStart {
				return 0, false
			}
			engines.restart(secondStart, 2)
			return Taken, true
		}
	})
	testwait.Until(t, "the load is given up", func() bool { return loaded.Load() >= 1 })
	believed, _ := w.fleet.Get("e0")
	assert.Equal(t, believed.Versions[model], int64(1))
	testwait.Until(t, "the order is refused, since another start answers", func() bool { return loaded.Load() >= 2 })
	assert.Equal(t, w.engines.orderCount(), 1)

	w.fleet.Put(entryOf(secondStart))
	testwait.Until(t, "the second start is known to have version 2", func() bool {
		believed, _ := w.fleet.Get("e0")
		return believed.Born == secondStart && believed.Versions[model] == 2
	})
	assert.Equal(t, w.engines.orderCount(), 1, "it had the version already")
}

// TestTheQuietTimeBindsTheNextStartOfAnEngine: an order of an earlier holder may still reach it.
func TestTheQuietTimeBindsTheNextStartOfAnEngine(t *testing.T) {
	var over atomic.Bool
	w := manage(t, 2, func(options *Options) {
		options.Engines.(*fakeEngines).born["e0"] = secondStart
		options.Fleet.Put(entryOf(firstStart))
		options.Fleet.Put(entryOf(secondStart))
		options.Term = &leaseterm.Term{Quiet: func(engine string) time.Time {
			if engine == "e0" && !over.Load() {
				return time.Now().Add(time.Hour)
			}
			return time.Time{}
		}}
	})
	testwait.Until(t, "the other engine has version 2", func() bool { return w.engines.versionOf("e1") == 2 })
	time.Sleep(4 * tickPeriod) // in which a holder would have ordered
	assert.Equal(t, w.engines.orderCount(), 1)
	over.Store(true)
	testwait.Until(t, "version 2 everywhere", func() bool { return w.engines.allAt(2) })
}

// TestWhatIsKnownOfAnEngineThatEndedIsDropped: its count of orders and its pause.
func TestWhatIsKnownOfAnEngineThatEndedIsDropped(t *testing.T) {
	known := fleet.New()
	known.Put(entryOf(firstStart))
	manager := New(Options{Fleet: known})
	first := entryOf(firstStart).Incarnation()
	manager.counts[first], manager.retryAt[first] = 3, time.Now()
	known.Put(entryOf(secondStart))
	manager.forgetEnded()
	assert.Equal(t, len(manager.counts), 0)
	assert.Equal(t, len(manager.retryAt), 0)
}

// TestTheNextStartOfAnEngineIsOrderedAtOnce: the pause of the earlier incarnation does not apply to it.
func TestTheNextStartOfAnEngineIsOrderedAtOnce(t *testing.T) {
	engines, known := newFakeEngines("e0"), fleet.New()
	engines.busy["e0"] = true
	known.Put(entryOf(firstStart))
	manager := New(Options{
		Engines: engines, Fleet: known, Term: &leaseterm.Term{}, Logger: zerolog.Nop(), Loaded: func() {},
		Running: func() map[incarnation.ID]int { return nil },
	})
	first := entryOf(firstStart)
	manager.load(t.Context(), first, weightplan.Load{Engine: first.Incarnation(), Model: model, Version: 2}, Continue)
	paused := manager.retryAt[first.Incarnation()].Add(-time.Millisecond)
	assert.Assert(t, !isUsable(manager, paused))
	known.Put(entryOf(secondStart))
	assert.Assert(t, isUsable(manager, paused))
}

// isUsable reports whether the only engine may be ordered.
func isUsable(manager *Manager, now time.Time) bool {
	listed := manager.options.Fleet.List(service, now)
	views := manager.engineViews(listed, nil)
	manager.findUsable(views, listed, map[incarnation.ID]string{views[0].ID: model}, now)
	return views[0].Usable
}
