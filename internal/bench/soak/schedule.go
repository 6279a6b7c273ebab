package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults of general schedules. Node faults are signals to the processes, link faults act on
// the proxies between nodes and store, store and engine faults on the simulated store and engines.
const (
	NodeKilled           Kind = "node-killed"
	NodeStopped          Kind = "node-stopped"
	NodeFrozen           Kind = "node-frozen"
	AllKilled            Kind = "all-killed"
	LinkCut              Kind = "link-cut"
	LinkSilent           Kind = "link-silent"
	LinkOneWay           Kind = "link-one-way"
	LinkSlow             Kind = "link-slow"
	LinkReset            Kind = "link-reset"
	StoreRefuses         Kind = "store-refuses"
	StoreSilent          Kind = "store-silent"
	StorePartDown        Kind = "store-part-down"
	StoreLosesAnswers    Kind = "store-loses-answers"
	StoreLate            Kind = "store-late"
	StoreSlow            Kind = "store-slow"
	StoreForgets         Kind = "store-forgets"
	EngineCrashed        Kind = "engine-crashed"
	EngineLeaves         Kind = "engine-leaves"
	EngineCut            Kind = "engine-cut"
	EngineAnswersWrongly Kind = "engine-answers-wrongly"
	EngineSilent         Kind = "engine-silent"
	NothingFails         Kind = "nothing"
)

// weightedKind is a kind with its weight in a random draw.
type weightedKind struct {
	kind   Kind
	weight int
}

// generalWeights are the weights of all kinds of general faults.
var generalWeights = []weightedKind{
	{NodeKilled, 5}, {NodeStopped, 5}, {NodeFrozen, 5}, {AllKilled, 1},
	{LinkCut, 4}, {LinkSilent, 4}, {LinkOneWay, 3}, {LinkSlow, 3}, {LinkReset, 3},
	{StoreRefuses, 3}, {StoreSilent, 2}, {StorePartDown, 3}, {StoreLosesAnswers, 3}, {StoreLate, 3}, {StoreSlow, 2}, {StoreForgets, 2},
	{EngineCrashed, 4}, {EngineLeaves, 4}, {EngineCut, 3}, {EngineAnswersWrongly, 4}, {EngineSilent, 2}, {NothingFails, 4},
}

// Fault is a scheduled fault.
type Fault struct {
	// Number identifies the fault in its schedule, from 1 on.
	Number int
	// At is when it begins, from the start of the load; Duration is how long it lasts.
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	// Target selects a node or an engine, modulo their number.
	Target int
	// Aim overrides the node that Target selects.
	Aim Aim
}

// String returns the fault's line in a printed schedule.
func (f Fault) String() string {
	target := aimNames[f.Aim]
	if f.Aim == AimTarget {
		target = fmt.Sprint(f.Target)
	}
	return fmt.Sprintf("%3d  %7.2f s  for %5.2f s  %-22s target %s",
		f.Number, f.At.Seconds(), f.Duration.Seconds(), f.Kind, target)
}

const (
	// meanGap is the mean time between two faults; they may overlap.
	meanGap = 2500 * time.Millisecond
	// The first faultFreeStart and the last faultFreeEnd of a run are left without faults, so that the
	// deployment starts up and finishes its work undisturbed.
	faultFreeStart = 2 * time.Second
	faultFreeEnd   = 2 * time.Second
	// A fault lasts minFault plus up to maxFaultSeconds.
	minFault        = 300 * time.Millisecond
	maxFaultSeconds = 6.0
	// quietInterval is the time between two quiet windows, in which an engine drains and nothing else
	// happens: time-bounded invariants apply only to nodes that have been undisturbed for a while. The
	// engine drains quietDrainOffset into the window, when earlier faults are over.
	quietInterval    = 30 * time.Second
	quietWindow      = 20 * time.Second
	quietDrainOffset = 11 * time.Second
	maxTargets       = 1 << 16
)

// DrawGeneral returns the general faults of a seed for a run of the given length, in order of time.
func DrawGeneral(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	at, nextQuiet := faultFreeStart, quietInterval
	for {
		if at > nextQuiet {
			at, nextQuiet = at+quietWindow, at+quietWindow+quietInterval
			drain := Fault{At: at - quietWindow + quietDrainOffset, Duration: minFault, Kind: EngineLeaves, Target: random.IntN(maxTargets)}
			if drain.At < length-faultFreeEnd {
				drain.Number = len(faults) + 1
				faults = append(faults, drain)
			}
		}
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		duration := minFault + time.Duration(random.Float64()*maxFaultSeconds*float64(time.Second))
		kind := drawKind(generalWeights, random)
		target := random.IntN(maxTargets)
		if at+duration > length-faultFreeEnd {
			break
		}
		faults = append(faults, Fault{Number: len(faults) + 1, At: at, Duration: duration, Kind: kind, Target: target})
	}
	sortFaults(faults)
	return faults
}

// keepWithin returns the faults that end before the last faultFreeEnd of a run, in order of time and numbered.
func keepWithin(faults []Fault, length time.Duration) []Fault {
	kept := faults[:0]
	for _, fault := range faults {
		if fault.At+fault.Duration <= length-faultFreeEnd {
			kept = append(kept, fault)
		}
	}
	sortFaults(kept)
	for i := range kept {
		kept[i].Number = i + 1
	}
	return kept
}

func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
}

func drawKind(weights []weightedKind, random *rand.Rand) Kind {
	total := 0
	for _, each := range weights {
		total += each.weight
	}
	draw := random.IntN(total)
	for _, each := range weights {
		if draw < each.weight {
			return each.kind
		}
		draw -= each.weight
	}
	return NothingFails
}

// Without returns the faults except those with the given numbers.
func Without(faults []Fault, numbers []int) []Fault {
	excluded := make(map[int]bool, len(numbers))
	for _, number := range numbers {
		excluded[number] = true
	}
	var kept []Fault
	for _, fault := range faults {
		if !excluded[fault.Number] {
			kept = append(kept, fault)
		}
	}
	return kept
}

func printSchedule(output io.Writer, faults []Fault) {
	for _, fault := range faults {
		_, _ = fmt.Fprintln(output, fault)
	}
}
