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

// fullFleet returns a plan whose 1000 engines have paces, with 12 items of distinct lengths completed and one item less
// than slots running at each engine. A quarter of the engines is fast if mixed.
func fullFleet(mixed bool) (*Plan, []Engine) {
	engines := manyEngines(1000, 8)
	plan := New()
	for i := range 12 {
		plan.ObserveLength(70*(i+1), int64(i+1))
	}
	for i := range engines {
		engines[i].Tokens = 28_850
		pace := 60 * time.Millisecond
		if mixed && i%4 == 0 {
			pace = 28 * time.Millisecond
		}
		plan.ObservePace(engines[i].ID, pace)
		for slot := range 7 {
			plan.recordStart(Item{
				Key: Key{Job: "running", Item: 7*i + slot}, Service: "s", Model: "m0", Length: 1400, Tokens: 1676,
			}, engines[i].ID, time.Unix(1000, 0))
		}
	}
	return plan, engines
}

// benchmarkPass measures a pass over 10,000 waiting items of 200 jobs, of which 1000 start at 1000 engines.
func benchmarkPass(b *testing.B, prepare func() (*Plan, []Engine)) {
	now := time.Unix(1002, 0)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		plan, engines := prepare()
		for i := range 10_000 {
			plan.Add(Item{
				Key: Key{Job: fmt.Sprintf("job-%d", i%200), Item: i}, Service: "s", Model: fmt.Sprintf("m%d", i%200%3),
				MinVersion: 1, Group: fmt.Sprintf("group-%d", i/8), Length: 70 * (i % 97), Tokens: 276 + 70*(i%97),
			})
		}
		b.StartTimer()
		plan.Assign(now, engines)
	}
}

func BenchmarkPassUniform(b *testing.B) {
	benchmarkPass(b, func() (*Plan, []Engine) { return fullFleet(false) })
}

// BenchmarkPassMixed is BenchmarkPassUniform with a quarter of the engines fast, and with classes.
func BenchmarkPassMixed(b *testing.B) {
	benchmarkPass(b, func() (*Plan, []Engine) {
		plan, engines := fullFleet(true)
		for i := range 6 {
			plan.Classify(time.Unix(1000, 0).Add(time.Duration(i) * classifyInterval))
		}
		return plan, engines
	})
}

// BenchmarkClassify measures a classification of 1000 engines.
func BenchmarkClassify(b *testing.B) {
	plan, _ := fullFleet(true)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(classifyInterval)
		plan.Classify(now)
	}
}

// BenchmarkMovesToFast measures the choice of moves among 7000 running items.
func BenchmarkMovesToFast(b *testing.B) {
	plan, engines := fullFleet(true)
	for i := range 6 {
		plan.Classify(time.Unix(1000, 0).Add(time.Duration(i) * classifyInterval))
	}
	candidates := make([]MoveCandidate, 7000)
	for i := range candidates {
		candidates[i] = MoveCandidate{Key: Key{Job: "running", Item: i}, Model: "m0", MinVersion: 1, Started: time.Unix(1000, 0)}
	}
	b.ReportAllocs()
	for b.Loop() {
		plan.MovesToFast(time.Unix(1002, 0), candidates, engines)
	}
}
