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

// engineEntry is what an engine's entry says that an incarnation changes.
type engineEntry struct {
	Born       int64   `json:"born"`
	ColdLeftMs float64 `json:"coldLeftMs"`
	Models     []struct {
		Version int64 `json:"version"`
	} `json:"models"`
}

func entryOf(t *testing.T, p *place) engineEntry {
	t.Helper()
	var entry engineEntry
	assert.NilError(t, json.Unmarshal(p.engine().Entry("", ""), &entry))
	return entry
}

// TestAnEngineStartsAgainUnderItsID: later, cold, and without its weights where it forgets
// them; a new engine has another ID.
func TestAnEngineStartsAgainUnderItsID(t *testing.T) {
	address, err := process.FreeAddress()
	assert.NilError(t, err)
	p := &place{
		number: 1, service: standin.ServiceDrafts, store: standin.NewStore(standin.DefaultLimits()), history: &History{},
		listen: address, coldFor: time.Minute, front: newFront("127.0.0.1:0", address, nil),
	}
	assert.NilError(t, p.start())
	defer func() { p.stop() }()
	first, id := entryOf(t, p), p.id()
	assert.Assert(t, first.Born > 0 && first.ColdLeftMs == 0)
	for range 3 {
		p.stop()
		assert.NilError(t, p.startUnderID(true))
		next := entryOf(t, p)
		assert.Assert(t, p.id() == id && next.Born > first.Born && next.ColdLeftMs > 0)
		assert.Equal(t, next.Models[0].Version, int64(firstVersion))
		first = next
	}
	p.stop()
	assert.NilError(t, p.start())
	assert.Assert(t, p.id() != id)
	seen := p.seen()
	assert.Equal(t, len(seen), 5)
	assert.Assert(t, !seen[0].Restarted && seen[1].Restarted && seen[3].Restarted && !seen[4].Restarted)
	assert.Assert(t, len(seen[0].Cold) == 0 && len(seen[1].Cold) == 1)
}

// TestEvacuationsOfAZoneOverlap: its record is taken back with the last one.
func TestEvacuationsOfAZoneOverlap(t *testing.T) {
	d := &deployment{history: &History{}, store: newStoreFaults(), evacuated: newEvacuated()}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.evacuated.add("z1", 1, func() { d.history.addEvacuation("z1") })
	d.evacuate(ctx, Fault{Kind: ZoneEvacuated, Target: zones, For: time.Minute})
	assert.Equal(t, len(d.history.Evacuations), 1)
	assert.Assert(t, d.history.Evacuations[0].TakenBackAt.IsZero())
	d.evacuated.add("z1", -1, func() { d.history.endEvacuation("z1") })
	assert.Assert(t, !d.history.Evacuations[0].TakenBackAt.IsZero())
}
