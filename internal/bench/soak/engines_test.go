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

func entryOf(t *testing.T, p *engineSlot) engineEntry {
	t.Helper()
	var entry engineEntry
	assert.NilError(t, json.Unmarshal(p.engine().Entry("", ""), &entry))
	return entry
}

// A restarted engine must have a later start time, be cold, and lose its weights if requested; a new
// engine gets a new ID.
func TestEngineSlotRestartWithSameID(t *testing.T) {
	address, err := process.FreeAddress()
	assert.NilError(t, err)
	p := &engineSlot{
		number: 1, service: standin.ServiceDrafts, store: standin.NewStore(standin.DefaultLimits()), history: &History{},
		listen: address, coldFor: time.Minute, senderProxy: newSenderProxy("127.0.0.1:0", address, nil),
	}
	assert.NilError(t, p.start())
	defer func() { p.stop() }()
	first, id := entryOf(t, p), p.id()
	assert.Assert(t, first.Born > 0 && first.ColdLeftMs == 0)
	for range 3 {
		p.stop()
		assert.NilError(t, p.restartWithSameID(true))
		next := entryOf(t, p)
		assert.Assert(t, p.id() == id && next.Born > first.Born && next.ColdLeftMs > 0)
		assert.Equal(t, next.Models[0].Version, int64(firstVersion))
		first = next
	}
	p.stop()
	assert.NilError(t, p.start())
	assert.Assert(t, p.id() != id)
	records := p.records()
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
