package batchrun

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// fakeColdStarts admits a set number of items, and reports available starts unless it is full.
type fakeColdStarts struct {
	mu        sync.Mutex
	full      bool
	requested []incarnation.ID
	remaining int
	admitted  int
	denied    int
	unpaced   int
}

func (s *fakeColdStarts) Prefetch(to incarnation.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requested = append(s.requested, to)
}

func (s *fakeColdStarts) Available(incarnation.ID, fleet.Coldness) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return 0
	}
	return 8
}

func (s *fakeColdStarts) Admit(
	_ coldpermits.Sender, to incarnation.ID, _ fleet.Coldness,
) (coldpermits.Permit, time.Duration, coldpermits.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remaining == 0 {
		s.denied++
		return coldpermits.Permit{}, time.Second, coldpermits.RateLimited
	}
	s.remaining--
	s.admitted++
	return coldpermits.Permit{Engine: to}, 0, coldpermits.Granted
}

func (s *fakeColdStarts) RecordUnpaced(incarnation.ID, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unpaced++
}

func (s *fakeColdStarts) admit(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remaining += count
}

func (s *fakeColdStarts) counts() (admitted, denied, unpaced int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitted, s.denied, s.unpaced
}

// newColdEnv returns an environment with one engine, whose service has a slow start.
func newColdEnv(t *testing.T, coldUntil time.Time) *testEnv {
	env := newTestEnv(t)
	env.coldStarts = &fakeColdStarts{}
	env.fleet.SetSlowStarts(map[string]routes.SlowStart{"s": {Period: time.Hour, RatePerSecond: 5}})
	engine := engineOf("e")
	engine.ColdUntil = coldUntil
	env.engines.version["e"] = 1
	env.fleet.Put(engine)
	return env
}

// addSingleEventItems returns item IDs and gives each one event.
func addSingleEventItems(env *testEnv, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("item", i))
		env.engines.events[names[i]] = 1
	}
	return names
}

// The plan's count of available starts may be outdated, since live requests use them as well.
func TestItemsWaitUntilAdmitted(t *testing.T) {
	env := newColdEnv(t, time.Now().Add(time.Hour))
	env.submit("j", 1, addSingleEventItems(env, 6)...)
	env.coldStarts.admit(2)
	env.startRunner()
	env.awaitResults(2)
	testwait.Until(t, "others are denied", func() bool {
		_, denied, _ := env.coldStarts.counts()
		return denied > 0
	})
	assert.Equal(t, len(env.jobs.results()), 2)
	env.coldStarts.admit(4)
	env.awaitResults(6)
	admitted, _, unpaced := env.coldStarts.counts()
	assert.Equal(t, admitted, 6)
	assert.Equal(t, unpaced, 0)
}

// A warm engine that refuses an item may have become cold, so its starts are limited until it runs one.
func TestWarmEngineIsPacedAfterRefusal(t *testing.T) {
	env := newColdEnv(t, time.Time{})
	refused := 0
	env.engines.refuse = func(string, Call) *CallError {
		refused++
		if refused <= 3 {
			return &CallError{Kind: NotExecuted, Detail: "full"}
		}
		return nil
	}
	env.submit("j", 1, addSingleEventItems(env, 1)...)
	env.coldStarts.admit(2)
	env.startRunner()
	testwait.Until(t, "three are refused and the next is denied", func() bool {
		admitted, denied, unpaced := env.coldStarts.counts()
		return admitted == 2 && unpaced == 1 && denied > 0
	})
	env.coldStarts.admit(1)
	env.awaitResults(1)
	_, cold := env.fleet.Cold(incarnation.ID{Engine: "e"}, time.Now())
	assert.Assert(t, !cold)
}

// An engine that executes an item is not cold, even if its output is rejected.
func TestEngineIsNotPacedAfterRejectedOutput(t *testing.T) {
	env := newColdEnv(t, time.Time{})
	env.engines.version["e"] = 0
	env.submit("j", 1, addSingleEventItems(env, 1)...)
	env.startRunner()
	testwait.Until(t, "the item is retried", func() bool {
		_, denied, unpaced := env.coldStarts.counts()
		return denied > 0 || unpaced > 1
	})
	_, denied, _ := env.coldStarts.counts()
	assert.Equal(t, denied, 0)
}

// An engine that loses a connection may have restarted and be cold.
func TestEngineIsPacedAfterLostConnection(t *testing.T) {
	env := newColdEnv(t, time.Time{})
	env.engines.refuse = func(string, Call) *CallError {
		return &CallError{Kind: InvalidResponse, ConnectionLost: true, Detail: "reset"}
	}
	env.submit("j", 1, addSingleEventItems(env, 1)...)
	env.startRunner()
	testwait.Until(t, "the next try is denied", func() bool {
		_, denied, unpaced := env.coldStarts.counts()
		return unpaced == 1 && denied > 0
	})
}

// An expired permit is no evidence against the engine, so the item is retried there.
func TestItemIsRetriedAfterExpiredPermit(t *testing.T) {
	env := newColdEnv(t, time.Now().Add(time.Hour))
	sent := 0
	env.engines.refuse = func(_ string, call Call) *CallError {
		sent++
		if call.MaySend == nil {
			return &CallError{Kind: NotExecutable, Detail: "no permit"}
		}
		if sent == 1 {
			return &CallError{Kind: NotPermitted, Detail: "the permit ended"}
		}
		return nil
	}
	env.submit("j", 1, addSingleEventItems(env, 1)...)
	env.coldStarts.admit(2)
	env.startRunner()
	env.awaitResults(1)
	assert.Equal(t, len(env.jobs.results()), 1)
	assert.Assert(t, !env.fleet.Suspected(incarnation.ID{Engine: "e"}, time.Now()))
	admitted, _, _ := env.coldStarts.counts()
	assert.Equal(t, admitted, 2)
}

// Permits must not be requested for an engine that drains.
func TestPermitsAreRequestedOnlyForUsableColdEngines(t *testing.T) {
	env := newColdEnv(t, time.Now().Add(time.Hour))
	env.coldStarts.full = true
	draining := engineOf("leaving")
	draining.ColdUntil, draining.Draining = time.Now().Add(time.Hour), true
	env.fleet.Put(draining)
	env.submit("j", 1, addSingleEventItems(env, 1)...)
	env.startRunner()
	testwait.Until(t, "permits are requested", func() bool {
		env.coldStarts.mu.Lock()
		defer env.coldStarts.mu.Unlock()
		return len(env.coldStarts.requested) > 2
	})
	env.coldStarts.mu.Lock()
	defer env.coldStarts.mu.Unlock()
	for _, requested := range env.coldStarts.requested {
		assert.Equal(t, requested.Engine, "e")
	}
}
