package dispatcher

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

func TestPlanLoadsRespectsFloorAndConcurrency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floorPercent := rapid.IntRange(0, 100).Draw(t, "floor")
		concurrent := rapid.IntRange(0, 4).Draw(t, "concurrent")
		engines := rapid.SliceOfN(rapid.Custom(drawEngine), 1, 16).Draw(t, "engines")
		inService, loading := 0, 0
		byID := make(map[string]rolloutEngine)
		for i := range engines {
			engines[i].id = string(rune('a' + i))
			byID[engines[i].id] = engines[i]
			if engines[i].loading {
				loading++
			} else if engines[i].inService {
				inService++
			}
		}
		before := inService
		orders := planLoads(engines, concurrent, floorPercent)
		for _, id := range orders {
			ordered := byID[id]
			assert.Assert(t, ordered.readyForOrder && !ordered.atTarget && !ordered.loading)
			if ordered.inService {
				inService--
			}
		}
		assert.Assert(t, len(orders) == 0 || loading+len(orders) <= concurrent)
		onlyOneOut := floorPercent < 100 && inService == len(engines)-1
		assert.Assert(t, inService == before || onlyOneOut || inService*100 >= floorPercent*len(engines))
	})
}

func drawEngine(t *rapid.T) rolloutEngine {
	return rolloutEngine{
		atTarget:      rapid.Bool().Draw(t, "at target"),
		inService:     rapid.Bool().Draw(t, "in service"),
		loading:       rapid.Bool().Draw(t, "loading"),
		readyForOrder: rapid.Bool().Draw(t, "ready for order"),
		version:       rapid.Uint64Range(0, 3).Draw(t, "version"),
	}
}

func (h *harness) sendDirective(epoch int64) message.DirectiveResult {
	h.t.Helper()
	wanted := message.Directive{Cell: testCell, Model: testModel, Version: 2, Epoch: epoch, Concurrent: 1}
	response, err := h.calls[peer.MethodDirective](context.Background(), encode(h.t, wanted))
	assert.NilError(h.t, err)
	return response.(message.DirectiveResult)
}

func TestDirectiveLoadsEnginesSequentially(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.rows[0].Floor = 50
	failures := 1
	h.order = func(id string, order engine.Order) error {
		assert.Check(t, order == engine.Order{Fence: 7, Kind: engine.OrderLoad, Model: testModel, Version: 2})
		h.fakeEngines.mutex.Lock()
		failed := failures > 0
		failures--
		h.fakeEngines.mutex.Unlock()
		serving := 0
		for _, status := range h.dispatcher.EngineStatuses() {
			if status.ID != id && status.State == string(engine.StateServing) {
				serving++
			}
		}
		assert.Check(t, failed || serving == 2, "%d serving while %s loads", serving, id)
		h.change(id, func(status *engine.Status) {
			if failed {
				status.State = engine.StateBroken
				status.Models = nil
				return
			}
			status.State = engine.StateServing
			status.Models = []engine.ModelVersion{{Model: testModel, Version: 2}}
		})
		return nil
	}
	assert.Equal(t, h.sendDirective(7).Engines, 3)
	h.eventually(func() bool { return h.sendDirective(7).AtLeastVersion == 3 })
	assert.Equal(t, h.sendDirective(7).AtVersion, 3)
	h.change("a", func(status *engine.Status) { status.Models[0].Version = 3 })
	h.eventually(func() bool {
		result := h.sendDirective(6) // of an old epoch, so it orders nothing
		return result.AtLeastVersion == 3 && result.AtVersion == 2
	})
	assert.Equal(t, h.sendDirective(6).NewerEpoch, int64(7))
}

func TestDirectiveStopsOnStaleFence(t *testing.T) {
	h := newHarness(t, "a")
	h.order = func(string, engine.Order) error {
		return &engine.SendError{Sent: true, Refusal: &engine.Refusal{Code: engine.CodeStaleFence, Fence: 9}}
	}
	h.eventually(func() bool { return h.sendDirective(7).NewerEpoch == 9 })
	h.fakeEngines.mutex.Lock()
	defer h.fakeEngines.mutex.Unlock()
	assert.Equal(t, len(h.orders), 1)
}

func TestCellCapsSumToServiceCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		row := policy.Row{Cap: rapid.IntRange(1, 100).Draw(t, "cap"), Zones: []string{"x", "y"}}
		var digests []message.CellDigest
		for index, engines := range rapid.SliceOfN(rapid.IntRange(1, 16), 1, 9).Draw(t, "cells") {
			zone := []string{"x", "y", "z"}[index%3]
			id := message.CellID{Zone: zone, Pool: testPool, Index: index}
			digests = append(digests, message.CellDigest{Cell: id, Engines: engines})
		}
		pools := newPoolCells(nil, digests)
		sum := 0
		for _, cell := range pools[testPool] {
			part := pools.cellCap(&row, cell.id)
			assert.Assert(t, part == 0 || cell.id.Zone != "z")
			sum += part
		}
		assert.Equal(t, sum, row.Cap)
	})
}
