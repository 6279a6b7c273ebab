package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of placement faults, which change the engines that may get a request, and their rate.
const (
	// EngineRestarted: an engine's process ends and restarts under the same ID before its entry expires.
	EngineRestarted Kind = "engine-restarted"
	// EngineRestartedLate: an engine restarts under the same ID after its entry was removed.
	EngineRestartedLate Kind = "engine-restarted-late"
	// EntriesInvalid: invalid entries are written to the engine list, some in place of a valid one.
	EntriesInvalid Kind = "entries-bad"
	// ZoneEvacuated: the operator evacuates a zone and ends the evacuation when the fault ends.
	ZoneEvacuated Kind = "zone-evacuated"
	// EngineCold and ZoneCold: an engine, or all engines of a zone at once, announce that they are cold.
	EngineCold Kind = "engine-cold"
	ZoneCold   Kind = "zone-cold"
)

// Family is a group of faults that can be left out of a soak.
type Family string

const (
	Incarnations Family = "incarnations"
	Entries      Family = "entries"
	Evacuations  Family = "evacuations"
	SlowStarts   Family = "slow-starts"
	// HomeChanges are changes of home regions in configurations, not scheduled faults.
	HomeChanges Family = "home-changes"
	// PlannedStops are the planned stops of nodes, in any schedule.
	PlannedStops Family = "planned-stops"
)

var families = []Family{Incarnations, Entries, Evacuations, SlowStarts, HomeChanges, PlannedStops}

var familyOf = map[Kind]Family{
	NodeStopped:     PlannedStops,
	EngineRestarted: Incarnations, EngineRestartedLate: Incarnations, EntriesInvalid: Entries, ZoneEvacuated: Evacuations,
	EngineCold: SlowStarts, ZoneCold: SlowStarts,
}

// placementWeights are the weights of placement faults, concurrentWeights those of concurrent faults.
var (
	placementWeights = []weightedKind{
		{EngineRestarted, 5}, {EngineRestartedLate, 3}, {EntriesInvalid, 3}, {ZoneEvacuated, 5}, {EngineCold, 3}, {ZoneCold, 3},
	}
	concurrentWeights = []weightedKind{
		{NodeKilled, 5}, {NodeStopped, 2}, {NodeFrozen, 3}, {AllKilled, 1}, {LinkCut, 2}, {LinkSilent, 2},
		{StoreRefuses, 2}, {StoreSilent, 2}, {StorePartDown, 2}, {StoreForgets, 1}, {EngineCrashed, 2}, {EngineLeaves, 2},
	}
)

// durationRange is the range of a fault's duration.
type durationRange struct{ shortest, longest time.Duration }

// placementDurations are the durations of placement faults. Restarts end before an entry expires;
// evacuations and invalid entries range from shorter than the time in which they must take effect to much
// longer.
var placementDurations = map[Kind]durationRange{
	EngineRestarted:     {20 * time.Millisecond, 200 * time.Millisecond},
	EngineRestartedLate: {minDowntime, 3 * time.Second},
	EntriesInvalid:      {500 * time.Millisecond, 9 * time.Second},
	ZoneEvacuated:       {500 * time.Millisecond, 14 * time.Second},
	EngineCold:          {time.Second, 5 * time.Second},
	ZoneCold:            {time.Second, 5 * time.Second},
}

const (
	// meanPlacementGap is the mean time between two placement faults; they may overlap.
	meanPlacementGap = 1800 * time.Millisecond
	// disturbedPeriod is the time between the starts of two disturbed phases, in which
	// concurrentPlacementShare of the placement faults have a concurrent fault within maxSeriesStep.
	// Between the phases, nodes stay undisturbed for long enough that time-bounded invariants apply.
	disturbedPeriod          = 40 * time.Second
	disturbedLength          = 16 * time.Second
	concurrentPlacementShare = 0.5
	// leaderShare is the share of concurrent faults that affect the leader.
	leaderShare = 0.6
	// placementStream is the PCG stream of placement faults, independent of those of other schedules.
	placementStream = 3
)

// DrawPlacement returns the placement faults of a seed for a run of the given length, in order of time,
// with concurrent faults in disturbed phases.
func DrawPlacement(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, placementStream))
	var faults []Fault
	for at := faultFreeStart; at <= length; {
		at += time.Duration(random.ExpFloat64() * float64(meanPlacementGap))
		drawn := []Fault{drawPlacementFault(random, at)}
		if concurrent := drawConcurrent(random, at); at%disturbedPeriod < disturbedLength && random.Float64() < concurrentPlacementShare {
			drawn = append(drawn, concurrent)
		}
		for _, fault := range drawn {
			if fault.At+fault.Duration <= length-faultFreeEnd {
				faults = append(faults, fault)
			}
		}
	}
	sortFaults(faults)
	for i := range faults {
		faults[i].Number = i + 1
	}
	return faults
}

func drawPlacementFault(random *rand.Rand, at time.Duration) Fault {
	kind := drawKind(placementWeights, random)
	limits := placementDurations[kind]
	return Fault{
		At: at, Duration: uniformDuration(random, limits.shortest, limits.longest), Kind: kind, Target: random.IntN(maxTargets),
	}
}

// drawConcurrent draws a fault that is concurrent with a placement fault.
func drawConcurrent(random *rand.Rand, at time.Duration) Fault {
	fault := Fault{
		At:       at + time.Duration(random.Float64()*float64(maxSeriesStep)),
		Duration: uniformDuration(random, minLeaderFault, maxLeaderFault), Kind: drawKind(concurrentWeights, random), Target: random.IntN(maxTargets),
	}
	if random.Float64() < leaderShare {
		fault.Aim = AimLeader
	}
	return fault
}

// withoutFamilies returns the faults except those of the given families.
func withoutFamilies(faults []Fault, excluded []Family) []Fault {
	return slices.DeleteFunc(faults, func(fault Fault) bool {
		family, inFamily := familyOf[fault.Kind]
		return inFamily && slices.Contains(excluded, family)
	})
}
