package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All kinds of events must be drawn, faults in their part of each period, and the same for each run of a seed.
func TestDrawContention(t *testing.T) {
	const length = 30 * time.Minute
	faults := DrawContention(7, length)
	assert.DeepEqual(t, DrawContention(7, length), faults)
	drawn := make(map[Kind]int)
	for i, fault := range faults {
		drawn[fault.Kind]++
		assert.Equal(t, fault.Number, i+1)
		assert.Assert(t, fault.At >= faultFreeStart && fault.At+fault.Duration <= length-faultFreeEnd)
		isFault := false
		for _, each := range contentionWeights {
			isFault = isFault || each.kind == fault.Kind
		}
		if phase := fault.At % contentionPeriod; isFault {
			assert.Assert(t, phase >= contentionFaultsFrom && phase < contentionFaultsTo, "%s", fault)
		}
		switch fault.Kind {
		case NodeKilled:
			assert.Equal(t, fault.Aim, AimLeader)
		case EngineCrashed:
			assert.Assert(t, fault.Target < contentionLookupEngines)
		}
	}
	for kind := range contentionDurations {
		assert.Assert(t, drawn[kind] > 0, "%s is never drawn", kind)
	}
	assert.Assert(t, drawn[ConfigurationChanged] > 20)
}

// Bursts must leave the small tenants within an equal share of the capacity, and exceed the capacity together.
func TestBurstLoad(t *testing.T) {
	const tenants = smallTenants + 2 // the large tenant and tenantLive
	assert.Assert(t, minBurstLoad > 1)
	assert.Assert(t, maxBurstLoad/2/smallTenants < 1.0/tenants)
}

// A quarter of the engines of each service must be fast, with at least two other speeds among all.
func TestPaces(t *testing.T) {
	for seed := range uint64(20) {
		drawn := paces(seed, contentionLookupEngines, contentionDraftEngines)
		assert.DeepEqual(t, paces(seed, contentionLookupEngines, contentionDraftEngines), drawn)
		counts := make(map[float64]int)
		for _, pace := range drawn[contentionLookupEngines:] {
			counts[pace]++
		}
		assert.Equal(t, counts[fastPace], contentionDraftEngines/fastOneIn)
		assert.Equal(t, len(counts), 3)
		for _, target := range []int{0, 1} {
			assert.Assert(t, Fault{Target: target}.otherPace(fastPace) != fastPace)
		}
	}
}

// Guards against settings that the daemon rejects or ignores because of their section.
func TestContentionSettings(t *testing.T) {
	settings := contentionSettings()
	assert.Equal(t, settings.hosted, "load_exchange = \"200ms\"\n")
	assert.Equal(t, settings.tables, "\n[scheduling]\njob_order = \"due\"\nengine_speeds = \"mixed\"\nlive_wait = \"300ms\"\n")
	assert.Assert(t, settings.liveWait < minBurstDeadline)
}
