package weightorders

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/standin/fakelease"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	service      = "s"
	model        = "m"
	fakeLoadTime = 150 * time.Millisecond
)

// fakeEngines is an in-memory Engines whose engines execute orders within fakeLoadTime.
type fakeEngines struct {
	mu       sync.Mutex
	versions map[string]int64
	counts   map[string]int64
	busy     map[string]bool
	// startMillis holds the start time by engine; zero if the engine reports none.
	startMillis map[string]int64
	orders      []Order
	// loading is the number of concurrent loads, maxLoading its maximum.
	loading, maxLoading int
	// answer, if set, overrides the engine's answer to an order.
	answer func(engine string, order Order) (Answer, bool)
}

func newFakeEngines(ids ...string) *fakeEngines {
	f := &fakeEngines{
		versions: map[string]int64{}, counts: map[string]int64{}, busy: map[string]bool{}, startMillis: map[string]int64{},
	}
	for _, id := range ids {
		f.versions[id] = 1
	}
	return f
}

func (f *fakeEngines) Report(_ context.Context, engine fleet.Engine, _ func() bool) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Report{
		Incarnation: incarnation.ID{Engine: engine.ID, StartMillis: f.startMillis[engine.ID]},
		Versions:    map[string]int64{model: f.versions[engine.ID]}, Busy: f.busy[engine.ID], Count: f.counts[engine.ID],
	}, nil
}

func (f *fakeEngines) Order(_ context.Context, engine fleet.Engine, order Order) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, order)
	if f.answer != nil {
		if answer, decided := f.answer(engine.ID, order); decided {
			return answer, nil
		}
	}
	switch {
	case f.busy[engine.ID] || order.Count != f.counts[engine.ID]:
		return Conflict, nil
	case f.versions[engine.ID] == order.Version:
		return AlreadyLoaded, nil
	}
	f.counts[engine.ID]++
	f.busy[engine.ID] = true
	f.loading++
	f.maxLoading = max(f.maxLoading, f.loading)
	time.AfterFunc(fakeLoadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.versions[engine.ID], f.busy[engine.ID] = order.Version, false
		f.loading--
	})
	return Accepted, nil
}

func (f *fakeEngines) allAt(version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, each := range f.versions {
		if each != version {
			return false
		}
	}
	return true
}

func (f *fakeEngines) versionOf(engine string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[engine]
}

func (f *fakeEngines) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// testManager is a running manager with its dependencies.
type testManager struct {
	engines *fakeEngines
	fleet   *fleet.Fleet
	version atomic.Int64
	term    *fakelease.Term
	manager *Manager
}

