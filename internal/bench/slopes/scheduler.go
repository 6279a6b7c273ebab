package slopes

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/prefixcache"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/engine"
)

const (
	hollowModel   = "valuation"
	hollowVersion = 3
	// batchSlots is the batch size of a hollow engine.
	batchSlots = 32
	// promptBytes is the length of a hollow prompt.
	promptBytes = 512
	// hollowServices share a queue.
	hollowServices = 16
	// queueLimit exceeds all queues that are measured.
	queueLimit = 1 << 20
)

// epoch is the time at which hollow runs of the core begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func schedulerSweeps() []sweep {
	return []sweep{
		{
			name: "scheduler decision against engines", role: RoleDispatcher,
			size: "engines of the cell", unit: UnitMicroseconds, sizes: []int{4, 8, 16, 32, 64},
			measure: func(_ context.Context, size int) (float64, error) { return schedulerDecision(size, 64) },
		},
		{
			name: "scheduler decision against queue", role: RoleDispatcher,
			size: "queued requests", unit: UnitMicroseconds, sizes: []int{64, 256, 1024, 4096},
			measure: func(_ context.Context, size int) (float64, error) { return schedulerDecision(16, size) },
		},
		{
			name: "memory of engines", role: RoleDispatcher,
			size: "engines", unit: UnitBytes, sizes: []int{64, 128, 256, 512},
			measure: func(_ context.Context, size int) (float64, error) {
				return bytesHeld(func() (any, error) { return cellWithWarmEngines(size) })
			},
		},
		{
			name: "memory of cached prefixes", role: RoleDispatcher,
			size: "prefix hashes of one engine", unit: UnitBytes, sizes: []int{2048, 4096, 8192, 16384}, repetitions: 3,
			measure: func(_ context.Context, size int) (float64, error) {
				return bytesHeld(func() (any, error) { return warmPrefixes(size), nil })
			},
		},
		{
			name: "memory of queued requests", role: RoleDispatcher,
			size: "queued requests", unit: UnitBytes, sizes: []int{1000, 2000, 4000, 8000},
			measure: func(_ context.Context, size int) (float64, error) {
				return bytesHeld(func() (any, error) {
					cell := newHollowCell(1)
					return cell, enqueue(cell, size)
				})
			},
		},
	}
}

// schedulerDecision returns the processor time for one request that is queued,
// assigned and finished, while the queue keeps its length and the engines are full.
func schedulerDecision(engines, queued int) (float64, error) {
	const decisions = 4000
	cell := newHollowCell(engines)
	if err := enqueue(cell, engines*batchSlots+queued); err != nil {
		return 0, err
	}
	running := cell.Dispatch(epoch)
	next := engines*batchSlots + queued
	return microsecondsEach(decisions, func() error {
		finished := running[next%len(running)].Item.ID
		cell.Finished(epoch, finished)
		if err := cell.Enqueue(epoch, hollowItem(next)); err != nil {
			return err
		}
		assigned := cell.Dispatch(epoch)
		running[next%len(running)] = assigned[0]
		next++
		return nil
	})
}

func newHollowCell(engines int) *scheduler.Cell {
	cell := scheduler.NewCell(scheduler.Config{
		Seed: 1, QueueLimit: queueLimit, Prefixes: prefixcache.New(prefixcache.DefaultCapacity),
	})
	for index := range engines {
		cell.UpdateEngine(scheduler.EngineUpdate{
			ID: hollowEngineID(index), Status: hollowStatus(hollowEngineID(index)), Reachable: true, Reported: true,
		})
	}
	return cell
}

// cellWithWarmEngines has sent each engine one prompt, which the prefix index remembers.
func cellWithWarmEngines(engines int) (*scheduler.Cell, error) {
	cell := newHollowCell(engines)
	if err := enqueue(cell, engines); err != nil {
		return nil, err
	}
	for _, assigned := range cell.Dispatch(epoch) {
		cell.Finished(epoch, assigned.Item.ID)
	}
	return cell, nil
}

// warmPrefixes is the index of one engine that holds so many prompt blocks.
func warmPrefixes(blocks int) *prefixcache.Index {
	index := prefixcache.New(prefixcache.DefaultCapacity)
	for block := range blocks {
		// The multiplier spreads the values as those of a hash do.
		index.Sent(hollowEngineID(0), []uint64{uint64(block+1) * 0x9E3779B97F4A7C15})
	}
	return index
}

func enqueue(cell *scheduler.Cell, count int) error {
	for index := range count {
		if err := cell.Enqueue(epoch, hollowItem(index)); err != nil {
			return err
		}
	}
	return nil
}

func hollowItem(index int) scheduler.Item {
	return scheduler.Item{
		ID:             fmt.Sprintf("node-001-cv37img5mvgc%08d", index),
		Service:        fmt.Sprintf("service-%d", index%hollowServices),
		Model:          hollowModel,
		Prompt:         hollowPrompt(index),
		Live:           index%2 == 0,
		Priority:       index % 4,
		Share:          100,
		ExpectedTokens: 100 + index%400,
		Deadline:       epoch.Add(time.Hour),
	}
}

// hollowPrompt returns a prompt; one in eight shares its first half with others.
func hollowPrompt(index int) string {
	prefix := fmt.Sprintf("parcel group %d ", index%8)
	ending := fmt.Sprintf(" question %d", index)
	return prefix + strings.Repeat("x", promptBytes-len(prefix)-len(ending)) + ending
}

func hollowEngineID(index int) string { return fmt.Sprintf("engine-%05d", index) }

func hollowStatus(id string) engine.Status {
	return engine.Status{
		ID: id, Pool: hollowPool, Zone: hollowZone, State: engine.StateServing, MaxBatch: batchSlots,
		Models:        []engine.ModelVersion{{Model: hollowModel, Version: hollowVersion}},
		CacheCapacity: 1 << 16, Incarnation: "1",
	}
}
