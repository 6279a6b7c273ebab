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

// Guards against a request that is refused because of what waits for engines that it does not use: 10 tenants of
// another region made its expected wait 2.25 s instead of 25 ms.
func TestRequestsOfOtherRegionsAreNotAhead(t *testing.T) {
	for _, urgent := range []int{0, 1} {
		q := New(roomy)
		full := func(*Request) Capacity { return fullCapacity(1) }
		for i := range 10 {
			for range 3 {
				south := regionRequest(tenant(i), "south", 950*ms)
				south.Priority = 1 - urgent
				q.Offer(start, south, full)
			}
		}
		north := regionRequest("z", "north", 200*ms)
		north.Priority = 1
		entry, _ := q.Offer(start, north, full)
		assert.Equal(t, entry.State, Waiting)
		assert.Equal(t, entry.Basis.Ahead, 0)
		assert.Equal(t, entry.Basis.Expected, 25*ms)
		request := regionRequest("y", "", 900*ms)
		request.Priority = 1
		anywhere, _ := q.Offer(start, request, full)
		assert.Assert(t, anywhere.Basis.Ahead >= 10, "%d", anywhere.Basis.Ahead)
	}
}

// Guards against recent requests of other regions that count as requests which will overtake a waiting one.
func TestArrivalsOfOtherRegionsDoNotLengthenTheEstimate(t *testing.T) {
	q := New(roomy)
	for i := range 400 {
		q.OfferFree(start.Add(time.Duration(i)*ms), regionRequest("a", "south", time.Second), func(int) bool { return true })
	}
	full := func(*Request) Capacity { return fullCapacity(1) }
	now := start.Add(400 * ms)
	south, _ := q.Offer(now, regionRequest("z", "south", 2*time.Second), full)
	assert.Assert(t, south.Basis.Expected > 40*ms, "%s", south.Basis.Expected)
	q.Abandon(south)
	north, _ := q.Offer(now, regionRequest("z", "north", 2*time.Second), full)
	assert.Equal(t, north.Basis.Expected, 25*ms)
}

// Guards against retry times that count what waits for other engines.
func TestRetryTimesDoNotCountOtherRegions(t *testing.T) {
	q := New(roomy)
	full := func(*Request) Capacity { return fullCapacity(1) }
	for range 20 {
		q.Offer(start, regionRequest("a", "south", time.Second), full)
	}
	north := regionRequest("z", "north", time.Second)
	assert.Equal(t, q.RetryAfter(start, &north, fullCapacity(1)), MinRetryAfter)
}

// Guards against a request that is refused for its short deadline although its engines have free slots, because another
// region's engine is full. Without a queue it would be sent.
func TestRequestWithAFreeSlotIsNotRefusedWhileOthersWait(t *testing.T) {
	capacityOf := func(request *Request) Capacity {
		if request.Class == "south" {
			return fullCapacity(1)
		}
		return oneFreeSlot(request)
	}
	north := regionRequest("a", "north", 20*ms) // less than the mean response time
	anywhere := regionRequest("a", "", 20*ms)
	q := New(roomy)
	south, _ := q.Offer(start, regionRequest("a", "south", time.Second), capacityOf)
	assert.Equal(t, south.State, Waiting)
	entry, _ := q.Offer(start, north, capacityOf)
	assert.Equal(t, entry.State, Granted)
	q.Abandon(entry)
	entry = q.OfferFree(start, north, func(moreThan int) bool { return moreThan < 1 })
	assert.Equal(t, entry.State, Granted)
	q.Abandon(entry)
	entry = q.OfferFree(start, anywhere, func(int) bool { return true })
	assert.Assert(t, entry == nil, "the other request may come first")
	entry, changes := q.Offer(start, anywhere, capacityOf)
	assert.Equal(t, entry.State, Granted)
	assert.Equal(t, entry.Reason, NotRefused)
	assert.Equal(t, len(changes.Granted)+len(changes.Refused), 0)
	entry, _ = q.Offer(start, anywhere, capacityOf)
	assert.Equal(t, entry.Reason, Hopeless, "the slot is granted")
}
