package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// leaseTime is the nodes' default time of a lease.
	leaseTime = 1500 * time.Millisecond
	// A node's writes are refused for a bit more than a lease: others claim it in the
	// time between shortestRefusal and longestRefusal.
	shortestRefusal = leaseTime + 150*time.Millisecond
	longestRefusal  = leaseTime + 800*time.Millisecond
	// Its reads hang from earliestHang after the begin of that on, latestHang at the latest.
	earliestHang = 800 * time.Millisecond
	latestHang   = leaseTime
	// What a node sends the engines arrives between leastDelay and mostDelay late: some of
	// it after the 0.8 s for which a node waits for an engine's answer to an order.
	leastDelay = 200 * time.Millisecond
	mostDelay  = 1200 * time.Millisecond
	// orderWait is how long a freeze waits for an order of the node that it is to strike.
	orderWait = 1500 * time.Millisecond
	// claimWait is how long after the end of a leader claims are waited for.
	claimWait = 2 * leaseTime
	// claimHang is how long reads hang after a claim, claimSpread more at most.
	claimHang   = 700 * time.Millisecond
	claimSpread = 1700 * time.Millisecond
)

// random returns the draws of a fault's details, which follow from its target.
func (f Fault) random() *rand.Rand { return rand.New(rand.NewPCG(uint64(f.Target), uint64(f.At))) }

// hangs are what becomes of a node's reads under a fault, chosen by its target: those of
// the lease hang alone, all do, or all are answered late.
var hangs = []effect{hangLeaseReads, hangReads, hangLeaseReads, lateReads}

func (f Fault) hang() effect { return hangs[f.Target%len(hangs)] }

// slow tells whether writes that work again are slow: for half of the targets.
func (f Fault) slow() bool {
	return f.Target/len(hangs)%2 == 1
}

// strikeNode is a fault of one node's way to the store, or of its process amid an order,
// from its begin to its end; false where the kind is another.
func (d *deployment) strikeNode(ctx context.Context, target *node, fault Fault) bool {
	hang := fault.hang()
	var strike func()
	switch fault.Kind {
	case NodeReadsHang:
		strike = func() { target.store.suffer(ctx, fault.For, hang) }
	case NodeWritesRefused:
		strike = func() { target.store.suffer(ctx, fault.For, refuseWrites) }
	case NodeAnswersLost:
		strike = func() { target.store.suffer(ctx, fault.For, loseAnswers, hang) }
	case NodeCallsLate:
		strike = func() { target.store.suffer(ctx, fault.For, lateWrites) }
	case NodeWritesThenReads:
		strike = func() { target.store.writesThenReads(ctx, fault) }
	case EnginesSilent:
		strike = func() { d.holdEngines(ctx, target.number, fault.For) }
	case EnginesLate:
		strike = func() { d.delayEngines(ctx, target.number, fault) }
	case FrozenOrdering:
		strike = func() { d.freezeOrdering(ctx, target, fault.For) }
	case ClaimsUnanswered:
		strike = func() { d.loseClaims(ctx, target, fault) }
	default:
		return false
	}
	d.disturbed(target.number, strike)
	return true
}

// suffer has some effects for a time.
func (s *nodeStore) suffer(ctx context.Context, lasting time.Duration, kinds ...effect) {
	for _, kind := range kinds {
		defer s.begin(kind)()
	}
	retry.Sleep(ctx, lasting)
}

// writesThenReads refuses writes for a bit more than a lease, then they work; reads hang
// from before the end of that to fault.For after it.
func (s *nodeStore) writesThenReads(ctx context.Context, fault Fault) {
	random := fault.random()
	hangAfter := between(random, earliestHang, latestHang)
	refusal := between(random, shortestRefusal, longestRefusal)
	admit := s.begin(refuseWrites)
	defer admit()
	retry.Sleep(ctx, hangAfter)
	defer s.begin(fault.hang())()
	if fault.slow() {
		defer s.begin(slowWrites)()
	}
	retry.Sleep(ctx, refusal-hangAfter)
	admit()
	retry.Sleep(ctx, fault.For)
}

// freeze stops a node's process for a time.
func (d *deployment) freeze(ctx context.Context, target *node, lasting time.Duration) {
	target.signal(syscall.SIGSTOP)
	retry.Sleep(ctx, lasting)
	d.history.resume(target.number)
	target.signal(syscall.SIGCONT)
}

// holdEngines keeps back what a node and the engines send each other.
func (d *deployment) holdEngines(ctx context.Context, node int, lasting time.Duration) {
	release := d.senders.ways[node].hold()
	retry.Sleep(ctx, lasting)
	d.history.resume(node)
	release()
}

// delayEngines has what a node and the engines send each other arrive late.
func (d *deployment) delayEngines(ctx context.Context, node int, fault Fault) {
	d.senders.ways[node].delay(between(fault.random(), leastDelay, mostDelay))
	retry.Sleep(ctx, fault.For)
	d.history.resume(node)
	d.senders.ways[node].delay(0)
}

// freezeOrdering stops a node's process when it has recorded an order that it is about
// to send.
func (d *deployment) freezeOrdering(ctx context.Context, target *node, lasting time.Duration) {
	ordering := make(chan struct{})
	target.store.setTrap(func() {
		target.signal(syscall.SIGSTOP)
		close(ordering)
	})
	select {
	case <-ordering:
	case <-ctx.Done():
	case <-time.After(orderWait):
	}
	target.store.setTrap(nil)
	d.freeze(ctx, target, lasting)
}

// loseClaims kills the node that leads; the other nodes' next claims take effect without
// an answer, and the reads of the one that claimed hang for a while.
func (d *deployment) loseClaims(ctx context.Context, leader *node, fault Fault) {
	ctx, cancel := context.WithTimeout(ctx, claimWait+claimHang+claimSpread)
	defer cancel()
	lasting := between(fault.random(), claimHang, claimHang+claimSpread)
	for _, each := range d.nodes {
		if each == leader {
			continue
		}
		forget := each.store.loseNextClaim(func() {
			d.wait.Go(func() {
				d.disturbed(each.number, func() { each.store.suffer(ctx, lasting, loseAnswers, fault.hang()) })
			})
		})
		defer forget()
	}
	leader.kill()
	<-ctx.Done()
}
