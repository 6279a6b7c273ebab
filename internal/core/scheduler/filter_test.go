package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/engine"
)

const testModel = "valuation"

// servingEngine returns an engine that may run any item of testModel.
func servingEngine(id string, version uint64, slots int) *engineState {
	state := newEngineState(id)
	state.reachable = true
	state.status = engine.Status{
		ID:       id,
		State:    engine.StateServing,
		Models:   []engine.ModelVersion{{Model: testModel, Version: version}},
		MaxBatch: slots,
	}
	return state
}

func TestFilters(t *testing.T) {
	tests := []struct {
		name   string
		filter filter
		mutate func(item *Item, candidate *engineState)
	}{
		{"unreachable", filterServing, func(_ *Item, e *engineState) { e.reachable = false }},
		{"draining", filterServing, func(_ *Item, e *engineState) { e.status.State = engine.StateDraining }},
		{"broken", filterServing, func(_ *Item, e *engineState) { e.status.State = engine.StateBroken }},
		{"leaving", filterNotLeaving, func(_ *Item, e *engineState) { e.leaving = true }},
		{"excluded", filterNotExcluded, func(i *Item, _ *engineState) { i.Excluded = []string{"a"} }},
		{"old version", filterVersion, func(i *Item, _ *engineState) { i.MinVersion = 4 }},
		{"other model", filterVersion, func(i *Item, _ *engineState) { i.Model = "other" }},
		{"loading", filterNotLoading, func(_ *Item, e *engineState) {
			e.status.Loading = &engine.ModelVersion{Model: testModel, Version: 4}
		}},
		{"no slot", filterFreeSlot, func(_ *Item, e *engineState) { e.status.MaxBatch = 0 }},
		{"external load", filterFreeSlot, func(_ *Item, e *engineState) { e.externalLoad = 2 }},
		{"reported full", filterReportedSlot, func(_ *Item, e *engineState) { e.status.Waiting = 2 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			item := &Item{ID: "r", Model: testModel, MinVersion: 3}
			candidate := servingEngine("a", 3, 2)
			assert.Assert(t, test.filter(item, candidate))
			test.mutate(item, candidate)
			assert.Assert(t, !test.filter(item, candidate))
		})
	}
}

func TestUpdateEstimatesExternalLoad(t *testing.T) {
	candidate := servingEngine("a", 1, 8)
	for range peakHistory {
		candidate.update(&EngineUpdate{ID: "a", Status: candidate.status, Reachable: true, NewReport: true})
	}
	candidate.status.Running = 3
	candidate.update(&EngineUpdate{ID: "a", Status: candidate.status, Reachable: true, NewReport: true})
	assert.Equal(t, candidate.free(), 5)
	candidate.start(&entry{item: Item{ID: "r"}})
	candidate.status.Running = 1
	candidate.update(&EngineUpdate{ID: "a", Status: candidate.status, Reachable: true, NewReport: true})
	assert.Equal(t, candidate.free(), 7)
}
