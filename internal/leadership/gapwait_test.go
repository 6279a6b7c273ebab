package leadership

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// slowReads is a link to a log on which reads wait while the gate is locked.
type slowReads struct {
	eventlog.Log
	gate sync.Mutex
}

func (s *slowReads) pass() {
	s.gate.Lock()
	defer s.gate.Unlock()
}

func (s *slowReads) Read(
	ctx context.Context, name eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	s.pass()
	return s.Log.Read(ctx, name, from, limit, wait)
}

// TestANodeThatMissedRenewalsClaimsNothing: one read of the node takes longer than a lease. When
// it is answered the log has dropped all records, and the leader's next renewal is late.
func TestANodeThatMissedRenewalsClaimsNothing(t *testing.T) {
	log := memlog.New()
	leaders, others := &cutLog{Log: log}, &slowReads{Log: log}
	first := join(t, leaders, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, others, "b", "b1")
	testwait.Until(t, "b knows a", func() bool { holder, _ := second.elector.Leader(); return holder == "a1" })
	others.gate.Lock()
	time.Sleep(testTTL + testTTL/2) // in which b's read waits
	leaders.cut(true)
	partition := eventlog.Partition{Topic: topic}
	log.Trim(partition, log.End(partition))
	others.gate.Unlock()
	for first.elector.Valid(epoch) {
		holder, newest := second.elector.Leader()
		held := holder == "b1" && second.elector.Valid(newest)
		assert.Assert(t, !held || !first.elector.Valid(epoch), "b holds the lease with %d beside a with %d", newest, epoch)
		time.Sleep(time.Millisecond)
	}
}
