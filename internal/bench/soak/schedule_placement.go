package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of faults of a schedule of placement faults: what changes which engines may
// be sent a request, and how much.
const (
	// EngineRestarted: an engine's process ends and starts again under its ID before anyone
	// can miss its entry.
	EngineRestarted Kind = "engine-restarted"
	// EngineRestartedLate: the same, after its entry has gone.
	EngineRestartedLate Kind = "engine-restarted-late"
	// EntriesBad: other writers write entries that name no engine, some in the place of a
	// good one.
	EntriesBad Kind = "entries-bad"
	// ZoneEvacuated: the operator evacuates a zone and takes it back at the end.
	ZoneEvacuated Kind = "zone-evacuated"
	// EngineCold and ZoneCold: an engine, or all of a zone at once, says that it is cold.
	EngineCold Kind = "engine-cold"
	ZoneCold   Kind = "zone-cold"
)

// Family is a group of placement faults that can be left out of a soak.
type Family string

// The families.
const (
	Incarnations Family = "incarnations"
	Entries      Family = "entries"
	Evacuations  Family = "evacuations"
	SlowStarts   Family = "slow-starts"
	// HomeChanges are changes of homes in configurations, not faults of a schedule.
	HomeChanges Family = "home-changes"
)

// families are all families.
var families = []Family{Incarnations, Entries, Evacuations, SlowStarts, HomeChanges}

var familyOf = map[Kind]Family{
	EngineRestarted: Incarnations, EngineRestartedLate: Incarnations, EntriesBad: Entries, ZoneEvacuated: Evacuations,
	EngineCold: SlowStarts, ZoneCold: SlowStarts,
}

// placementWeights say how often each kind of placement fault is drawn, besideWeights how
// often each kind that strikes beside them.
var (
	placementWeights = []weighted{
		{EngineRestarted, 5}, {EngineRestartedLate, 3}, {EntriesBad, 3}, {ZoneEvacuated, 5}, {EngineCold, 3}, {ZoneCold, 3},
	}
	besideWeights = []weighted{
		{NodeKilled, 5}, {NodeStopped, 2}, {NodeFrozen, 3}, {AllKilled, 1}, {LinkCut, 2}, {LinkSilent, 2},
		{StoreRefuses, 2}, {StoreSilent, 2}, {StorePartDown, 2}, {StoreForgets, 1}, {EngineCrashed, 2}, {EngineLeaves, 2},
	}
)

// span is the shortest and the longest time of a fault.
type span struct{ shortest, longest time.Duration }

// placementSpans holds the lengths of faults: an engine starts again within the time in which
// no entry lapses, and evacuations and bad entries are both shorter than the time in which
// they must have effect and much longer.
var placementSpans = map[Kind]span{
	EngineRestarted:     {20 * time.Millisecond, 200 * time.Millisecond},
	EngineRestartedLate: {downTime, 3 * time.Second},
	EntriesBad:          {500 * time.Millisecond, 9 * time.Second},
	ZoneEvacuated:       {500 * time.Millisecond, 14 * time.Second},
	EngineCold:          {time.Second, 5 * time.Second},
	ZoneCold:            {time.Second, 5 * time.Second},
}

const (
	// placementGap is the mean time between two placement faults; they may overlap.
	placementGap = 1800 * time.Millisecond
	// disturbedPeriod is the time between the begins of two disturbed phases, in which placementBeside of
	// the placement faults have another fault beside them, within nextInSeries. Between
	// them all nodes are in touch for long enough that bounded promises apply.
	disturbedPeriod = 40 * time.Second
	disturbedLength = 16 * time.Second
	placementBeside = 0.5
	// leaderShare is the share of those faults that strike the node that leads.
	leaderShare = 0.6
	// placementStream keeps these draws apart from those of other schedules.
	placementStream = 3
)

// DrawPlacement returns the faults of a seed for a run of the given length, by time:
// placement faults, and in disturbed phases some others beside them.
func DrawPlacement(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, placementStream))
	var faults []Fault
	for at := calmStart; at <= length; {
		at += time.Duration(random.ExpFloat64() * float64(placementGap))
		drawn := []Fault{drawPlacementFault(random, at)}
		if beside := drawBeside(random, at); at%disturbedPeriod < disturbedLength && random.Float64() < placementBeside {
			drawn = append(drawn, beside)
		}
		for _, fault := range drawn {
			if fault.At+fault.For <= length-calmEnd {
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
	lasting := placementSpans[kind]
	return Fault{
		At: at, For: between(random, lasting.shortest, lasting.longest), Kind: kind, Target: random.IntN(maxTargets),
	}
}

// drawBeside draws a fault that strikes beside a placement fault.
func drawBeside(random *rand.Rand, at time.Duration) Fault {
	fault := Fault{
		At:  at + time.Duration(random.Float64()*float64(nextInSeries)),
		For: between(random, minLeaderFault, maxLeaderFault), Kind: drawKind(besideWeights, random), Target: random.IntN(maxTargets),
	}
	if random.Float64() < leaderShare {
		fault.Aim = AimLeader
	}
	return fault
}

// withoutFamilies returns the faults but those of the given families.
func withoutFamilies(faults []Fault, left []Family) []Fault {
	return slices.DeleteFunc(faults, func(fault Fault) bool {
		family, has := familyOf[fault.Kind]
		return has && slices.Contains(left, family)
	})
}
