package leadership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// TestANodeThatStartsLeavesALeaseThatItCannotReadOf: the log has dropped all records when the
// node starts, and the leader is out of reach of it for less than a lease.
func TestANodeThatStartsLeavesALeaseThatItCannotReadOf(t *testing.T) {
	log := memlog.New()
	link := &cutLog{Log: log}
	first := join(t, link, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	link.cut(true)
	partition := eventlog.Partition{Topic: topic}
	log.Trim(partition, log.End(partition))
	second := join(t, log, "b", "b1")
	for first.elector.Valid(epoch) {
		holder, newest := second.elector.Leader()
		held := holder == "b1" && second.elector.Valid(newest)
		assert.Assert(t, !held || !first.elector.Valid(epoch), "b holds the lease with %d beside a with %d", newest, epoch)
		time.Sleep(time.Millisecond)
	}
}
