package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/engine"
)

// cellModel drives a cell and tracks the expected state of every item.
type cellModel struct {
	cell    *Cell
	now     time.Time
	waiting map[string]Item
	running map[string]Assignment
	engines map[string]EngineUpdate
	next    int
}

const modelCap = 3

func (m *cellModel) enqueue(t *rapid.T) {
	m.next++
	item := Item{
		ID:             fmt.Sprint("r", m.next),
		Service:        rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "service"),
		Model:          testModel,
		MinVersion:     rapid.Uint64Range(0, 3).Draw(t, "minimum version"),
		Priority:       rapid.IntRange(0, 2).Draw(t, "priority"),
		Share:          rapid.IntRange(1, 5).Draw(t, "share"),
		Cap:            modelCap,
		Live:           rapid.Bool().Draw(t, "live"),
		ExpectedTokens: rapid.IntRange(0, 50).Draw(t, "expected"),
		Deadline:       m.now.Add(rapid.SampledFrom([]time.Duration{0, 3, 60}).Draw(t, "timeout") * time.Second),
		Excluded:       rapid.SampledFrom([][]string{nil, {"a"}}).Draw(t, "excluded"),
	}
	if m.cell.Enqueue(m.now, item) == nil {
		m.waiting[item.ID] = item
	}
}

func (m *cellModel) dispatch(t *rapid.T) {
	for _, assignment := range m.cell.Dispatch(m.now) {
		item, waiting := m.waiting[assignment.Item.ID]
		assert.Assert(t, waiting, "%s dispatched twice or after its end", assignment.Item.ID)
		delete(m.waiting, item.ID)
		m.running[item.ID] = assignment
		m.checkEngine(t, item, assignment)
	}
	perService := make(map[string]int)
	perEngine := make(map[string]int)
	for _, assignment := range m.running {
		perService[assignment.Item.Service]++
		perEngine[assignment.EngineID]++
	}
	for service, count := range perService {
		assert.Assert(t, count <= modelCap, "service %s over its cap", service)
	}
	for id, count := range perEngine {
		assert.Equal(t, m.cell.RunningOn(id), count)
	}
}

func (m *cellModel) checkEngine(t *rapid.T, item Item, assignment Assignment) {
	update := m.engines[assignment.EngineID]
	assert.Assert(t, update.Reachable && !update.Leaving)
	assert.Equal(t, update.Status.State, engine.StateServing)
	assert.Assert(t, update.Status.Loading == nil)
	assert.Assert(t, update.Status.Models[0].Version >= item.MinVersion)
	assert.Assert(t, m.cell.RunningOn(assignment.EngineID) <= update.Status.MaxBatch)
	assert.Assert(t, len(item.Excluded) == 0 || assignment.EngineID != "a")
}

func (m *cellModel) updateEngine(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "engine")
	status := servingEngine(id, rapid.Uint64Range(1, 3).Draw(t, "version"), 2).status
	status.State = rapid.SampledFrom([]engine.State{
		engine.StateServing, engine.StateServing, engine.StateDraining, engine.StateBroken,
	}).Draw(t, "state")
	if rapid.Bool().Draw(t, "loading") {
		status.Loading = &engine.ModelVersion{Model: testModel, Version: 9}
	}
	update := EngineUpdate{
		ID: id, Status: status,
		Leaving:   rapid.Bool().Draw(t, "leaving"),
		Reachable: rapid.Bool().Draw(t, "reachable"),
	}
	m.engines[id] = update
	m.cell.UpdateEngine(update)
}

func (m *cellModel) finish(t *rapid.T) {
	for id := range m.running {
		if rapid.Bool().Draw(t, "finished") {
			assert.Assert(t, m.cell.Finish(m.now, id))
			delete(m.running, id)
		}
	}
}

func (m *cellModel) expire(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{0, 1, 5}).Draw(t, "elapsed") * time.Second)
	for _, expired := range m.cell.Expire(m.now) {
		_, waiting := m.waiting[expired.Item.ID]
		assert.Assert(t, waiting)
		assert.Assert(t, !expired.Item.Deadline.After(m.now))
		delete(m.waiting, expired.Item.ID)
	}
	for _, item := range m.waiting {
		assert.Assert(t, item.Deadline.After(m.now), "%s is still queued after its deadline", item.ID)
	}
}

func TestCellRunsEachItemAtMostOnceOnEligibleEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{PolicyDefault, PolicyRoundRobin}).Draw(t, "policy")
		model := &cellModel{
			cell:    NewCell(Config{Policy: policy}),
			now:     start,
			waiting: make(map[string]Item),
			running: make(map[string]Assignment),
			engines: make(map[string]EngineUpdate),
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue":  model.enqueue,
			"dispatch": model.dispatch,
			"engine":   model.updateEngine,
			"finish":   model.finish,
			"expire":   model.expire,
			"": func(t *rapid.T) {
				digest := model.cell.Digest()
				assert.Equal(t, digest.Queued, len(model.waiting))
				assert.Equal(t, digest.Running, len(model.running))
			},
		})
	})
}

// Guards against starvation of a lower class: under constant load of a higher class
// it must get the first slot that becomes free after the starvation bound.
func TestStarvationBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 6).Draw(t, "slots")
		hold := time.Duration(rapid.IntRange(50, 900).Draw(t, "hold ms")) * time.Millisecond
		cell := NewCell(Config{QueueLimit: 10000})
		cell.SetLiveReserve(rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "reserve"))
		addEngine(cell, "a", slots)
		deadline := start.Add(time.Hour)
		low := Item{ID: "low", Service: "low", Model: testModel, Deadline: deadline}
		assert.NilError(t, cell.Enqueue(start, low))
		var running []string
		now := start
		for round := 0; cell.queued["low"] != nil; round++ {
			assert.Assert(t, now.Sub(start) <= DefaultStarvationBound+hold, "starved for %s", now.Sub(start))
			for number := range slots {
				high := Item{ID: fmt.Sprint(round, "-", number), Service: "high", Model: testModel,
					Priority: 9, Live: true, Deadline: deadline}
				assert.NilError(t, cell.Enqueue(now, high))
			}
			for _, id := range running {
				cell.Finish(now, id)
			}
			running = dispatchIDs(cell, now)
			now = now.Add(hold)
		}
	})
}

func BenchmarkRequest(b *testing.B) {
	for _, policy := range []Policy{PolicyDefault, PolicyRoundRobin, PolicyLeastLoad, PolicyOneHop} {
		b.Run(string(policy), func(b *testing.B) {
			cell := NewCell(Config{Policy: policy})
			for number := range 16 {
				addEngine(cell, fmt.Sprint("engine-", number), 16)
			}
			item := liveItem("")
			for number := 0; b.Loop(); number++ {
				item.ID = fmt.Sprint(number)
				_ = cell.Enqueue(start, item)
				for _, assignment := range cell.Dispatch(start) {
					cell.Finish(start, assignment.Item.ID)
				}
			}
		})
	}
}