func startManager(t *testing.T, engineCount int, change func(*Options)) *testManager {
	t.Helper()
	m := &testManager{fleet: fleet.New(), term: &fakelease.Term{}}
	m.version.Store(2)
	var ids []string
	for i := range engineCount {
		id := fmt.Sprint("e", i)
		ids = append(ids, id)
		m.fleet.Put(fleet.Engine{ID: id, Service: service, Slots: 4, Versions: map[string]int64{model: 1}})
	}
	m.engines = newFakeEngines(ids...)
	options := Options{
		Engines: m.engines, Fleet: m.fleet, Term: m.term,
		Targets: func() []Target {
			return []Target{{Service: service, Versions: map[string]int64{model: m.version.Load()}}}
		},
		Running:   func() map[incarnation.ID]int { return nil },
		Demands:   func() map[string]batchrun.Demand { return nil },
		OnLoadEnd: func() {}, Holder: "h", Fence: 7, Logger: zerolog.Nop(),
	}
	if change != nil {
		change(&options)
	}
	m.manager = New(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.manager.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m
}

func TestAllEnginesLoadTargetVersion(t *testing.T) {
	m := startManager(t, 5, nil)
	testwait.Until(t, "all engines have version 2", func() bool { return m.engines.allAt(2) })
	m.version.Store(3)
	testwait.Until(t, "all engines have version 3", func() bool { return m.engines.allAt(3) })
	m.engines.mu.Lock()
	defer m.engines.mu.Unlock()
	assert.Equal(t, len(m.engines.orders), 10, "an engine was ordered twice to load a version")
	for _, order := range m.engines.orders {
		assert.Equal(t, order.Fence, int64(7))
		assert.Equal(t, order.Mode, Continue)
	}
}

// Guards against a concurrency limit that does not rise although concurrent loads do not slow each other down.
func TestConcurrentLoadsIncreaseWhileLoadTimeIsStable(t *testing.T) {
	m := startManager(t, 48, func(options *Options) {
		options.Demands = func() map[string]batchrun.Demand { return map[string]batchrun.Demand{model: {Unfinished: 48 * 4}} }
	})
	testwait.Until(t, "all engines have version 2", func() bool { return m.engines.allAt(2) })
	m.engines.mu.Lock()
	defer m.engines.mu.Unlock()
	assert.Assert(t, m.engines.maxLoading > 4, "%d concurrent loads", m.engines.maxLoading)
}

// Guards against engines that load nothing because later planning passes see only the last item of each job, and against a
// deadlock with the runner, which asks for the loads in progress with its own lock held.
func TestItemsBetweenPlanningPassesCount(t *testing.T) {
	var manager atomic.Pointer[Manager]
	m := startManager(t, 4, func(options *Options) {
		peak := 16
		options.Demands = func() map[string]batchrun.Demand {
			if started := manager.Load(); started != nil {
				started.LoadingModels()
			}
			demand := batchrun.Demand{Unfinished: peak}
			peak = 1
			return map[string]batchrun.Demand{model: demand}
		}
	})
	manager.Store(m.manager)
	testwait.Until(t, "all engines have version 2", func() bool { return m.engines.allAt(2) })
}

// The quiet period of one engine must not delay orders to others.
func TestEngineIsNotOrderedDuringQuietPeriod(t *testing.T) {
	var quietPeriodOver atomic.Bool
	m := startManager(t, 2, func(options *Options) {
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

// Guards against an order without a permit of its own.
func TestOrderRequiresPermit(t *testing.T) {
	var logDown atomic.Bool
	var permits atomic.Int64
	logDown.Store(true)
	m := startManager(t, 3, func(options *Options) {
		options.Term = &fakelease.Term{PermitError: func(string) error {
			if logDown.Load() {
				return errors.New("the log is unavailable")
			}
			permits.Add(1)
			return nil
		}}
	})
	time.Sleep(4 * tickPeriod)
	assert.Equal(t, m.engines.orderCount(), 0)
	logDown.Store(false)
	testwait.Until(t, "all engines have version 2", func() bool { return m.engines.allAt(2) })
	assert.Assert(t, int(permits.Load()) >= m.engines.orderCount())
}

func TestOnlyLeaseHolderOrders(t *testing.T) {
	var loaded atomic.Int64
	m := startManager(t, 2, func(options *Options) { options.OnLoadEnd = func() { loaded.Add(1) } })
	testwait.Until(t, "both loads have ended", func() bool { return loaded.Load() == 2 })
	m.term.SetEnded(true)
	before := m.engines.orderCount()
	m.version.Store(3)
	time.Sleep(4 * tickPeriod) // enough for an order
	assert.Equal(t, m.engines.orderCount(), before)
	m.term.SetEnded(false)
	testwait.Until(t, "all engines have version 3", func() bool { return m.engines.allAt(3) })
}

// A permit may expire before the order is sent, because its record took too long to write or the lease was lost.
func TestOrderIsNotSentAfterPermitExpired(t *testing.T) {
	term := &fakelease.Term{}
	term.SetPermitsClosed(true)
	m := startManager(t, 2, func(options *Options) { options.Term = term })
	testwait.Until(t, "orders were permitted", func() bool { return len(term.Permitted()) >= 2 })
	time.Sleep(4 * tickPeriod) // enough for an order
	assert.Equal(t, m.engines.orderCount(), 0)
	term.SetPermitsClosed(false)
	testwait.Until(t, "all engines have version 2", func() bool { return m.engines.allAt(2) })
	m.engines.mu.Lock()
	defer m.engines.mu.Unlock()
	for _, order := range m.engines.orders {
		assert.Assert(t, order.MaySend != nil && order.MaySend(),
			"the client cannot check whether the order may still be sent")
	}
}

// An order of another lease holder may have changed the engine's order count.
func TestOrderWithOutdatedCountIsRetried(t *testing.T) {
	m := startManager(t, 1, nil)
	testwait.Until(t, "the engine has version 2", func() bool { return m.engines.allAt(2) })
	m.engines.mu.Lock()
	m.engines.counts["e0"] += 3
	m.engines.mu.Unlock()
	m.version.Store(3)
	testwait.Until(t, "the engine has version 3", func() bool { return m.engines.allAt(3) })
}

// Guards against a repeated order to an engine that loads although its response was lost.
func TestUnansweredOrderIsNotTreatedAsRefused(t *testing.T) {
	m := startManager(t, 1, func(options *Options) {
		engines := options.Engines.(*fakeEngines)
		var lost atomic.Bool
		engines.answer = func(engine string, order Order) (Answer, bool) {
			if lost.Swap(true) {
				return 0, false
			}
			engines.counts[engine]++
			engines.versions[engine] = order.Version
			return Unanswered, true
		}
	})
	testwait.Until(t, "the engine has version 2", func() bool { return m.engines.allAt(2) })
	m.version.Store(3)
	testwait.Until(t, "the engine has version 3", func() bool { return m.engines.allAt(3) })
	m.engines.mu.Lock()
	defer m.engines.mu.Unlock()
	assert.Equal(t, len(m.engines.orders), 2)
}
