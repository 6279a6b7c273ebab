package soak

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/process"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// engineEntry holds the fields of an engine's entry that change with an incarnation.
type engineEntry struct {
	Born       int64   `json:"born"`
	ColdLeftMs float64 `json:"coldLeftMs"`
	Models     []struct {
		Version int64 `json:"version"`
	} `json:"models"`
}

func entryOf(t *testing.T, slot *engineSlot) engineEntry {
	t.Helper()
	var entry engineEntry
	assert.NilError(t, json.Unmarshal(slot.engine().Entry("", ""), &entry))
	return entry
}

// A restarted engine must have a later start time, be cold, and lose its weights if requested; a new
// engine gets a new ID.
func TestEngineSlotRestartWithSameID(t *testing.T) {
	address, err := process.FreeAddress()
	assert.NilError(t, err)
	slot := &engineSlot{
		itemCrashes: newItemCrashes(),
		number:      1, service: standin.ServiceDrafts, store: standin.NewStore(standin.DefaultLimits()), history: &History{},
		listenAddress: address, coldFor: time.Minute, senderProxy: newSenderProxy("127.0.0.1:0", address, nil),
	}
	assert.NilError(t, slot.start())
	defer func() { slot.stop() }()
	first, id := entryOf(t, slot), slot.id()
	assert.Assert(t, first.Born > 0 && first.ColdLeftMs == 0)
	for range 3 {
		slot.stop()
		assert.NilError(t, slot.restartWithSameID(true))
		next := entryOf(t, slot)
		assert.Assert(t, slot.id() == id && next.Born > first.Born && next.ColdLeftMs > 0)
		assert.Equal(t, next.Models[0].Version, int64(firstVersion))
		first = next
	}
	slot.stop()
	assert.NilError(t, slot.start())
	assert.Assert(t, slot.id() != id)
	records := slot.records()
	assert.Equal(t, len(records), 5)
	assert.Assert(t, !records[0].Restarted && records[1].Restarted && records[3].Restarted && !records[4].Restarted)
	assert.Assert(t, len(records[0].Cold) == 0 && len(records[1].Cold) == 1)
}

// A zone's evacuation must stay in force until the last overlapping one ends.
func TestEvacuateOverlapping(t *testing.T) {
	d := &deployment{history: &History{}, store: newStoreFaults(), evacuationCounts: newEvacuationCounts()}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.evacuationCounts.add("z1", 1, func() { d.history.addEvacuation("z1") })
	d.evacuate(ctx, Fault{Kind: ZoneEvacuated, Target: zones, Duration: time.Minute})
	assert.Equal(t, len(d.history.Evacuations), 1)
	assert.Assert(t, d.history.Evacuations[0].LiftedAt.IsZero())
	d.evacuationCounts.add("z1", -1, func() { d.history.endEvacuation("z1") })
	assert.Assert(t, !d.history.Evacuations[0].LiftedAt.IsZero())
}
