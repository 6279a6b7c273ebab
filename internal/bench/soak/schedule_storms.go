package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// A period begins with a storm; in the rest of it nothing fails, so that time-bounded invariants apply.
	stormPeriod    = 30 * time.Second
	minStormLength = 3 * time.Second
	maxStormLength = 8 * time.Second
	// Engines crash minCrashGap to maxCrashGap apart, each for minCrashTime to maxCrashTime.
	minCrashGap  = 150 * time.Millisecond
	maxCrashGap  = 600 * time.Millisecond
	minCrashTime = 500 * time.Millisecond
	maxCrashTime = time.Second
	// stormNodeShare is the share of storms in which nodes fail too, allKilledShare that of these in which all processes are
	// killed at once; in the others a series of up to maxStormNodeFaults overlapping faults of nodes begins in the storm.
	stormNodeShare     = 0.6
	allKilledShare     = 0.4
	maxStormNodeFaults = 4
	// stormStream is the PCG stream of storms.
	stormStream = 6
)

// stormNodeWeights are the weights of the faults of nodes in a storm.
var stormNodeWeights = []weightedKind{{NodeStopped, 4}, {NodeKilled, 4}, {NodeFrozen, 2}, {ConfigurationChanged, 2}}

// DrawStorms returns the faults of storms of engine crashes, in order of time.
func DrawStorms(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, stormStream))
	var drawn []Fault
	for period := faultFreeStart; period < length; period += stormPeriod {
		end := period + uniformDuration(random, minStormLength, maxStormLength)
		for at := period; at < end; at += uniformDuration(random, minCrashGap, maxCrashGap) {
			drawn = append(drawn, Fault{
				At: at, Duration: uniformDuration(random, minCrashTime, maxCrashTime), Kind: EngineCrashed, Target: random.IntN(maxTargets),
			})
		}
		drawn = append(drawn, drawStormNodeFaults(random, period, end)...)
	}
	return keepWithin(drawn, length)
}

// drawStormNodeFaults draws the faults of nodes that begin in a storm.
func drawStormNodeFaults(random *rand.Rand, from, to time.Duration) []Fault {
	if random.Float64() >= stormNodeShare {
		return nil
	}
	if random.Float64() < allKilledShare {
		return []Fault{{At: uniformDuration(random, from, to), Duration: minFault, Kind: AllKilled}}
	}
	var faults []Fault
	changed := false
	for range 1 + random.IntN(maxStormNodeFaults) {
		fault := drawOverlapFault(random, drawKind(stormNodeWeights, random), uniformDuration(random, from, to))
		if fault.Kind == ConfigurationChanged && changed {
			continue
		}
		changed = changed || fault.Kind == ConfigurationChanged
		faults = append(faults, fault)
	}
	return faults
}
