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
	"github.com/corkpulley/corkpulley/internal/standin/fakelease"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// Start times of an engine's incarnations.
const (
	firstStart  = 1000
	secondStart = 2000
)

// incarnationEntry returns the list entry of an incarnation of engine e0, which starts with version 1.
func incarnationEntry(startMillis int64) fleet.Engine {
	return fleet.Engine{ID: "e0", StartMillis: startMillis, Service: service, Slots: 4, Versions: map[string]int64{model: 1}}
}

// restart starts another incarnation of engine e0, without the state of the earlier one.
func (f *fakeEngines) restart(startMillis, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restartLocked(startMillis, version)
}

// restartLocked is restart. Must be called with mu held.
func (f *fakeEngines) restartLocked(startMillis, version int64) {
	f.startMillis["e0"], f.versions["e0"], f.counts["e0"], f.busy["e0"] = startMillis, version, 0, false
}

// Guards against an order to a new incarnation with the order count of the earlier one.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	var loaded atomic.Int64
	m := startManager(t, 1, func(options *Options) {
		options.Engines.(*fakeEngines).startMillis["e0"] = firstStart
		options.Fleet.Put(incarnationEntry(firstStart))
		options.OnLoadEnd = func() { loaded.Add(1) }
	})
	testwait.Until(t, "the first incarnation has version 2", func() bool {
		return m.engines.allAt(2) && loaded.Load() == 1
	})
	m.engines.restart(secondStart, 1)
	m.fleet.Put(incarnationEntry(secondStart))
	testwait.Until(t, "the second incarnation has version 2", func() bool {
		return m.engines.allAt(2) && loaded.Load() == 2
	})
	m.engines.mu.Lock()
	defer m.engines.mu.Unlock()
	assert.Equal(t, len(m.engines.orders), 2)
	assert.Equal(t, m.engines.orders[1].Count, int64(0))
	listed, _ := m.fleet.Get("e0")
	assert.Equal(t, listed.Versions[model], int64(2))
}

// Guards against versions of the second incarnation that are attributed to the first, if the engine restarts
// after it has accepted an order and the list does not show it yet.
func TestAnswerOfOtherIncarnationIsNotAttributed(t *testing.T) {
	var loaded atomic.Int64
	m := startManager(t, 1, func(options *Options) {
		engines := options.Engines.(*fakeEngines)
		engines.startMillis["e0"] = firstStart
		options.Fleet.Put(incarnationEntry(firstStart))
		options.OnLoadEnd = func() { loaded.Add(1) }
		engines.answer = func(string, Order) (Answer, bool) {
			if engines.startMillis["e0"] == secondStart {
				return 0, false
			}
			engines.restartLocked(secondStart, 2)
			return Accepted, true
		}
	})
	testwait.Until(t, "the first load fails", func() bool { return loaded.Load() >= 1 })
	listed, _ := m.fleet.Get("e0")
	assert.Equal(t, listed.Versions[model], int64(1))
	testwait.Until(t, "the next order fails, since another incarnation reports", func() bool { return loaded.Load() >= 2 })
	assert.Equal(t, m.engines.orderCount(), 1)

	m.fleet.Put(incarnationEntry(secondStart))
	testwait.Until(t, "the second incarnation is listed with version 2", func() bool {
		listed, _ := m.fleet.Get("e0")
		return listed.StartMillis == secondStart && listed.Versions[model] == 2
	})
	assert.Equal(t, m.engines.orderCount(), 1, "the second incarnation already has the version")
}

// An order of an earlier lease holder may still reach the next incarnation.
func TestQuietPeriodAppliesToNextIncarnation(t *testing.T) {
	var quietPeriodOver atomic.Bool
	m := startManager(t, 2, func(options *Options) {
		options.Engines.(*fakeEngines).startMillis["e0"] = secondStart
		options.Fleet.Put(incarnationEntry(firstStart))
		options.Fleet.Put(incarnationEntry(secondStart))
		options.Term = &fakelease.Term{QuietUntilFunc: func(engine string) time.Time {
			if engine == "e0" && !quietPeriodOver.Load() {
				return time.Now().Add(time.Hour)
			}
			return time.Time{}
		}}
	})
	testwait.Until(t, "the other engine has version 2", func() bool { return m.engines.versionOf("e1") == 2 })
	time.Sleep(4 * tickPeriod) // enough for an order
	assert.Equal(t, m.engines.orderCount(), 1)
	quietPeriodOver.Store(true)
	testwait.Until(t, "all engines have version 2", func() bool { return m.engines.allAt(2) })
}

func TestStateOfEndedIncarnationIsDropped(t *testing.T) {
	testFleet := fleet.New()
	testFleet.Put(incarnationEntry(firstStart))
	manager := New(Options{Fleet: testFleet})
	first := incarnationEntry(firstStart).Incarnation()
	manager.counts[first], manager.retryAt[first] = 3, time.Now()
	testFleet.Put(incarnationEntry(secondStart))
	manager.dropEnded()
	assert.Equal(t, len(manager.counts), 0)
	assert.Equal(t, len(manager.retryAt), 0)
}

func TestRetryDelayDoesNotApplyToNextIncarnation(t *testing.T) {
	engines, testFleet := newFakeEngines("e0"), fleet.New()
	engines.busy["e0"] = true
	testFleet.Put(incarnationEntry(firstStart))
	manager := New(Options{
		Engines: engines, Fleet: testFleet, Term: &fakelease.Term{}, Logger: zerolog.Nop(), OnLoadEnd: func() {},
		Running: func() map[incarnation.ID]int { return nil },
	})
	first := incarnationEntry(firstStart)
	manager.load(t.Context(), first, weightplan.Load{Engine: first.Incarnation(), Model: model, Version: 2}, Continue)
	beforeRetry := manager.retryAt[first.Incarnation()].Add(-time.Millisecond)
	assert.Assert(t, !isUsable(manager, beforeRetry))
	testFleet.Put(incarnationEntry(secondStart))
	assert.Assert(t, isUsable(manager, beforeRetry))
}

// isUsable reports whether the only engine may be ordered.
func isUsable(manager *Manager, now time.Time) bool {
	listed := manager.options.Fleet.List(service, now)
	views := manager.engineViews(listed, nil, nil)
	manager.markUsable(views, listed, map[incarnation.ID]string{views[0].ID: model}, now)
	return views[0].Usable
}
