package leadership

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// TestPermitRespectsOrderReadDuringAppend: a node of an older version, which appends unconditionally, records an
// order after the next holder's claim. The next holder reads it only when its own append conflicts.
func TestPermitRespectsOrderReadDuringAppend(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	earlier := first.lastTerm().Epoch
	first.elector.Stop(t.Context())
	first.cancel()
	second := join(t, connection, "b", "b1")
	testwait.Until(t, "b leads", second.leads)
	raw, err := msgpack.Marshal(&lease.Record{Kind: lease.Order, Holder: "a1", Node: "a", Epoch: earlier, Engines: []string{"e"}})
	assert.NilError(t, err)
	var once sync.Once
	connection.setFaults(func(ctx context.Context, record lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		if record.Kind == lease.Order {
			once.Do(func() { _, _ = log.Append(ctx, eventlog.Partition{Topic: topic}, [][]byte{raw}) })
		}
		return call()
	}, nil)
	_, err = second.lastTerm().Permit(t.Context(), "e")
	until := second.lastTerm().QuietUntil("e")
	assert.Assert(t, err != nil || !time.Now().Before(until), "permit given, quiet for another %s", time.Until(until))
}

// TestUnexplainedConflictDoesNotSpin guards against a retry loop when a conflict reports the offset that the append
// expected.
func TestUnexplainedConflictDoesNotSpin(t *testing.T) {
	connection := newFaultyLog(memlog.New())
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	var count atomic.Int64
	connection.setFaults(func(_ context.Context, _ lease.Record, at int64, _ func() (int64, error)) (int64, error) {
		count.Add(1)
		return 0, &eventlog.ConflictError{End: at}
	}, nil)
	time.Sleep(time.Second)
	const maxAppends = 100
	assert.Assert(t, count.Load() < maxAppends, "%d appends in a second", count.Load())
}

// TestHeldTimeEndsWhenRecordIsComposed: the machine may be suspended between two clock readings, so the end of the
// held time and the start of the permit must be the same reading.
func TestHeldTimeEndsWhenRecordIsComposed(t *testing.T) {
	elector := New(memlog.New(), Options{Holder: "a1", Node: "a", TTL: testTTL}, nil)
	clock := elector.now()
	elector.now = func() time.Time {
		clock = clock.Add(time.Second)
		return clock
	}
	elector.state.Apply(elector.state.NewClaim("a", "a1", ""), clock)
	elector.termStart = clock
	next, err := elector.compose(elector.state.Epoch, lease.Order, []string{"engine"})
	assert.NilError(t, err)
	assert.Equal(t, next.record.Held, next.pending.sent.Sub(elector.termStart))
}

// TestStopReturnsWhenReleaseIsUnanswered: the release takes effect, but its answer is lost.
func TestStopReturnsWhenReleaseIsUnanswered(t *testing.T) {
	connection := newFaultyLog(memlog.New())
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	connection.setFaults(func(_ context.Context, _ lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		_, _ = call()
		return 0, eventlog.ErrOutcomeUnknown
	}, nil)
	const limit = 10 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	first.elector.Stop(ctx)
	assert.NilError(t, ctx.Err(), "Stop waited for the answer until its context expired")
}

// TestStoppedNodeDoesNotClaim: the node stops during its claim delay.
func TestStoppedNodeDoesNotClaim(t *testing.T) {
	log := memlog.New()
	const delay = 200 * time.Millisecond
	first := joinAfter(t, log, "a", "a1", delay)
	testwait.Until(t, "a has read the log", func() bool {
		first.elector.mu.Lock()
		defer first.elector.mu.Unlock()
		return !first.elector.contactSince.IsZero()
	})
	first.elector.Stop(t.Context())
	time.Sleep(2 * delay) // longer than the claim delay
	assert.Equal(t, log.End(eventlog.Partition{Topic: topic}), int64(0), "the node claimed the lease after it had stopped")
}

// TestRenewalContinuesWhileReadHangs: a renewal's answer is lost, so the next one conflicts, and the tail's
// read hangs.
func TestRenewalContinuesWhileReadHangs(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	// The first read never returns, all later ones work.
	var hung atomic.Bool
	lost := make(chan struct{})
	var once sync.Once
	connection.setFaults(func(ctx context.Context, _ lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		offset, err := call()
		select {
		case <-lost:
			return offset, err
		default:
			once.Do(func() { close(lost) })
			return 0, eventlog.ErrOutcomeUnknown
		}
	}, func(ctx context.Context, call func() (eventlog.Batch, error)) (eventlog.Batch, error) {
		if hung.CompareAndSwap(false, true) {
			<-ctx.Done()
			return eventlog.Batch{}, ctx.Err()
		}
		return call()
	})
	<-lost
	epoch := first.lastTerm().Epoch
	for until := time.Now().Add(2 * testTTL / 3); time.Now().Before(until); time.Sleep(time.Millisecond) {
		assert.Assert(t, first.elector.Valid(epoch), "the lease ended although the log accepts its renewals")
	}
}

// TestClaimTakesEffectWhenAnswerIsLost: the node leads once it has read the claim back, before the append times out.
func TestClaimTakesEffectWhenAnswerIsLost(t *testing.T) {
	log := memlog.New()
	const hang = 1500 * time.Millisecond
	claimsUnanswered := func(ctx context.Context, record lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		offset, err := call()
		if record.Kind != lease.Claim {
			return offset, err
		}
		retry.Sleep(ctx, hang)
		return 0, eventlog.ErrOutcomeUnknown
	}
	began := time.Now()
	var all []*candidate
	for _, node := range []string{"a", "b", "c"} {
		connection := newFaultyLog(log)
		connection.setFaults(claimsUnanswered, nil)
		all = append(all, join(t, connection, node, node+"1"))
	}
	var led time.Duration
	for time.Since(began) < 6*time.Second && led == 0 {
		for _, each := range all {
			if each.leads() && each.elector.Valid(each.lastTerm().Epoch) {
				led = time.Since(began)
			}
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, led > 0 && led < hang, "led after %s", led)
}
