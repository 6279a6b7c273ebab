package leadership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// latestArrival returns when an order that is sent at the end of its permit arrives at the latest.
func latestArrival(granted lease.Permit) time.Time {
	p := granted.(*permit)
	left := p.until.Sub(p.term.elector.now())
	return time.Now().Add(left + lease.MaxTransitTime)
}

// TestQuietPeriodCoversLatestArrival: an order is sent once its record is acknowledged, possibly long after others have
// read the record, and may be in transit for lease.MaxTransitTime.
func TestQuietPeriodCoversLatestArrival(t *testing.T) {
	log := memlog.New()
	const delay = 350 * time.Millisecond // below recordTimeout
	connection := newFaultyLog(log)
	connection.setFaults(appendsAnsweredAfter(delay), readsAnsweredAfter(delay)) // so that the record is not read back earlier
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	second := join(t, log, "b", "b1")
	second.awaitHolder(t, "a1")
	granted := first.permit(t, "ordered")
	arrives := latestArrival(granted)
	first.cancel()
	testwait.Until(t, "b leads", second.leads)
	until := second.lastTerm().QuietUntil("ordered")
	gap := until.Sub(arrives)
	assert.Assert(t, gap >= testTTL, "b may send an order %s after the order of a arrives, want at least the quiet period of %s", gap, testTTL)
}

// TestQuietPeriodCoversOrdersOfPreviousProcess: bytes sent by a process that has ended may arrive together with the
// first orders of its successor.
func TestQuietPeriodCoversOrdersOfPreviousProcess(t *testing.T) {
	log := memlog.New()
	const address = "10.0.0.1:7000"
	first := joinAt(t, log, "a", "a1", address)
	testwait.Until(t, "a leads", first.leads)
	granted := first.permit(t, "ordered")
	first.cancel()
	second := joinAt(t, log, "a", "a2", address)
	testwait.Until(t, "the next process leads", second.leads)
	until := second.lastTerm().QuietUntil("ordered")
	arrives := latestArrival(granted)
	assert.Assert(t, !until.Before(arrives), "an order is allowed %s before the order of the previous process has arrived",
		time.Until(arrives))
}

// TestPreviousProcessLosesLeaseToSuccessor: the previous process on the machine still runs but cannot reach the log.
func TestPreviousProcessLosesLeaseToSuccessor(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	connection.refuse(true)
	second := join(t, log, "a", "a2")
	testwait.Until(t, "the next process leads", second.leads)
	newest := second.lastTerm().Epoch
	assert.Assert(t, !first.elector.Valid(epoch) || !second.elector.Valid(newest), "both hold the lease")
}

// TestQuietPeriodCoversOrdersOfEarlierTerm: the node leads again after another leader that sent no orders. Orders of
// its earlier term may still be in transit.
func TestQuietPeriodCoversOrdersOfEarlierTerm(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	earlier := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	second.awaitHolder(t, "a1")
	granted := first.permit(t, "ordered")
	arrives := latestArrival(granted)
	connection.refuse(true)
	testwait.Until(t, "b leads", second.leads)
	connection.refuse(false)
	second.elector.Stop(t.Context())
	testwait.Until(t, "a leads again", func() bool { return first.leads() && first.lastTerm().Epoch > earlier })
	until := first.lastTerm().QuietUntil("ordered")
	assert.Assert(t, !until.Before(arrives), "an order is allowed although the order of the earlier term may arrive until %s", arrives)
}
