package livequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// regionRequest returns a request that only engines of one region may run; of any region for "".
func regionRequest(flow, region string, left time.Duration) Request {
	return Request{
		Service: "s", Flow: flow, Class: region, Regions: regionsOf(region), Deadline: start.Add(left),
	}
}

// oneFreeSlot is the capacity of idle engines with one slot in all.
func oneFreeSlot(*Request) Capacity {
	return Capacity{Candidates: 1, Slots: 1, Free: 1, Response: 25 * ms, ResponseKnown: true}
}

// Guards against a request that waits, or is refused, although its region's engine is idle, while a slot is granted in
// another region.
func TestGrantedSlotCountsOnlyInItsRegions(t *testing.T) {
	q := New(roomy)
	offer := func(region string) *Entry {
		entry, _ := q.Offer(start, regionRequest("a", region, time.Second), oneFreeSlot)
		return entry
	}
	assert.Equal(t, offer("north").State, Granted)
	south := offer("south")
	assert.Equal(t, south.State, Granted)
	assert.Equal(t, offer("south").State, Waiting)
	assert.Equal(t, offer("").State, Waiting, "it may use both granted slots")
}

// Guards against a slot that counts everywhere although it is known to be used in one region, and against one that is
// not held there.
func TestSlotIsHeldOnlyInTheRegionsWhereItIsUsed(t *testing.T) {
	q := New(roomy)
	hasOne := func(moreThan int) bool { return moreThan < 1 }
	anywhere := q.OfferFree(start, regionRequest("a", "", time.Second), hasOne)
	assert.Assert(t, q.OfferFree(start, regionRequest("a", "north", time.Second), hasOne) == nil)
	q.HoldIn(anywhere, regionsOf("south"))
	north := q.OfferFree(start, regionRequest("a", "north", time.Second), hasOne)
	assert.Equal(t, north.State, Granted)
	assert.Assert(t, q.OfferFree(start, regionRequest("a", "south", time.Second), hasOne) == nil)
	q.Abandon(anywhere)
	q.HoldIn(anywhere, regionsOf("south"))
	south := q.OfferFree(start, regionRequest("a", "south", time.Second), hasOne)
	assert.Equal(t, south.State, Granted, "the slot was returned")
	q.Started(north)
	q.Started(south)
	assert.Equal(t, len(q.services["s"].granted), 0)
}
