package soak

import (
	"math/rand/v2"
	"time"
)

// The kinds of leader faults. Each affects one node, mostly the leader.
const (
	// NodeReadsHang: the node's writes to the store work, its reads get no answer on connections that stay
	// open.
	NodeReadsHang Kind = "node-reads-hang"
	// NodeWritesRefused: the node's reads work, its writes are refused.
	NodeWritesRefused Kind = "node-writes-refused"
	// NodeWritesThenReads: the node's writes are refused for slightly longer than a lease; then they work
	// and its reads hang.
	NodeWritesThenReads Kind = "node-writes-then-reads"
	// NodeAnswersLost: the node's writes take effect but their answers are lost, and its reads hang.
	NodeAnswersLost Kind = "node-answers-lost"
	// NodeCallsLate: the node's writes are applied late, even if the node no longer waits for the answer.
	NodeCallsLate Kind = "node-calls-late"
	// ClaimsUnanswered: the node is killed; the other nodes' lease claims take effect, but their answers
	// are lost and the claimant's reads hang for a while.
	ClaimsUnanswered Kind = "claims-unanswered"
	// NodeFrozenOrdering: the node is stopped after it recorded an order and before it sends it.
	NodeFrozenOrdering Kind = "node-frozen-ordering"
	// NodeEnginesSilent: traffic between the node and the engines is held back on open connections and
	// delivered at the end.
	NodeEnginesSilent Kind = "node-engines-silent"
	// NodeEnginesLate: traffic between the node and the engines is delayed.
	NodeEnginesLate Kind = "node-engines-late"
)

// Aim selects the node that a fault affects.
type Aim uint8

const (
	// AimTarget selects the node by the fault's Target.
	AimTarget Aim = iota
	// AimLeader selects the node that wrote to the lease last when the fault begins.
	AimLeader
	// AimSameNode selects the node of the last fault whose aim was not AimTarget.
	AimSameNode
)

var aimNames = [...]string{AimTarget: "", AimLeader: "leader", AimSameNode: "the same node"}

// leaderWeights are the weights of the kinds in a series of leader faults.
var leaderWeights = []weightedKind{
	{NodeReadsHang, 3}, {NodeWritesRefused, 3}, {NodeWritesThenReads, 8}, {NodeAnswersLost, 4}, {NodeCallsLate, 3},
	{ClaimsUnanswered, 4}, {NodeFrozenOrdering, 5}, {NodeEnginesSilent, 3}, {NodeEnginesLate, 3},
	{NodeKilled, 2}, {NodeStopped, 2}, {NodeFrozen, 3}, {LinkCut, 2}, {LinkSilent, 3}, {LinkOneWay, 3}, {LinkSlow, 2},
}

const (
	// meanSeriesGap is the mean time between two series in addition to minSeriesGap, in which a leader is
	// elected and sends orders.
	meanSeriesGap = 2 * time.Second
	minSeriesGap  = 3 * time.Second
	// A series has minSeriesFaults to maxSeriesFaults faults, each within maxSeriesStep of the previous
	// one.
	minSeriesFaults = 2
	maxSeriesFaults = 3
	maxSeriesStep   = 2500 * time.Millisecond
	// A fault of a series lasts between minLeaderFault and maxLeaderFault.
	minLeaderFault = 400 * time.Millisecond
	maxLeaderFault = 4 * time.Second
	// concurrentShare is the share of series with an additional fault of any general kind.
	concurrentShare = 0.4
	// sameNodeShare is the share of later faults of a series that affect the same node.
	sameNodeShare = 0.5
	// leaderStream is the PCG stream of leader faults, independent of that of DrawGeneral.
	leaderStream = 2
)

// DrawLeader returns the leader faults of a seed for a run of the given length, in order of time: series
// of two or three faults of the leader, some with a concurrent general fault.
func DrawLeader(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, leaderStream))
	var faults []Fault
	for at := faultFreeStart; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanSeriesGap))
		series := drawSeries(random, at)
		for _, fault := range series {
			if fault.At+fault.Duration <= length-faultFreeEnd {
				faults = append(faults, fault)
			}
			at = max(at, fault.At)
		}
		if at > length {
			break
		}
		at += minSeriesGap
	}
	sortFaults(faults)
	for i := range faults {
		faults[i].Number = i + 1
	}
	return faults
}

// drawSeries draws a series of leader faults and, for some series, a concurrent fault.
func drawSeries(random *rand.Rand, at time.Duration) []Fault {
	var series []Fault
	next := at
	for i := range minSeriesFaults + random.IntN(maxSeriesFaults-minSeriesFaults+1) {
		aim := AimLeader
		if i > 0 && random.Float64() < sameNodeShare {
			aim = AimSameNode
		}
		series = append(series, Fault{
			At: next, Duration: uniformDuration(random, minLeaderFault, maxLeaderFault), Kind: drawKind(leaderWeights, random),
			Target: random.IntN(maxTargets), Aim: aim,
		})
		next += time.Duration(random.Float64() * float64(maxSeriesStep))
	}
	if random.Float64() < concurrentShare {
		series = append(series, Fault{
			At: uniformDuration(random, at, next), Duration: uniformDuration(random, minLeaderFault, maxLeaderFault),
			Kind: drawKind(generalWeights, random), Target: random.IntN(maxTargets),
		})
	}
	return series
}

func uniformDuration(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Float64()*float64(to-from))
}
