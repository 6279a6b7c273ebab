package duties

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/scaling"
	"github.com/corkpulley/corkpulley/internal/standin/fakelease"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

func startScaler(t *testing.T, platform Platform, term lease.Term, services func() []ScaledService) {
	t.Helper()
	scaler := NewScaler(ScalerOptions{
		Platform: platform, Term: term, Holder: Holder{Node: "n", Fence: 1}, Services: services, Logger: zerolog.Nop(),
	})
	runInBackground(t, scaler.Run)
}

func service(items int, engines map[string]int) ScaledService {
	return ScaledService{
		Name: "s", Bounds: scaling.Bounds{Min: 1, Max: 4, Prices: map[string]float64{"a": 1, "b": 2}},
		Demand: scaling.Demand{Items: items, Slots: 8}, Engines: engines,
	}
}

// awaitEvaluation waits until the scaler has completed its first evaluation, which is when the second begins.
func awaitEvaluation(t *testing.T, evaluations *atomic.Int64) {
	t.Helper()
	testwait.Until(t, "a completed evaluation", func() bool { return evaluations.Load() >= 2 })
}

func (p *fakePlatform) ordered() []EngineOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]EngineOrder(nil), p.orders...)
}

func TestScalerOrdersMissingEnginesOnce(t *testing.T) {
	t.Parallel()
	platform, term := newFakePlatform(), &fakelease.Term{}
	startScaler(t, platform, term, func() []ScaledService { return []ScaledService{service(30, map[string]int{"a": 2, "b": 2})} })
	testwait.Until(t, "an order", func() bool { return len(platform.ordered()) == 1 })
	time.Sleep(3 * scaleInterval)
	assert.DeepEqual(t, platform.ordered(), []EngineOrder{{Service: "s", Zone: "a", Count: 3}})
	assert.DeepEqual(t, term.Permitted(), []string{"scale/s/a"})
}

// plannerTime is longer than the planner takes to order all engines it wants.
const plannerTime = 12 * time.Second

// TestScalerSendsNoOrderWhenEnginesSuffice guards against orders of engines that are already listed.
func TestScalerSendsNoOrderWhenEnginesSuffice(t *testing.T) {
	t.Parallel()
	platform := newFakePlatform()
	startScaler(t, platform, &fakelease.Term{}, func() []ScaledService { return []ScaledService{service(0, map[string]int{"a": 2, "b": 1})} })
	time.Sleep(plannerTime)
	assert.Equal(t, len(platform.ordered()), 0)
}

func TestScalerReplacesReclaimedEngines(t *testing.T) {
	t.Parallel()
	platform := newFakePlatform()
	var reclaimed atomic.Bool
	var evaluations atomic.Int64
	startScaler(t, platform, &fakelease.Term{}, func() []ScaledService {
		evaluations.Add(1)
		if reclaimed.Load() {
			return []ScaledService{service(0, map[string]int{"a": 2})}
		}
		return []ScaledService{service(0, map[string]int{"a": 2, "b": 3})}
	})
	awaitEvaluation(t, &evaluations)
	reclaimed.Store(true)
	testwait.Until(t, "an order", func() bool { return len(platform.ordered()) == 1 })
	assert.DeepEqual(t, platform.ordered()[0], EngineOrder{Service: "s", Zone: "b", Count: 3})
}

// TestScalerRetriesAfterConflict: an order that the platform could not satisfy is repeated after a pause.
func TestScalerRetriesAfterConflict(t *testing.T) {
	t.Parallel()
	platform := newFakePlatform()
	var calls atomic.Int64
	platform.answer = func() (Answer, bool) { return Conflict, calls.Add(1) <= 2 }
	began := time.Now()
	startScaler(t, platform, &fakelease.Term{}, func() []ScaledService { return []ScaledService{service(30, map[string]int{"a": 2, "b": 2})} })
	testwait.Until(t, "an order", func() bool { return len(platform.ordered()) == 1 })
	assert.Assert(t, time.Since(began) >= 2*capacityRetryDelay)
	assert.Equal(t, calls.Load(), int64(3))
}

func TestScalerSendsNoOrderAfterTerm(t *testing.T) {
	t.Parallel()
	platform, term := newFakePlatform(), &fakelease.Term{}
	term.SetEnded(true)
	startScaler(t, platform, term, func() []ScaledService { return []ScaledService{service(30, nil)} })
	time.Sleep(plannerTime)
	assert.Equal(t, len(platform.ordered()), 0)
	assert.Equal(t, len(term.Permitted()), 0)
}

// TestScalerOrdersNoEnginesInEvacuatedZone: replacements for the engines of an evacuated zone are ordered
// elsewhere.
func TestScalerOrdersNoEnginesInEvacuatedZone(t *testing.T) {
	t.Parallel()
	platform := newFakePlatform()
	var zoneEvacuated atomic.Bool
	var evaluations atomic.Int64
	startScaler(t, platform, &fakelease.Term{}, func() []ScaledService {
		evaluations.Add(1)
		if !zoneEvacuated.Load() {
			return []ScaledService{service(0, map[string]int{"a": 2, "b": 2})}
		}
		evacuated := service(0, map[string]int{"a": 2})
		evacuated.Bounds.Evacuated = map[string]bool{"b": true}
		return []ScaledService{evacuated}
	})
	awaitEvaluation(t, &evaluations)
	zoneEvacuated.Store(true)
	testwait.Until(t, "an order", func() bool { return len(platform.ordered()) > 0 })
	time.Sleep(3 * scaleInterval)
	assert.DeepEqual(t, platform.ordered(), []EngineOrder{{Service: "s", Zone: "a", Count: 4}})
}
