package leadership

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const testTTL = 600 * time.Millisecond

// candidate is an elector whose role records its terms.
type candidate struct {
	elector *Elector
	cancel  context.CancelFunc

	mu      sync.Mutex
	terms   []Term
	leading bool
}

func (c *candidate) role(ctx context.Context, term Term) {
	c.mu.Lock()
	c.terms, c.leading = append(c.terms, term), true
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.leading = false
	c.mu.Unlock()
}

func (c *candidate) leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading
}

func (c *candidate) lastTerm() Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.terms[len(c.terms)-1]
}

// permit returns a permit for one order to an engine.
func (c *candidate) permit(t *testing.T, engine string) lease.Permit {
	t.Helper()
	granted, err := c.lastTerm().Permit(t.Context(), engine)
	assert.NilError(t, err)
	return granted
}

// join starts a candidate.
func join(t *testing.T, log eventlog.Log, node, holder string) *candidate {
	t.Helper()
	return joinAfter(t, log, node, holder, 0)
}

// joinAfter starts a candidate with a claim delay.
func joinAfter(t *testing.T, log eventlog.Log, node, holder string, delay time.Duration) *candidate {
	t.Helper()
	return joinWith(t, log, Options{Holder: holder, Node: node, ClaimDelay: delay})
}

// joinAt starts a candidate that has bound an address.
func joinAt(t *testing.T, log eventlog.Log, node, holder, address string) *candidate {
	t.Helper()
	return joinWith(t, log, Options{Holder: holder, Node: node, Address: address})
}

func joinWith(t *testing.T, log eventlog.Log, options Options) *candidate {
	t.Helper()
	options.TTL, options.QuietPeriod, options.Logger = testTTL, testTTL, zerolog.Nop()
	c := &candidate{}
	c.elector = New(log, options, c.role)
	ctx, cancel := context.WithCancel(t.Context())
	c.cancel = cancel
	go func() { _ = c.elector.Run(ctx) }()
	t.Cleanup(cancel)
	return c
}

func TestExactlyOneNodeLeads(t *testing.T) {
	log := memlog.New()
	candidates := []*candidate{join(t, log, "a", "a1"), join(t, log, "b", "b1"), join(t, log, "c", "c1")}
	count := func() int {
		leading := 0
		for _, each := range candidates {
			if each.leads() {
				leading++
			}
		}
		return leading
	}
	testwait.Until(t, "one leads", func() bool { return count() == 1 })
	leader, epoch := candidates[0].elector.Leader()
	assert.Assert(t, leader != "" && epoch > 0)
}

func TestFailoverWhenLeaderDies(t *testing.T) {
	log := memlog.New()
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	second := join(t, log, "b", "b1")
	first.permit(t, "ordered")
	recorded := time.Now()
	first.cancel()
	testwait.Until(t, "b leads", second.leads)
	assert.Assert(t, second.lastTerm().Epoch > first.lastTerm().Epoch)
	until := second.lastTerm().QuietUntil("ordered")
	assert.Assert(t, !until.Before(recorded.Add(testTTL)), "the quiet period after the order of a is too short")
	assert.Assert(t, second.lastTerm().QuietUntil("another").IsZero(), "quiet period for an engine without an order")
}

// TestRestartedProcessTakesOverImmediately: a process that has bound the previous holder's address need not wait for
// the TTL, since that holder has ended.
func TestRestartedProcessTakesOverImmediately(t *testing.T) {
	log := memlog.New()
	const address = "10.0.0.1:7000"
	first := joinAt(t, log, "a", "a1", address)
	testwait.Until(t, "a leads", first.leads)
	first.cancel()
	testwait.Until(t, "a has ended", func() bool { return !first.leads() })
	// b waits for the TTL, so a2 claims before it only if it does not wait.
	join(t, log, "b", "b1")
	second := joinAt(t, log, "a", "a2", address)
	testwait.Until(t, "the next process leads", second.leads)
}

// TestClaimDelayYieldsToOtherNodes checks that a node with a claim delay leads only if no other node claims.
func TestClaimDelayYieldsToOtherNodes(t *testing.T) {
	log := memlog.New()
	const delay = 2 * time.Second
	weak := joinAfter(t, log, "weak", "weak1", delay)
	able := join(t, log, "able", "able1")
	testwait.Until(t, "the able node leads", able.leads)
	able.elector.Stop(t.Context())
	able.cancel()
	testwait.Until(t, "the weak node leads", weak.leads)
}

