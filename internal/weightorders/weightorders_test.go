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
	"github.com/corkpulley/corkpulley/internal/standin/leaseterm"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	service  = "s"
	model    = "m"
	loadTime = 150 * time.Millisecond
)

// fakeEngines hold versions and execute orders.
type fakeEngines struct {
	mu       sync.Mutex
	versions map[string]int64
	counts   map[string]int64
	busy     map[string]bool
	// born is each engine's start time; zero if it does not report one.
	born   map[string]int64
	orders []Order
	// most is the maximum number of concurrent loads.
	loading, most int
	// answer, if set, overrides the engine's answer to an order.
	answer func(engine string, order Order) (Answer, bool)
}

func newFakeEngines(ids ...string) *fakeEngines {
	f := &fakeEngines{
		versions: map[string]int64{}, counts: map[string]int64{}, busy: map[string]bool{}, born: map[string]int64{},
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
		Of:       incarnation.ID{Engine: engine.ID, Born: f.born[engine.ID]},
		Versions: map[string]int64{model: f.versions[engine.ID]}, Busy: f.busy[engine.ID], Count: f.counts[engine.ID],
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
		return Held, nil
	}
	f.counts[engine.ID]++
	f.busy[engine.ID] = true
	f.loading++
	f.most = max(f.most, f.loading)
	time.AfterFunc(loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.versions[engine.ID], f.busy[engine.ID] = order.Version, false
		f.loading--
	})
	return Taken, nil
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

// world is a manager with its dependencies.
type world struct {
	engines *fakeEngines
	fleet   *fleet.Fleet
	version atomic.Int64
	term    *leaseterm.Term
}

func manage(t *testing.T, engineCount int, change func(*Options)) *world {
	t.Helper()
	w := &world{fleet: fleet.New(), term: &leaseterm.Term{}}
	w.version.Store(2)
	var ids []string
	for i := range engineCount {
		id := fmt.Sprint("e", i)
		ids = append(ids, id)
		w.fleet.Put(fleet.Engine{ID: id, Service: service, Slots: 4, Versions: map[string]int64{model: 1}})
	}
	w.engines = newFakeEngines(ids...)
	options := Options{
		Engines: w.engines, Fleet: w.fleet, Term: w.term,
		Targets: func() []Target {
			return []Target{{Service: service, Versions: map[string]int64{model: w.version.Load()}}}
		},
		Running: func() map[incarnation.ID]int { return nil },
		Demands: func() map[string]batchrun.Demand { return nil },
		Loaded:  func() {}, Holder: "h", Fence: 7, Logger: zerolog.Nop(),
	}
	if change != nil {
		change(&options)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		New(options).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

func TestAllEnginesFollowTheNamedVersion(t *testing.T) {
	w := manage(t, 5, nil)
	testwait.Until(t, "version 2 everywhere", func() bool { return w.engines.allAt(2) })
	w.version.Store(3)
	testwait.Until(t, "version 3 everywhere", func() bool { return w.engines.allAt(3) })
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	assert.Equal(t, len(w.engines.orders), 10, "an engine was ordered twice for one version")
	for _, order := range w.engines.orders {
		assert.Equal(t, order.Fence, int64(7))
		assert.Equal(t, order.Mode, Continue)
	}
}

// TestMoreLoadTogetherWhereTheSourceFeedsThem: concurrent loads do not slow each other down here.
func TestMoreLoadTogetherWhereTheSourceFeedsThem(t *testing.T) {
	w := manage(t, 48, func(options *Options) {
		options.Demands = func() map[string]batchrun.Demand { return map[string]batchrun.Demand{model: {Items: 48 * 4}} }
	})
	testwait.Until(t, "version 2 everywhere", func() bool { return w.engines.allAt(2) })
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	assert.Assert(t, w.engines.most > 4, "%d loads together", w.engines.most)
}

// TestNoEngineIsOrderedBeforeItsQuietTimeIsOver: another engine is ordered at once.
func TestNoEngineIsOrderedBeforeItsQuietTimeIsOver(t *testing.T) {
	var over atomic.Bool
	w := manage(t, 2, func(options *Options) {
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

// TestNoOrderWithoutItsAnnouncement: without a permit no engine is ordered, and each order has a
// permit of its own.
func TestNoOrderWithoutItsAnnouncement(t *testing.T) {
	var away atomic.Bool
	var announced atomic.Int64
	away.Store(true)
	w := manage(t, 3, func(options *Options) {
		options.Term = &leaseterm.Term{Refuses: func(string) error {
			if away.Load() {
				return errors.New("the log is away")
			}
			announced.Add(1)
			return nil
		}}
	})
	time.Sleep(4 * tickPeriod)
	assert.Equal(t, w.engines.orderCount(), 0)
	away.Store(false)
	testwait.Until(t, "version 2 everywhere", func() bool { return w.engines.allAt(2) })
	assert.Assert(t, int(announced.Load()) >= w.engines.orderCount())
}

func TestOnlyTheHolderOfTheLeaseOrders(t *testing.T) {
	var loaded atomic.Int64
	w := manage(t, 2, func(options *Options) { options.Loaded = func() { loaded.Add(1) } })
	testwait.Until(t, "both loads are known to be done", func() bool { return loaded.Load() == 2 })
	w.term.SetOver(true)
	before := w.engines.orderCount()
	w.version.Store(3)
	time.Sleep(4 * tickPeriod) // in which a holder would have ordered
	assert.Equal(t, w.engines.orderCount(), before)
	w.term.SetOver(false)
	testwait.Until(t, "version 3 everywhere", func() bool { return w.engines.allAt(3) })
}

// TestNoOrderLeavesOnceItsPermitHasEnded: its record took too long to write, or the lease was lost.
func TestNoOrderLeavesOnceItsPermitHasEnded(t *testing.T) {
	term := &leaseterm.Term{}
	term.ClosePermits(true)
	w := manage(t, 2, func(options *Options) { options.Term = term })
	testwait.Until(t, "orders have been permitted", func() bool { return len(term.Permitted()) >= 2 })
	time.Sleep(4 * tickPeriod) // in which an order would have left
	assert.Equal(t, w.engines.orderCount(), 0)
	term.ClosePermits(false)
	testwait.Until(t, "version 2 everywhere", func() bool { return w.engines.allAt(2) })
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for _, order := range w.engines.orders {
		assert.Assert(t, order.MayLeave != nil && order.MayLeave(), "the adapter cannot ask whether the order may leave")
	}
}

// TestAnOrderThatWasOvertakenIsGivenAnew: another holder's order has changed the count of
// orders.
func TestAnOrderThatWasOvertakenIsGivenAnew(t *testing.T) {
	w := manage(t, 1, nil)
	testwait.Until(t, "version 2", func() bool { return w.engines.allAt(2) })
	w.engines.mu.Lock()
	w.engines.counts["e0"] += 3
	w.engines.mu.Unlock()
	w.version.Store(3)
	testwait.Until(t, "version 3", func() bool { return w.engines.allAt(3) })
}

// TestLostAnswersAreNotTakenForRefusals: the engine loads although the order got no
// answer.
func TestLostAnswersAreNotTakenForRefusals(t *testing.T) {
	w := manage(t, 1, func(options *Options) {
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
	testwait.Until(t, "version 2", func() bool { return w.engines.allAt(2) })
	w.version.Store(3)
	testwait.Until(t, "version 3", func() bool { return w.engines.allAt(3) })
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	assert.Equal(t, len(w.engines.orders), 2)
}
