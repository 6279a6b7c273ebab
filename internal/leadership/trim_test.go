package leadership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// trimAll removes all lease records from the log.
func trimAll(log *memlog.Log) {
	partition := eventlog.Partition{Topic: topic}
	log.Trim(partition, log.End(partition))
}

// assertNoOverlap checks that the second candidate does not hold the lease while the first does.
func assertNoOverlap(t *testing.T, first, second *candidate, epoch int64) {
	t.Helper()
	for first.elector.Valid(epoch) {
		holder, newest := second.elector.Leader()
		held := holder == "b1" && second.elector.Valid(newest)
		assert.Assert(t, !held || !first.elector.Valid(epoch), "b holds the lease with epoch %d while a holds it with epoch %d", newest, epoch)
		time.Sleep(time.Millisecond)
	}
}

// TestStartingNodeDoesNotClaimAfterTrim: all lease records are trimmed before the node starts, while the leader is
// cut off from the log but its lease is still valid.
func TestStartingNodeDoesNotClaimAfterTrim(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	connection.refuse(true)
	trimAll(log)
	second := join(t, log, "b", "b1")
	assertNoOverlap(t, first, second, epoch)
}

// TestNodeThatMissedTrimmedRenewalsDoesNotClaim: a read hangs for longer than a TTL, and the records are trimmed
// before it is answered.
func TestNodeThatMissedTrimmedRenewalsDoesNotClaim(t *testing.T) {
	log := memlog.New()
	firstLog, secondLog := newFaultyLog(log), newFaultyLog(log)
	first := join(t, firstLog, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, secondLog, "b", "b1")
	second.awaitHolder(t, "a1")
	released := make(chan struct{})
	secondLog.setFaults(nil, readsHangUntil(released))
	time.Sleep(testTTL + testTTL/2) // while b's read hangs
	firstLog.refuse(true)
	trimAll(log)
	close(released)
	assertNoOverlap(t, first, second, epoch)
}
