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

// readSince returns how long after a moment the newest read was answered.
func (e *Elector) readSince(moment time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(moment) - e.now().Sub(e.readAt)
}

// knows waits until a candidate has read the leader's claim.
func (c *candidate) knows(t *testing.T, holder string) {
	t.Helper()
	testwait.Until(t, "it knows that "+holder+" leads", func() bool {
		known, _ := c.elector.Leader()
		return known == holder
	})
}

// overlap counts how often two leases were valid at the same time.
func overlap(one, other *candidate, first, second int64, lasting time.Duration) int {
	count := 0
	for until := time.Now().Add(lasting); time.Now().Before(until); time.Sleep(time.Millisecond) {
		// The older one is checked first: it must have ended before the newer one began.
		if one.elector.Valid(first) && other.elector.Valid(second) {
			count++
		}
	}
	return count
}

// TestARenewalThatTheLogTookAfterAnotherClaimDoesNotHold: for a TTL the log rejects the
// leader's renewals, so another node claims. Then it accepts appends again, while the
// leader's reads hang. An acknowledgement of an unconditional append proves only that the
// record was appended, not that the epoch is in force there.
func TestARenewalThatTheLogTookAfterAnotherClaimDoesNotHold(t *testing.T) {
	log := memlog.New()
	path := newLink(log)
	first := join(t, path, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	second.knows(t, "a1")
	released := make(chan struct{})
	defer close(released)
	path.faults(appendsRefused, nil)
	refused := time.Now()
	testwait.Until(t, "a still reads", func() bool { return first.elector.readSince(refused) > testTTL/2 })
	path.faults(appendsRefused, readsHangUntil(released))
	testwait.Until(t, "b leads", second.leads)
	newer := second.lastTerm().Epoch
	path.faults(nil, readsHangUntil(released))
	found := overlap(first, second, epoch, newer, testTTL)
	ctx, cancel := context.WithTimeout(t.Context(), testTTL)
	defer cancel()
	_, recorded := first.lastTerm().Permit(ctx, "engine")
	assert.Equal(t, found, 0, "two leases held at one time, for about so many milliseconds")
	assert.Assert(t, recorded != nil, "an order of the earlier holder was recorded after the claim of the next one")
}

// TestNoPermitBehindAnotherClaim: the next process of the machine takes the lease over at once, while the
// earlier one's lease is valid by its own clock and its reads hang. Only the log can reject its order.
func TestNoPermitBehindAnotherClaim(t *testing.T) {
	log := memlog.New()
	path := newLink(log)
	const address = "10.0.0.1:7000"
	first := joinAt(t, path, "a", "a1", address)
	testwait.Until(t, "a leads", first.leads)
	released := make(chan struct{})
	defer close(released)
	path.faults(nil, readsHangUntil(released))
	second := joinAt(t, log, "a", "a2", address)
	testwait.Until(t, "the next process leads", second.leads)
	assert.Assert(t, first.elector.Valid(first.lastTerm().Epoch), "the earlier lease ended too soon for this test")
	_, err := first.lastTerm().Permit(t.Context(), "engine")
	assert.Assert(t, err != nil, "an order of the earlier process was recorded after the claim of the next one")
}

// TestALeaseIsCountedFromTheClaimThatTookEffect: a claim takes effect, its answer is lost and
// the reads hang. The claimer retries with claims that cannot win. Once read back, the lease
// counts from the sending of the first claim, since all other nodes count from reading it.
func TestALeaseIsCountedFromTheClaimThatTookEffect(t *testing.T) {
	log := memlog.New()
	path := newLink(log)
	released, claimed := make(chan struct{}), make(chan struct{})
	path.faults(func(_ context.Context, _ lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		_, err := call()
		assert.Check(t, err)
		path.faults(nil, readsHangUntil(released))
		close(claimed)
		return 0, eventlog.ErrOutcomeUnknown
	}, nil)
	first := join(t, path, "a", "a1")
	<-claimed
	second := join(t, log, "b", "b1")
	second.knows(t, "a1")
	_, epoch := second.elector.Leader()
	time.Sleep(testTTL - testTTL/10) // just before b may claim
	path.faults(appendsRefused, nil) // so that a cannot renew
	close(released)
	first.knows(t, "a1")
	never := make(chan struct{})
	defer close(never)
	path.faults(appendsRefused, readsHangUntil(never))
	testwait.Until(t, "b leads", second.leads)
	assert.Equal(t, overlap(first, second, epoch, second.lastTerm().Epoch, testTTL), 0,
		"two leases held at one time, for about so many milliseconds")
}

// TestAnOldAnswerToAReadProvesNothing: answers to reads are delayed, as through a slow node, so
// each shows the log of more than a TTL ago. Appends are rejected until another node leads.
func TestAnOldAnswerToAReadProvesNothing(t *testing.T) {
	log := memlog.New()
	path := newLink(log)
	first := join(t, path, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	const delay = 3 * testTTL
	path.faults(appendsRefused, readsAnsweredAfter(delay))
	testwait.Until(t, "b leads", second.leads)
	path.faults(nil, readsAnsweredAfter(delay))
	assert.Equal(t, overlap(first, second, epoch, second.lastTerm().Epoch, delay), 0, "both hold the lease")
}
