package leadership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// latestArrival returns the latest arrival of an order that is sent at the last moment.
func latestArrival(given lease.Permit) time.Time {
	last := given.(*permit)
	left := last.until.Sub(last.term.elector.now())
	return time.Now().Add(left + lease.InFlight)
}

// TestQuietTimeFollowsTheLatestArrivalOfAnOrder: an order is sent once its record is
// acknowledged, which may be long after others have read it, and arrives up to a call's
// duration after that.
func TestQuietTimeFollowsTheLatestArrivalOfAnOrder(t *testing.T) {
	log := memlog.New()
	const delay = 350 * time.Millisecond // below the timeout of a record
	path := newLink(log)
	path.faults(appendsAnsweredAfter(delay), readsAnsweredAfter(delay)) // the record is not read back sooner
	first := join(t, path, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	second := join(t, log, "b", "b1")
	second.knows(t, "a1")
	given := first.permit(t, "ordered")
	arrives := latestArrival(given)
	first.cancel()
	testwait.Until(t, "b leads", second.leads)
	until := second.lastTerm().QuietUntil("ordered")
	gap := until.Sub(arrives)
	assert.Assert(t, gap >= testTTL, "b may order %s after the order of a arrives, quiet is %s", gap, testTTL)
}

// TestQuietTimeFollowsAnOrderOfAnEarlierProcess: bytes of a process that has ended may arrive
// together with the first orders of the next one, which have a higher fencing token.
func TestQuietTimeFollowsAnOrderOfAnEarlierProcess(t *testing.T) {
	log := memlog.New()
	const address = "10.0.0.1:7000"
	first := joinAt(t, log, "a", "a1", address)
	testwait.Until(t, "a leads", first.leads)
	given := first.permit(t, "ordered")
	first.cancel()
	second := joinAt(t, log, "a", "a2", address)
	testwait.Until(t, "the next process leads", second.leads)
	until := second.lastTerm().QuietUntil("ordered")
	arrives := latestArrival(given)
	assert.Assert(t, !until.Before(arrives), "may order %s before the order of the earlier process has arrived",
		time.Until(arrives))
}

// TestAnEarlierProcessOfTheMachineMayNotActBesideTheNext: the earlier process still runs, and its
// reads hang.
func TestAnEarlierProcessOfTheMachineMayNotActBesideTheNext(t *testing.T) {
	log := memlog.New()
	path := newLink(log)
	first := join(t, path, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	path.refuse(true)
	second := join(t, log, "a", "a2")
	testwait.Until(t, "the next process leads", second.leads)
	newest := second.lastTerm().Epoch
	assert.Assert(t, !first.elector.Valid(epoch) || !second.elector.Valid(newest), "both hold the lease")
}

// TestQuietTimeFollowsAnOrderOfAnEarlierTerm: the node leads again after a leader that ordered
// nothing. Orders of its earlier term may still be in transit.
func TestQuietTimeFollowsAnOrderOfAnEarlierTerm(t *testing.T) {
	log := memlog.New()
	path := newLink(log)
	first := join(t, path, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	earlier := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	second.knows(t, "a1")
	given := first.permit(t, "ordered")
	arrives := latestArrival(given)
	path.refuse(true)
	testwait.Until(t, "b leads", second.leads)
	path.refuse(false)
	second.elector.Stop(t.Context())
	testwait.Until(t, "a leads again", func() bool { return first.leads() && first.lastTerm().Epoch > earlier })
	until := first.lastTerm().QuietUntil("ordered")
	assert.Assert(t, !until.Before(arrives), "may order although the order of the earlier term may arrive until %s", arrives)
}
