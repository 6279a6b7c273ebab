package weightorders

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/standin/fakelease"
)

// planOnce plans the loads of a fleet once and returns the number of lease queries and of started loads.
func planOnce(t *testing.T, engineCount int) (queries, loads int) {
	t.Helper()
	testFleet := fleet.New()
	for i := range engineCount {
		testFleet.Put(fleet.Engine{ID: fmt.Sprint("e", i), Service: service, Slots: 6, Versions: map[string]int64{model: 1}})
	}
	engines := newFakeEngines()
	for i := range engineCount {
		// Busy engines reject orders, so each load ends at once.
		engines.busy[fmt.Sprint("e", i)] = true
	}
	manager := New(Options{
		Engines: engines, Fleet: testFleet, Logger: zerolog.Nop(), OnLoadEnd: func() {},
		Running: func() map[incarnation.ID]int { return nil },
		Demands: func() map[string]batchrun.Demand { return map[string]batchrun.Demand{model: {Unfinished: 200}} },
		Term: &fakelease.Term{QuietUntilFunc: func(string) time.Time {
			queries++
			return time.Time{}
		}},
	})
	for range 200 {
		// Fast loads raise the concurrency limit.
		manager.limiter.RecordLoad(time.Now(), time.Now().Add(time.Second), 1000)
	}
	engines.mu.Lock()
	manager.plan(t.Context(), Target{Service: service, Versions: map[string]int64{model: 2}}, manager.currentWork())
	loads = len(manager.LoadingModels())
	engines.mu.Unlock()
	manager.loadGroup.Wait()
	return queries, loads
}

// Guards against planning cost that grows with the fleet while the number of items stays the same.
func TestPlanCostDependsOnItemsNotFleetSize(t *testing.T) {
	queries, loads := planOnce(t, 2_000)
	assert.Assert(t, queries > 0 && loads > 0)
	twiceQueries, twiceLoads := planOnce(t, 4_000)
	assert.Equal(t, twiceQueries, queries)
	assert.Equal(t, twiceLoads, loads)
}
