package batchplan

import (
	"fmt"
	"testing"
	"time"
)

const (
	loadedEngines    = 1000
	loadedItems      = 10_000
	loadedSubmitters = 200
)

// loadedPlan returns a plan with one job for each of loadedSubmitters models and loadedItems waiting items in total.
func loadedPlan(plan *Plan) *Plan {
	perJob := loadedItems / loadedSubmitters
	for submitter := range loadedSubmitters {
		job := Job{ID: fmt.Sprintf("job-%d", submitter), Model: fmt.Sprintf("m%d", submitter), Step: 1}
		for i := range perJob {
			job.Lengths = append(job.Lengths, (submitter*31+i*17)%971)
			job.Due.Groups = append(job.Due.Groups, fmt.Sprintf("group-%d-%d", submitter, i/8))
		}
		job.Due.Submitter, job.Due.Accepted = job.Model, now.Add(-time.Duration(submitter)*10*time.Millisecond)
		job.Due.DueAfter, job.Due.Wanted, job.Due.Done = 7500*time.Millisecond, perJob/8, make([]bool, perJob)
		plan.AddJob(job)
		for i := range perJob {
			plan.Add(Item{
				Key: Key{Job: job.ID, Item: i}, Service: "s", Model: job.Model, MinVersion: 1,
				Group: fmt.Sprintf("group-%d-%d", submitter, i/8), Length: job.Lengths[i], Tokens: 1000,
			})
		}
	}
	return plan
}

// loadedEngineList returns engines that hold all models and have slots for a tenth of the items.
func loadedEngineList() []Engine {
	versions := make(map[string]int64)
	for submitter := range loadedSubmitters {
		versions[fmt.Sprintf("m%d", submitter)] = 1
	}
	engines := make([]Engine, loadedEngines)
	for i := range engines {
		engines[i] = Engine{
			ID: engineID(fmt.Sprintf("engine-%d", i)), Service: "s", Slots: 1, Usable: true, Versions: versions,
		}
	}
	return engines
}

// benchmarkLoadedPass measures passes that start one item for each engine and leave the others waiting.
func benchmarkLoadedPass(b *testing.B, newPlan func() *Plan) {
	engines := loadedEngineList()
	plan := loadedPlan(newPlan())
	at := now
	b.ReportAllocs()
	for b.Loop() {
		at = at.Add(20 * time.Millisecond)
		assigned := plan.Assign(at, engines)
		b.StopTimer()
		if len(assigned) != loadedEngines {
			b.Fatalf("%d items started", len(assigned))
		}
		for _, each := range assigned {
			plan.Ended(each.Item.Key)
			plan.Add(each.Item)
		}
		b.StartTimer()
	}
}

func BenchmarkLoadedPassArrival(b *testing.B) { benchmarkLoadedPass(b, New) }

func BenchmarkLoadedPassDue(b *testing.B) {
	benchmarkLoadedPass(b, func() *Plan {
		plan := New()
		plan.OrderByDue()
		return plan
	})
}

// BenchmarkRefreshOrder measures the computation of all ranks.
func BenchmarkRefreshOrder(b *testing.B) {
	plan := New()
	plan.OrderByDue()
	loadedPlan(plan)
	at := now
	b.ReportAllocs()
	for b.Loop() {
		at = at.Add(time.Second)
		plan.RefreshOrder(at)
	}
}