func TestStopHandsOverLeadership(t *testing.T) {
	log := memlog.New()
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	second := join(t, log, "b", "b1")
	first.elector.Stop(t.Context())
	testwait.Until(t, "b leads", second.leads)
	assert.Assert(t, !first.elector.Valid(first.lastTerm().Epoch))
}

// TestPartitionedLeaderLosesLease cuts only the leader off from the log. Its role continues without permits until it
// reads the other node's claim.
func TestPartitionedLeaderLosesLease(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	second := join(t, log, "b", "b1")
	connection.refuse(true)
	testwait.Until(t, "b leads", second.leads)
	assert.Assert(t, !first.elector.Valid(first.lastTerm().Epoch), "the lease of a is still valid")
	connection.refuse(false)
	testwait.Until(t, "a learns of b", func() bool { holder, _ := first.elector.Leader(); return holder == "b1" })
	testwait.Until(t, "a stops", func() bool { return !first.leads() })
	assert.Assert(t, second.leads())
}

// TestLeaderKeepsLeaseWhenAppendAnswersAreLost: renewals take effect once they are read back.
func TestLeaderKeepsLeaseWhenAppendAnswersAreLost(t *testing.T) {
	log := memlog.New()
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	log.SetFault(func(call memlog.Call) memlog.Fault {
		if call.Append {
			return memlog.LostResponse
		}
		return memlog.None
	})
	from := log.End(eventlog.Partition{Topic: topic})
	testwait.Until(t, "many renewals", func() bool { return log.End(eventlog.Partition{Topic: topic}) > from+4*renewalsPerTTL })
	assert.Assert(t, first.elector.Valid(epoch))
	assert.Equal(t, len(first.terms), 1)
}

// TestLogOutageKeepsLeadership makes the log unavailable for longer than a TTL: the leader may send no orders
// meanwhile, and continues to lead afterwards.
func TestLogOutageKeepsLeadership(t *testing.T) {
	log := memlog.New()
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	second.awaitHolder(t, "a1")
	log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	testwait.Until(t, "the lease of a has expired", func() bool { return !first.elector.Valid(epoch) })
	time.Sleep(2 * testTTL) // duration of the outage
	assert.Assert(t, first.leads(), "the role ended in the outage")
	log.SetFault(nil)
	testwait.Until(t, "the lease of a is valid again", func() bool { return first.elector.Valid(epoch) })
	assert.Assert(t, first.leads() && !second.leads())
	holder, newest := second.elector.Leader()
	assert.Equal(t, holder, "a1")
	assert.Equal(t, newest, epoch)
}

// suspendableClock simulates a clock that advances while the machine is suspended.
type suspendableClock struct{ suspended atomic.Int64 }

func (c *suspendableClock) now() time.Time {
	return boottime.Now().Add(time.Duration(c.suspended.Load()))
}

// suspend advances this clock without letting real time pass.
func (c *suspendableClock) suspend(duration time.Duration) { c.suspended.Add(int64(duration)) }

// TestLeaseExpiresDuringSuspension: Go's monotonic clock stops during suspension, and reads fail after the resume.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	clock := &suspendableClock{}
	first := &candidate{}
	first.elector = New(connection, Options{
		Holder: "a1", Node: "a", TTL: testTTL, QuietPeriod: testTTL, Logger: zerolog.Nop(),
	}, first.role)
	first.elector.now = clock.now
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = first.elector.Run(ctx) }()
	testwait.Until(t, "a leads", func() bool { return first.leads() && first.elector.Valid(first.lastTerm().Epoch) })
	epoch := first.lastTerm().Epoch
	connection.setFaults(nil, readsRefused)
	clock.suspend(testTTL)
	assert.Assert(t, !first.elector.Valid(epoch), "the lease is still valid after the suspension")
	time.Sleep(testTTL) // long enough for a renewal without a read
	assert.Assert(t, !first.elector.Valid(epoch), "the lease was renewed without a read")
	connection.setFaults(nil, nil)
	testwait.Until(t, "the lease of a is valid again", func() bool { return first.elector.Valid(epoch) })
}
