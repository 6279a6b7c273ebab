package soak

import (
	"math/rand/v2"
	"time"
)

// The kinds of faults of a schedule of leader faults. Each strikes one node, mostly
// the one that leads.
const (
	// NodeReadsHang: its calls that write to the store work, its reads get no answer on
	// connections that stay open.
	NodeReadsHang Kind = "node-reads-hang"
	// NodeWritesRefused: its reads work, what it writes is refused.
	NodeWritesRefused Kind = "node-writes-refused"
	// NodeWritesThenReads: its writes are refused for a bit more than a lease, then they
	// work and its reads hang.
	NodeWritesThenReads Kind = "node-writes-then-reads"
	// NodeAnswersLost: what it writes takes effect, no answer comes, and its reads hang.
	NodeAnswersLost Kind = "node-answers-lost"
	// NodeCallsLate: what it writes is carried out late, whether or not it still waits.
	NodeCallsLate Kind = "node-calls-late"
	// ClaimsUnanswered: the node is killed; the others' claims of the lease take effect,
	// their answers are lost and their reads hang for a while after.
	ClaimsUnanswered Kind = "claims-unanswered"
	// FrozenOrdering: the node is stopped between its record of an order and the order.
	FrozenOrdering Kind = "node-frozen-ordering"
	// EnginesSilent: what the node and the engines send each other waits, on connections
	// that stay open, and arrives at the end.
	EnginesSilent Kind = "node-engines-silent"
	// EnginesLate: it arrives late.
	EnginesLate Kind = "node-engines-late"
)

// Aim says which node a fault strikes.
type Aim uint8

// The aims.
const (
	// AimNumber: the node of the fault's target.
	AimNumber Aim = iota
	// AimLeader: the node that wrote to the lease last when the fault strikes.
	AimLeader
	// AimSame: the node that the fault with an aim before struck.
	AimSame
)

var aimNames = [...]string{AimNumber: "", AimLeader: "leader", AimSame: "the same node"}

// leaderWeights say how often each kind is drawn for a series.
var leaderWeights = []weighted{
	{NodeReadsHang, 3}, {NodeWritesRefused, 3}, {NodeWritesThenReads, 8}, {NodeAnswersLost, 4}, {NodeCallsLate, 3},
	{ClaimsUnanswered, 4}, {FrozenOrdering, 5}, {EnginesSilent, 3}, {EnginesLate, 3},
	{NodeKilled, 2}, {NodeStopped, 2}, {NodeFrozen, 3}, {LinkCut, 2}, {LinkSilent, 3}, {LinkOneWay, 3}, {LinkSlow, 2},
}

const (
	// seriesGap is the mean time between two series beyond seriesRest, which lets a
	// leader be elected and order.
	seriesGap  = 2 * time.Second
	seriesRest = 3 * time.Second
	// A series has shortestSeries to longestSeries faults, the next within nextInSeries of the one
	// before.
	shortestSeries = 2
	longestSeries  = 3
	nextInSeries   = 2500 * time.Millisecond
	// A fault of a series lasts minLeaderFault and up to maxLeaderFault.
	minLeaderFault = 400 * time.Millisecond
	maxLeaderFault = 4 * time.Second
	// besideShare is the share of series beside which a fault of any kind strikes.
	besideShare = 0.4
	// sameShare is the share of later faults of a series that strike the same node.
	sameShare = 0.5
	// leaderStream keeps these draws apart from those of Draw.
	leaderStream = 2
)

// DrawLeader returns the faults of a seed for a run of the given length, by time:
// series of two or three faults of the leader, and some others beside them.
func DrawLeader(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, leaderStream))
	var faults []Fault
	for at := calmStart; ; {
		at += time.Duration(random.ExpFloat64() * float64(seriesGap))
		series := drawSeries(random, at)
		for _, fault := range series {
			if fault.At+fault.For <= length-calmEnd {
				faults = append(faults, fault)
			}
			at = max(at, fault.At)
		}
		if at > length {
			break
		}
		at += seriesRest
	}
	sortFaults(faults)
	for i := range faults {
		faults[i].Number = i + 1
	}
	return faults
}

// drawSeries draws faults of the leader that strike within seconds, and what strikes
// beside them.
func drawSeries(random *rand.Rand, at time.Duration) []Fault {
	var series []Fault
	next := at
	for i := range shortestSeries + random.IntN(longestSeries-shortestSeries+1) {
		aim := AimLeader
		if i > 0 && random.Float64() < sameShare {
			aim = AimSame
		}
		series = append(series, Fault{
			At: next, For: between(random, minLeaderFault, maxLeaderFault), Kind: drawKind(leaderWeights, random),
			Target: random.IntN(maxTargets), Aim: aim,
		})
		next += time.Duration(random.Float64() * float64(nextInSeries))
	}
	if random.Float64() < besideShare {
		series = append(series, Fault{
			At: between(random, at, next), For: between(random, minLeaderFault, maxLeaderFault),
			Kind: drawKind(weights, random), Target: random.IntN(maxTargets),
		})
	}
	return series
}

func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Float64()*float64(to-from))
}
