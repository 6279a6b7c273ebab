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

// The kinds of faults. Those of nodes strike the processes by signals, those of
// links the proxies between processes, those of the store and the engines the
// stand-ins.
const (
	NodeKilled    Kind = "node-killed"
	NodeStopped   Kind = "node-stopped"
	NodeFrozen    Kind = "node-frozen"
	AllKilled     Kind = "all-killed"
	LinkCut       Kind = "link-cut"
	LinkSilent    Kind = "link-silent"
	LinkOneWay    Kind = "link-one-way"
	LinkSlow      Kind = "link-slow"
	LinkReset     Kind = "link-reset"
	StoreRefuses  Kind = "store-refuses"
	StoreSilent   Kind = "store-silent"
	StorePartDown Kind = "store-part-down"
	StoreLoses    Kind = "store-loses-answers"
	StoreLate     Kind = "store-late"
	StoreSlow     Kind = "store-slow"
	StoreForgets  Kind = "store-forgets"
	EngineCrashed Kind = "engine-crashed"
	EngineLeaves  Kind = "engine-leaves"
	EngineCut     Kind = "engine-cut"
	EngineAnswers Kind = "engine-answers-wrongly"
	EnginesMute   Kind = "engine-silent"
	NothingFails  Kind = "nothing"
)

// weighted is a kind with how often it is drawn.
type weighted struct {
	kind   Kind
	weight int
}

// weights say how often each kind is drawn.
var weights = []weighted{
	{NodeKilled, 5}, {NodeStopped, 5}, {NodeFrozen, 5}, {AllKilled, 1},
	{LinkCut, 4}, {LinkSilent, 4}, {LinkOneWay, 3}, {LinkSlow, 3}, {LinkReset, 3},
	{StoreRefuses, 3}, {StoreSilent, 2}, {StorePartDown, 3}, {StoreLoses, 3}, {StoreLate, 3}, {StoreSlow, 2}, {StoreForgets, 2},
	{EngineCrashed, 4}, {EngineLeaves, 4}, {EngineCut, 3}, {EngineAnswers, 4}, {EnginesMute, 2}, {NothingFails, 4},
}

// Fault is one fault of a schedule.
type Fault struct {
	// Number names it; a replay may leave it out.
	Number int
	// At is when it strikes, counted from the start of the load, For how long it lasts.
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target picks a node or an engine, modulo their number.
	Target int
	// Aim says which node is struck in place of the target's.
	Aim Aim
}

// String is the fault's line in a printed schedule.
func (f Fault) String() string {
	target := aimNames[f.Aim]
	if f.Aim == AimNumber {
		target = fmt.Sprint(f.Target)
	}
	return fmt.Sprintf("%3d  %7.2f s  for %5.2f s  %-22s target %s",
		f.Number, f.At.Seconds(), f.For.Seconds(), f.Kind, target)
}

const (
	// meanGap is the mean time between two faults; they may overlap.
	meanGap = 2500 * time.Millisecond
	// calmStart and calmEnd are left without faults, so that the deployment is up
	// and can finish its work.
	calmStart = 2 * time.Second
	calmEnd   = 2 * time.Second
	// A fault lasts minFault and up to maxFaultSeconds more.
	minFault        = 300 * time.Millisecond
	maxFaultSeconds = 6.0
	// calmEvery is the time between two windows in which an engine leaves and nothing
	// else happens: bounded promises apply only to nodes that have been undisturbed
	// for a while. The engine leaves calmBefore into a window, once the faults before
	// it are over.
	calmEvery  = 30 * time.Second
	calmWindow = 20 * time.Second
	calmBefore = 11 * time.Second
	maxTargets = 1 << 16
)

// Draw returns the faults of a seed for a run of the given length, by time.
func Draw(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	at, nextCalm := calmStart, calmEvery
	for {
		if at > nextCalm {
			at, nextCalm = at+calmWindow, at+calmWindow+calmEvery
			leave := Fault{At: at - calmWindow + calmBefore, For: minFault, Kind: EngineLeaves, Target: random.IntN(maxTargets)}
			if leave.At < length-calmEnd {
				leave.Number = len(faults) + 1
				faults = append(faults, leave)
			}
		}
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		lasting := minFault + time.Duration(random.Float64()*maxFaultSeconds*float64(time.Second))
		kind := drawKind(weights, random)
		target := random.IntN(maxTargets)
		if at+lasting > length-calmEnd {
			break
		}
		faults = append(faults, Fault{Number: len(faults) + 1, At: at, For: lasting, Kind: kind, Target: target})
	}
	sortFaults(faults)
	return faults
}

// sortFaults sorts by time.
func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
}

func drawKind(weights []weighted, random *rand.Rand) Kind {
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

// Without returns the faults but those with the given numbers.
func Without(faults []Fault, numbers []int) []Fault {
	left := make(map[int]bool, len(numbers))
	for _, number := range numbers {
		left[number] = true
	}
	var kept []Fault
	for _, fault := range faults {
		if !left[fault.Number] {
			kept = append(kept, fault)
		}
	}
	return kept
}

// printSchedule writes a line for each fault.
func printSchedule(output io.Writer, faults []Fault) {
	for _, fault := range faults {
		_, _ = fmt.Fprintln(output, fault)
	}
}
