package livequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counts of tenants that come and go which are kept forever while no request waits: counts were dropped
// only by estimates.
func TestArrivalCountsOfIdleTenantsAreDropped(t *testing.T) {
	q, now := New(roomy), start
	for i := range 10_000 {
		now = now.Add(10 * ms)
		request := Request{Service: "s", Flow: tenant(i), Deadline: now.Add(time.Second)}
		q.Started(q.OfferFree(now, request, func(int) bool { return true }))
	}
	// A count of one is negligible after 4.6 s, in which 460 tenants come, and is dropped up to a second later.
	kept := len(q.services["s"].arrivals.counts)
	assert.Assert(t, kept >= 460 && kept <= 570, "%d", kept)
}
