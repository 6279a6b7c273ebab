package batchplan

import (
	"fmt"
	"testing"
	"time"
)

// manyEngines returns engines that each hold all models at version 1.
func manyEngines(count, slots int) []Engine {
	engines := make([]Engine, count)
	for i := range engines {
		engines[i] = Engine{
			ID: engineID(fmt.Sprintf("engine-%d", i)), Service: "s", Slots: slots, Usable: true,
			Versions: map[string]int64{"m0": 1, "m1": 1, "m2": 1},
		}
	}
	return engines
}

func addItems(plan *Plan, count int, minVersion int64) {
	for i := range count {
		plan.Add(Item{
			Key: Key{Job: fmt.Sprintf("job-%d", i%3), Item: i}, Service: "s", Model: fmt.Sprintf("m%d", i%3),
			MinVersion: minVersion, Group: fmt.Sprintf("group-%d", i/8), Length: i % 97, Tokens: 1000,
		})
	}
}

// BenchmarkAssignBlocked measures a pass in which all engines are too old for the waiting items.
func BenchmarkAssignBlocked(b *testing.B) {
	engines := manyEngines(3000, 8)
	plan := New()
	addItems(plan, 4096, 2)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		plan.Assign(now, engines)
	}
}

// BenchmarkAssignStarts measures a pass that starts 64 items at 3000 engines.
func BenchmarkAssignStarts(b *testing.B) {
	engines := manyEngines(3000, 8)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		plan := New()
		addItems(plan, 64, 1)
		plan.Assign(now, engines)
	}
}
