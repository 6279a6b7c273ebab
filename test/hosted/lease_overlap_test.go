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

// Guards against two nodes that send orders to engines at once when the engines check no fencing tokens.
// The log refuses the leader's renewals until another node claims the lease, then accepts them while the
// leader's reads hang: an acknowledged append alone does not prove that the leader's epoch is still in force.
func TestSingleLeaderOrdersDuringPartialLogFailure(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.enginesFence = false
	var engines []*standin.Engine
	for i := range 6 {
		engines = append(engines, d.addModelEngine(fmt.Sprint("e", i), 1, 4, 0))
	}
	d.configure(batchRoute("/batch/"))
	proxy := d.newLogProxy(t)
	d.startWithLog("n0", proxy.address)
	d.publishVersion(2)
	testwait.Until(t, "engines to load version 2", func() bool { return allAtLeast(engines, 2) })
	second := d.start("n1")
	idle := d.orderQuiet + time.Second
	time.Sleep(idle) // no orders, so that the next leader need not wait
	proxy.refuseLeaseAppends(true)
	const readOnly = 400 * time.Millisecond
	time.Sleep(readOnly) // half of a lease, in which the leader still reads
	proxy.hangLeaseReads(true)
	testwait.Until(t, "the other node to lead", func() bool { return strings.Contains(second.logs.String(), "leadership gained") })
	changed := time.Now()
	proxy.refuseLeaseAppends(false)
	const renewal = 250 * time.Millisecond
	time.Sleep(renewal) // lets the first leader send a renewal
	d.publishVersion(3)
	testwait.Until(t, "engines to load version 3", func() bool { return allAtLeast(engines, 3) })
	time.Sleep(renewal) // lets a second order arrive
	for _, engine := range engines {
		assertExclusiveOrders(t, engine, d.orderQuiet)
		for _, order := range engine.Orders() {
			assert.Assert(t, nodeOfHolder(order.Holder) == "n1" || order.At.Before(changed), "%s was ordered by %s, %s after n1 led",
				engine.ID(), order.Holder, order.At.Sub(changed))
		}
	}
}

// assertExclusiveOrders checks that fencing tokens never fall, that no token has two holders, and that orders
// of different nodes keep the minimum gap.
func assertExclusiveOrders(t *testing.T, engine *standin.Engine, minGap time.Duration) {
	t.Helper()
	var before standin.ReceivedOrder
	for _, order := range engine.Orders() {
		if before.Holder != "" {
			assert.Assert(t, order.Fence >= before.Fence, "%s: token %d of %s after %d of %s",
				engine.ID(), order.Fence, order.Holder, before.Fence, before.Holder)
			assert.Assert(t, order.Fence != before.Fence || order.Holder == before.Holder, "%s: token %d of %s and %s",
				engine.ID(), order.Fence, before.Holder, order.Holder)
			gap := order.At.Sub(before.At)
			assert.Assert(t, nodeOfHolder(order.Holder) == nodeOfHolder(before.Holder) || gap >= minGap, "%s: %s orders %s after %s",
				engine.ID(), order.Holder, gap, before.Holder)
		}
		before = order
	}
}
