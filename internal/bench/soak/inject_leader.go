package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// leaseTime is the nodes' default lease time.
	leaseTime = 1500 * time.Millisecond
	// A node's writes are refused for slightly longer than a lease, during which other nodes claim it.
	minWriteRefusal = leaseTime + 150*time.Millisecond
	maxWriteRefusal = leaseTime + 800*time.Millisecond
	// The node's reads begin to hang between minHangDelay and maxHangDelay after its writes are first
	// refused.
	minHangDelay = 800 * time.Millisecond
	maxHangDelay = leaseTime
	// Traffic between a node and the engines is delayed between minTrafficDelay and maxTrafficDelay,
	// partly beyond the 0.8 s for which a node waits for an engine's answer to an order.
	minTrafficDelay = 200 * time.Millisecond
	maxTrafficDelay = 1200 * time.Millisecond
	// orderWait is how long a freeze waits for the node's next order.
	orderWait = 1500 * time.Millisecond
	// claimWait is how long claims are awaited after a leader was killed.
	claimWait = 2 * leaseTime
	// After a claim, reads hang for minClaimHang plus up to claimHangSpread.
	minClaimHang    = 700 * time.Millisecond
	claimHangSpread = 1700 * time.Millisecond
)

// random returns a random source seeded by the fault's target and time.
func (f Fault) random() *rand.Rand { return rand.New(rand.NewPCG(uint64(f.Target), uint64(f.At))) }

// readEffects are the effects on a node's reads, selected by the fault's target: only lease reads hang,
// all reads hang, or all reads are answered late.
var readEffects = []effect{hangLeaseReads, hangReads, hangLeaseReads, lateReads}

func (f Fault) readEffect() effect { return readEffects[f.Target%len(readEffects)] }

// slowsWrites reports whether writes are slow once they are accepted again: for half of the targets.
func (f Fault) slowsWrites() bool {
	return f.Target/len(readEffects)%2 == 1
}

// applyNodeFault runs a fault of one node's path to the store or the engines, or of its process during an
// order. It returns false if the fault is of another kind.
func (d *deployment) applyNodeFault(ctx context.Context, target *node, fault Fault) bool {
	readEffect := fault.readEffect()
	var run func()
	switch fault.Kind {
	case NodeReadsHang:
		run = func() { target.store.applyFor(ctx, fault.Duration, readEffect) }
	case NodeWritesRefused:
		run = func() { target.store.applyFor(ctx, fault.Duration, refuseWrites) }
	case NodeAnswersLost:
		run = func() { target.store.applyFor(ctx, fault.Duration, loseAnswers, readEffect) }
	case NodeCallsLate:
		run = func() { target.store.applyFor(ctx, fault.Duration, lateWrites) }
	case NodeWritesThenReads:
		run = func() { target.store.refuseWritesThenHangReads(ctx, fault) }
	case NodeEnginesSilent:
		run = func() { d.stallEngineTraffic(ctx, target.number, fault.Duration) }
	case NodeEnginesLate:
		run = func() { d.delayEngineTraffic(ctx, target.number, fault) }
	case NodeFrozenOrdering:
		run = func() { d.freezeBeforeOrder(ctx, target, fault.Duration) }
	case ClaimsUnanswered:
		run = func() { d.loseClaimAnswers(ctx, target, fault) }
	default:
		return false
	}
	d.withDisturbance(target.number, run)
	return true
}

// applyFor keeps effects active for the given time.
func (s *nodeStore) applyFor(ctx context.Context, duration time.Duration, effects ...effect) {
	for _, kind := range effects {
		defer s.begin(kind)()
	}
	retry.Sleep(ctx, duration)
}

// refuseWritesThenHangReads refuses writes for slightly longer than a lease. Reads hang from before the end of
// the refusal until fault.Duration after it.
func (s *nodeStore) refuseWritesThenHangReads(ctx context.Context, fault Fault) {
	random := fault.random()
	hangAfter := uniformDuration(random, minHangDelay, maxHangDelay)
	refusal := uniformDuration(random, minWriteRefusal, maxWriteRefusal)
	endRefusal := s.begin(refuseWrites)
	defer endRefusal()
	retry.Sleep(ctx, hangAfter)
	defer s.begin(fault.readEffect())()
	if fault.slowsWrites() {
		defer s.begin(slowWrites)()
	}
	retry.Sleep(ctx, refusal-hangAfter)
	endRefusal()
	retry.Sleep(ctx, fault.Duration)
}

// freeze stops a node's process for the given time.
func (d *deployment) freeze(ctx context.Context, target *node, duration time.Duration) {
	target.signal(syscall.SIGSTOP)
	retry.Sleep(ctx, duration)
	d.history.recordResumption(target.number)
	target.signal(syscall.SIGCONT)
}

// stallEngineTraffic holds back all traffic between a node and the engines for the given time.
func (d *deployment) stallEngineTraffic(ctx context.Context, node int, duration time.Duration) {
	release := d.pathResolver.paths[node].hold()
	retry.Sleep(ctx, duration)
	d.history.recordResumption(node)
	release()
}

// delayEngineTraffic delays all traffic between a node and the engines.
func (d *deployment) delayEngineTraffic(ctx context.Context, node int, fault Fault) {
	d.pathResolver.paths[node].delay(uniformDuration(fault.random(), minTrafficDelay, maxTrafficDelay))
	retry.Sleep(ctx, fault.Duration)
	d.history.recordResumption(node)
	d.pathResolver.paths[node].delay(0)
}

// freezeBeforeOrder stops a node's process after it recorded an order and before it sends it. If the node
// records none within orderWait, its process is stopped then.
func (d *deployment) freezeBeforeOrder(ctx context.Context, target *node, duration time.Duration) {
	recorded := make(chan struct{})
	target.store.setOnOrder(func() {
		target.signal(syscall.SIGSTOP)
		close(recorded)
	})
	select {
	case <-recorded:
	case <-ctx.Done():
	case <-time.After(orderWait):
	}
	target.store.setOnOrder(nil)
	d.freeze(ctx, target, duration)
}

// loseClaimAnswers kills the leader. The other nodes' next claims take effect but get no answer, and the
// reads of each claimant hang for a while.
func (d *deployment) loseClaimAnswers(ctx context.Context, leader *node, fault Fault) {
	ctx, cancel := context.WithTimeout(ctx, claimWait+minClaimHang+claimHangSpread)
	defer cancel()
	duration := uniformDuration(fault.random(), minClaimHang, minClaimHang+claimHangSpread)
	for _, each := range d.nodes {
		if each == leader {
			continue
		}
		cancelLoss := each.store.loseNextClaim(func() {
			d.wait.Go(func() {
				d.withDisturbance(each.number, func() { each.store.applyFor(ctx, duration, loseAnswers, fault.readEffect()) })
			})
		})
		defer cancelLoss()
	}
	leader.kill()
	<-ctx.Done()
}
