package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// abandonedItem returns a history in which an item is at no engine from second 2 on, until its job is canceled at second 20,
// while an engine with 8 slots is idle.
func abandonedItem() *History {
	first := standin.Run{ID: "item-a", At: at(1), EndedAt: at(2)}
	return &History{
		Jobs: []*JobRecord{{
			Job:    standin.Job{ID: "job", Items: []standin.JobItem{{ID: "item-a"}, {ID: "item-b"}}},
			SentAt: at(0), Accepted: true, CancelSentAt: at(20),
			Positions: []standin.ItemResult{{ID: "item-b", State: standin.StateCompleted}},
		}},
		Engines: []EngineRecord{{
			ID: "engine", Service: standin.ServiceDrafts, StartedAt: at(-60), Slots: 8,
			Runs: []standin.Run{first, {ID: "item-b", At: at(1), EndedAt: at(2), Whole: true}},
		}},
	}
}

// run adds a run to the engine.
func (h *History) run(id string, from, to float64, whole bool) {
	h.Engines[0].Runs = append(h.Engines[0].Runs, standin.Run{ID: id, At: at(from), EndedAt: at(to), Whole: whole})
}

func TestCheckItemWaitsFindsAbandonedItems(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"never begun again": func(*History) {},
		"given up": func(h *History) {
			h.Jobs[0].Positions = append(h.Jobs[0].Positions, standin.ItemResult{ID: "item-a", State: "expired"})
		},
		"begun late":                      func(h *History) { h.run("item-a", 9, 10, true) },
		"never begun, another has":        func(h *History) { h.Engines[0].Runs = h.Engines[0].Runs[1:] },
		"after a fault":                   func(h *History) { h.Disturbances = []*Disturbance{{Node: 1, From: at(3), To: at(5)}} },
		"after a crash of an engine":      func(h *History) { h.Engines[0].StartedAt = at(5) },
		"beside a few others that run":    func(h *History) { h.run("x", 2, 20, false); h.run("y", 2, 20, false) },
		"after all slots were taken":      func(h *History) { fill(h, 2, 9) },
		"after an engine's wrong answers": func(h *History) { h.AnswerFaults = []TimeSpan{{From: at(2), To: at(4)}} },
	} {
		h := abandonedItem()
		change(h)
		assert.Equal(t, len(checkItemWaits(h, bounds)), 1, name)
	}
}

// fill makes requests run in half of the engine's slots.
func fill(h *History, from, to float64) {
	for i := range 4 {
		h.run(fmt.Sprint("other-", i), from, to, false)
	}
}

// Guards against items that count as abandoned although no engine could be expected to take them.
func TestCheckItemWaitsAllowsOtherWaits(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"job not accepted": func(h *History) { h.Jobs[0].Accepted = false },
		"job ends soon":    func(h *History) { h.Jobs[0].CancelSentAt = at(6.9) },
		"begun again soon": func(h *History) { h.run("item-a", 6.9, 8, true) },
		"listed": func(h *History) {
			h.Jobs[0].Positions = append(h.Jobs[0].Positions, standin.ItemResult{ID: "item-a", State: standin.StateCompleted})
		},
		"failed by its engine": func(h *History) { h.Engines[0].Runs[0].Fault = standin.RespondsError },
		"waits for its score":  func(h *History) { h.Engines[0].Runs[0].Whole = true },
		"no item has begun":    func(h *History) { h.Engines[0].Runs = nil },
		"a fault goes on":      func(h *History) { h.Disturbances = []*Disturbance{{Node: 1, From: at(1)}} },
		"faults follow closely": func(h *History) {
			h.Disturbances = []*Disturbance{{From: at(5), To: at(6)}, {From: at(14), To: at(15)}}
		},
		"an engine crashed":     func(h *History) { h.Engines[0].StartedAt = at(12) },
		"slots are taken":       func(h *History) { fill(h, 2, 16) },
		"run of an earlier job": func(h *History) { h.Jobs[0].SentAt = at(18) },
	} {
		h := abandonedItem()
		change(h)
		assert.Equal(t, len(checkItemWaits(h, bounds)), 0, name)
	}
}

// Guards against storms that leave no calm period, or have no stop of all processes at once.
func TestDrawStormsLeavesCalmPeriods(t *testing.T) {
	const seeds = 200
	allKilled := 0
	for seed := range uint64(seeds) {
		crashes := 0
		for _, fault := range DrawStorms(seed, 2*stormPeriod) {
			into := (fault.At - faultFreeStart) % stormPeriod
			assert.Assert(t, into < maxStormLength, "seed %d: %s", seed, fault)
			switch fault.Kind {
			case EngineCrashed:
				crashes++
			case AllKilled:
				allKilled++
			}
		}
		assert.Assert(t, crashes >= 10, "seed %d: %d crashes", seed, crashes)
	}
	assert.Assert(t, allKilled > seeds/5, "%d", allKilled)
	assert.Assert(t, stormPeriod-maxStormLength-maxOverlapFault > bounds.Settle+bounds.ItemWait+time.Second)
}
