package leadership

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// lastReadAfter returns how long after the given time the last read was answered.
func (e *Elector) lastReadAfter(moment time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(moment) - e.now().Sub(e.readAt)
}

// awaitHolder waits until the candidate has read the holder's claim.
func (c *candidate) awaitHolder(t *testing.T, holder string) {
	t.Helper()
	testwait.Until(t, "the candidate knows that "+holder+" leads", func() bool {
		known, _ := c.elector.Leader()
		return known == holder
	})
}

// overlap polls both leases once a millisecond and returns how often both were valid.
func overlap(older, newer *candidate, olderEpoch, newerEpoch int64, duration time.Duration) int {
	count := 0
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(time.Millisecond) {
		// The older lease is checked first, since it must have ended before the newer one began.
		if older.elector.Valid(olderEpoch) && newer.elector.Valid(newerEpoch) {
			count++
		}
	}
	return count
}

// TestRenewalAfterAnotherClaimDoesNotExtendLease: the log rejects the leader's renewals until another node
// claims, then accepts appends again while the leader's reads hang.
func TestRenewalAfterAnotherClaimDoesNotExtendLease(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	second.awaitHolder(t, "a1")
	released := make(chan struct{})
	defer close(released)
	connection.setFaults(appendsRefused, nil)
	refused := time.Now()
	testwait.Until(t, "a still reads", func() bool { return first.elector.lastReadAfter(refused) > testTTL/2 })
	connection.setFaults(appendsRefused, readsHangUntil(released))
	testwait.Until(t, "b leads", second.leads)
	newest := second.lastTerm().Epoch
	connection.setFaults(nil, readsHangUntil(released))
	overlaps := overlap(first, second, epoch, newest, testTTL)
	ctx, cancel := context.WithTimeout(t.Context(), testTTL)
	defer cancel()
	_, err := first.lastTerm().Permit(ctx, "engine")
	assert.Equal(t, overlaps, 0, "two leases valid at the same time, for about this many milliseconds")
	assert.Assert(t, err != nil, "an order of the earlier holder was recorded after the claim of the next one")
}

// TestNoPermitAfterSupersedingClaim: the next process on the machine takes over while the previous one considers its
// lease valid and its reads hang. Only the conditional append can reject its order.
func TestNoPermitAfterSupersedingClaim(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	const address = "10.0.0.1:7000"
	first := joinAt(t, connection, "a", "a1", address)
	testwait.Until(t, "a leads", first.leads)
	released := make(chan struct{})
	defer close(released)
	connection.setFaults(nil, readsHangUntil(released))
	second := joinAt(t, log, "a", "a2", address)
	testwait.Until(t, "the next process leads", second.leads)
	assert.Assert(t, first.elector.Valid(first.lastTerm().Epoch), "the earlier lease ended too soon for this test")
	_, err := first.lastTerm().Permit(t.Context(), "engine")
	assert.Assert(t, err != nil, "an order of the earlier process was recorded after the claim of the next one")
}

// TestLeaseCountsFromEffectiveClaim: a claim takes effect, its answer is lost and reads hang, so the node retries. Its
// lease counts from when the first claim was sent, since other nodes count from reading that one.
func TestLeaseCountsFromEffectiveClaim(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	released, claimed := make(chan struct{}), make(chan struct{})
	connection.setFaults(func(_ context.Context, _ lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		_, err := call()
		assert.Check(t, err)
		connection.setFaults(nil, readsHangUntil(released))
		close(claimed)
		return 0, eventlog.ErrOutcomeUnknown
	}, nil)
	first := join(t, connection, "a", "a1")
	<-claimed
	second := join(t, log, "b", "b1")
	second.awaitHolder(t, "a1")
	_, epoch := second.elector.Leader()
	time.Sleep(testTTL - testTTL/10)          // just before b may claim
	connection.setFaults(appendsRefused, nil) // so that a cannot renew
	close(released)
	first.awaitHolder(t, "a1")
	never := make(chan struct{})
	defer close(never)
	connection.setFaults(appendsRefused, readsHangUntil(never))
	testwait.Until(t, "b leads", second.leads)
	assert.Equal(t, overlap(first, second, epoch, second.lastTerm().Epoch, testTTL), 0,
		"two leases valid at the same time, for about this many milliseconds")
}

// TestDelayedReadDoesNotExtendLease: each read answer shows the log of more than a TTL ago, and appends are rejected
// until another node leads.
func TestDelayedReadDoesNotExtendLease(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	const delay = 3 * testTTL
	connection.setFaults(appendsRefused, readsAnsweredAfter(delay))
	testwait.Until(t, "b leads", second.leads)
	connection.setFaults(nil, readsAnsweredAfter(delay))
	assert.Equal(t, overlap(first, second, epoch, second.lastTerm().Epoch, delay), 0, "both hold the lease")
}
