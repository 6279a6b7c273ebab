package leadership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// forget trims all records of the lease.
func forget(log *memlog.Log) {
	partition := eventlog.Partition{Topic: topic}
	log.Trim(partition, log.End(partition))
}

// assertAlone checks that the second holds no lease while the first does.
func assertAlone(t *testing.T, first, second *candidate, epoch int64) {
	t.Helper()
	for first.elector.Valid(epoch) {
		holder, newest := second.elector.Leader()
		held := holder == "b1" && second.elector.Valid(newest)
		assert.Assert(t, !held || !first.elector.Valid(epoch), "b holds the lease with %d beside a with %d", newest, epoch)
		time.Sleep(time.Millisecond)
	}
}

// TestANodeThatStartsLeavesALeaseThatItCannotReadOf: the log has dropped all records when the
// node starts, and the leader has no contact with it for less than a TTL.
func TestANodeThatStartsLeavesALeaseThatItCannotReadOf(t *testing.T) {
	log := memlog.New()
	path := newLink(log)
	first := join(t, path, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	path.refuse(true)
	forget(log)
	second := join(t, log, "b", "b1")
	assertAlone(t, first, second, epoch)
}

// TestANodeThatMissedRenewalsClaimsNothing: a read of the node takes longer than a TTL. When it is
// answered the log has dropped all records, and the leader's next renewal is late.
func TestANodeThatMissedRenewalsClaimsNothing(t *testing.T) {
	log := memlog.New()
	leaders, others := newLink(log), newLink(log)
	first := join(t, leaders, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, others, "b", "b1")
	second.knows(t, "a1")
	released := make(chan struct{})
	others.faults(nil, readsHangUntil(released))
	time.Sleep(testTTL + testTTL/2) // in which b's read waits
	leaders.refuse(true)
	forget(log)
	close(released)
	assertAlone(t, first, second, epoch)
}
