package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

func TestEnginesOfAnEvacuatedZoneAreNotChosen(t *testing.T) {
	f := fleetOf(testEngine("a", "z1"), testEngine("b", "z2"))
	assert.Assert(t, f.Evacuate("z1", now, 7))
	assert.Equal(t, chooseID(f, Query{Zone: "z1"}), "b")
	assert.Equal(t, chooseID(f, Query{Tried: []string{"b"}}), "")
	assert.Equal(t, f.Hold(incarnationOf("a")), HeldEvacuated)
	assert.Equal(t, f.CountEvacuated("s"), 1)
	slots, _ := f.Capacity("s", now)
	assert.Equal(t, slots, 4)
	// An engine that is listed later is evacuated as well.
	f.Put(testEngine("c", "z1"))
	assert.Assert(t, !f.AcceptsWork(testEngine("c", "z1")))
	assert.Assert(t, f.EndEvacuation("z1", now.Add(time.Second), 8))
	assert.Equal(t, f.Hold(incarnationOf("a")), NotHeld)
}

func TestEvacuationsOfZonesAreIndependent(t *testing.T) {
	f := fleetOf(testEngine("a", "z1"), testEngine("b", "z2"))
	f.Evacuate("z1", now, 7)
	f.Evacuate("z2", now, 8)
	assert.DeepEqual(t, f.EvacuatedZones(), []string{"z1", "z2"})
	f.EndEvacuation("z1", now, 9)
	assert.Equal(t, chooseID(f, Query{}), "a")
	assert.Assert(t, f.IsEvacuated("z2"))
}

// A repeated record must not reset Since, and a zone that was never evacuated must not be reported as returned.
func TestRepeatedEvacuationRecordKeepsSince(t *testing.T) {
	f := fleetOf(testEngine("a", "z1"))
	assert.Assert(t, !f.EndEvacuation("z1", now, 1))
	f.Evacuate("z1", now, 2)
	assert.Assert(t, !f.Evacuate("z1", now.Add(time.Minute), 3))
	assert.Equal(t, f.Zones()[0].Since, now)
	assert.Equal(t, f.Zones()[0].Offset, int64(3))
}

func TestHoldOfDrainingAndUnlistedIncarnations(t *testing.T) {
	f := fleetOf(testEngine("a", "z1"))
	assert.Equal(t, f.Hold(incarnation.ID{Engine: "a", StartMillis: 5}), HeldGone)
	draining := testEngine("a", "z1")
	draining.Draining = true
	f.Put(draining)
	assert.Equal(t, f.Hold(incarnationOf("a")), HeldDraining)
	f.Remove("a")
	assert.Equal(t, f.Hold(incarnationOf("a")), HeldGone)
}

func TestZonesCountsEnginesAndRequests(t *testing.T) {
	f := fleetOf(testEngine("a", "z1"), testEngine("b", "z2"), testEngine("c", "z2"))
	f.RequestStarted(incarnationOf("c"))
	f.Evacuate("unknown", now, 4)
	zones := f.Zones()
	assert.Equal(t, len(zones), 3)
	assert.Equal(t, zones[0].Name, "unknown")
	assert.Assert(t, zones[0].Evacuated && zones[0].Engines == 0)
	assert.Equal(t, zones[1].InFlight, 0)
	assert.Equal(t, zones[2].Engines, 2)
	assert.Equal(t, zones[2].InFlight, 1)
}

func TestCheckZoneName(t *testing.T) {
	for _, name := range []string{"wcape-a", "Z_1", "zone.münchen"} {
		assert.NilError(t, CheckZoneName(name))
	}
	for _, name := range []string{"", "a/b", "a b", "a\n", "\xff", strings.Repeat("z", maxZoneName+1)} {
		var invalid *ZoneNameError
		assert.Assert(t, errors.As(CheckZoneName(name), &invalid), "%q", name)
		assert.Assert(t, len(invalid.Error()) < 5*maxZoneName)
	}
}
