package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// TestOneOfTwoNodesOrdersWhileTheLogHalfWorks.
//
// Seen: on one deployment, whose engines do not check fencing tokens, two nodes acted as the
// one that decides.
//
// How it comes about here: for longer than a lease the log takes none of the leader's renewals,
// so another node claims. Then it takes them again while the leader's reads hang on a connection
// that has gone silent. The leader cannot know of the claim, its renewal is acknowledged, and it
// counts its lease on: both nodes order the engines as soon as a version is named.
//
// Cause: an acknowledgement that names no place in the log was taken for proof that the epoch is
// in force. What proved it: the records of the first leader's orders stand behind the other node's
// claim in the log ("record of an earlier lease"), and its lease had most of its time left.
func TestOneOfTwoNodesOrdersWhileTheLogHalfWorks(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.enginesFence = false
	var engines []*standin.Engine
	for i := range 6 {
		engines = append(engines, d.addModelEngine(fmt.Sprint("e", i), 1, 4, 0))
	}
	d.configure(batchRoute("/batch/"))
	link := d.newLogLink(t)
	d.startThrough("n0", link.address)
	d.nameVersion(2)
	testwait.Until(t, "engines follow the first leader", func() bool { return allFrom(engines, 2) })
	second := d.start("n1")
	quiet := d.orderQuiet + time.Second
	time.Sleep(quiet) // in which nobody orders, so that the next leader need not wait
	link.refuseAppends(true)
	const readOn = 400 * time.Millisecond
	time.Sleep(readOn) // in which the leader still reads: half of a lease
	link.hangReads(true)
	testwait.Until(t, "the other node leads", func() bool { return strings.Contains(second.logs.String(), "leadership gained") })
	changed := time.Now()
	link.refuseAppends(false)
	const renewal = 250 * time.Millisecond
	time.Sleep(renewal) // in which the first leader sends a renewal or two
	d.nameVersion(3)
	testwait.Until(t, "engines follow", func() bool { return allFrom(engines, 3) })
	time.Sleep(renewal) // in which a second order would arrive
	for _, engine := range engines {
		assertOneHolder(t, engine, d.orderQuiet)
		for _, order := range engine.Orders() {
			assert.Assert(t, nodeOf(order.Holder) == "n1" || order.At.Before(changed), "%s was ordered by %s, %s after n1 led",
				engine.ID(), order.Holder, order.At.Sub(changed))
		}
	}
}

// assertOneHolder: no order bears a lower fencing token than one before it, no token has two
// holders, and orders of two nodes lie apart.
func assertOneHolder(t *testing.T, engine *standin.Engine, quiet time.Duration) {
	t.Helper()
	var before standin.OrderSeen
	for _, order := range engine.Orders() {
		if before.Holder != "" {
			assert.Assert(t, order.Fence >= before.Fence, "%s: token %d of %s after %d of %s",
				engine.ID(), order.Fence, order.Holder, before.Fence, before.Holder)
			assert.Assert(t, order.Fence != before.Fence || order.Holder == before.Holder, "%s: token %d of %s and %s",
				engine.ID(), order.Fence, before.Holder, order.Holder)
			gap := order.At.Sub(before.At)
			assert.Assert(t, nodeOf(order.Holder) == nodeOf(before.Holder) || gap >= quiet, "%s: %s orders %s after %s",
				engine.ID(), order.Holder, gap, before.Holder)
		}
		before = order
	}
}
