package livequeue

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func fullCapacity(slots int) Capacity {
	return Capacity{
		Candidates: slots, Slots: slots, Occupied: slots, Own: slots, Response: 25 * ms, ResponseKnown: true,
	}
}

// Guards against refused clients that return together: at 160 slots a second, they return 6.25 ms apart.
func TestRetryTimesAreSpreadAtTheRateOfFreeSlots(t *testing.T) {
	q := New(roomy)
	request := &Request{Service: "s"}
	previous := time.Duration(0)
	for i := range 50 {
		after := q.RetryAfter(start, request, fullCapacity(4))
		assert.Assert(t, after >= MinRetryAfter && after <= MaxRetryAfter, "%s", after)
		if i > 0 {
			assert.Equal(t, after-previous, 6250*time.Microsecond)
		}
		previous = after
	}
}

// Guards against times beyond the bounds, and against clients that return together at the upper one.
func TestRetryTimesStayWithinTheBounds(t *testing.T) {
	q := New(roomy)
	capacity := fullCapacity(1)
	var times []time.Duration
	for range 2000 {
		after := q.RetryAfter(start, &Request{Service: "s"}, capacity)
		assert.Assert(t, after >= MinRetryAfter && after <= MaxRetryAfter, "%s", after)
		times = append(times, after)
	}
	slices.Sort(times)
	most := 0
	for i := range times {
		end, _ := slices.BinarySearch(times, times[i]+100*ms)
		most = max(most, end-i)
	}
	// 1,600 refusals beyond the bound share its last 2.5 s: 64 in 100 ms, beside 4 of the regular points.
	assert.Assert(t, most <= 80, "%d clients return within 100 ms", most)
	// Time passes: the points do not lie ahead of the clock for longer than the bound.
	assert.Assert(t, q.RetryAfter(start.Add(20*time.Second), &Request{Service: "s"}, capacity) <= 200*ms)
}

// Guards against less urgent clients that return before more urgent ones.
func TestLessUrgentRequestsReturnLater(t *testing.T) {
	q := New(roomy)
	urgent := q.RetryAfter(start, &Request{Service: "s", Priority: 0}, fullCapacity(4))
	usual := q.RetryAfter(start, &Request{Service: "s", Priority: 5}, fullCapacity(4))
	least := q.RetryAfter(start, &Request{Service: "s", Priority: 9}, fullCapacity(4))
	assert.Assert(t, urgent < usual && usual < least, "%s %s %s", urgent, usual, least)
	assert.Assert(t, q.RetryAfter(start, &Request{Service: "s", Priority: 0}, fullCapacity(4)) < least)
	for range 40 {
		q.Offer(start, Request{Service: "s", Flow: "a", Priority: 5, Deadline: start.Add(time.Second)},
			func(*Request) Capacity { return fullCapacity(4) })
	}
	urgent = q.RetryAfter(start, &Request{Service: "s", Priority: 0}, fullCapacity(4))
	usual = q.RetryAfter(start, &Request{Service: "s", Priority: 5}, fullCapacity(4))
	assert.Assert(t, usual-urgent >= 100*ms, "40 requests wait ahead of the less urgent one: %s %s", urgent, usual)
}

// Guards against a time made up of assumptions.
func TestRetryTimeWithoutKnowledge(t *testing.T) {
	q := New(roomy)
	assert.Equal(t, q.RetryAfter(start, &Request{Service: "s"}, Capacity{}), UnknownRetryAfter)
	assumed := fullCapacity(4)
	assumed.ResponseKnown = false
	assert.Equal(t, q.RetryAfter(start, &Request{Service: "s"}, assumed), UnknownRetryAfter)
}

// Guards against times from the assumed rate while the engines free slots more slowly, as when other nodes use them.
func TestRetryTimesFollowTheMeasuredRate(t *testing.T) {
	q := New(roomy)
	q.Offer(start, Request{Service: "s", Deadline: start.Add(time.Minute)},
		func(*Request) Capacity { return fullCapacity(4) })
	at := start
	for range 40 { // 20 a second
		at = at.Add(50 * ms)
		q.Ended(at, "s")
	}
	first := q.RetryAfter(at, &Request{Service: "s"}, fullCapacity(4))
	second := q.RetryAfter(at, &Request{Service: "s"}, fullCapacity(4))
	assert.Assert(t, second-first >= 45*ms && second-first <= 55*ms, "%s", second-first)
}

// Guards against returning clients that find the engines full again: each that comes back at its time is served.
func TestReturningClientsAreServed(t *testing.T) {
	s := newSimulation(t, Limits{MaxWait: 100 * ms, Requests: 1000, Bytes: 1 << 20}, 4) // 160 a second
	var jobs []*job
	for range 200 {
		jobs = append(jobs, &job{flow: "a", arrives: start, deadline: 400 * ms})
	}
	s.run(jobs)
	var returning []*job
	for _, each := range jobs {
		if !each.refusedAt.IsZero() {
			returning = append(returning, &job{flow: "a", arrives: each.refusedAt.Add(each.retryAfter), deadline: 400 * ms})
		}
	}
	assert.Assert(t, len(returning) > 100, "%d", len(returning))
	again := newSimulation(t, Limits{MaxWait: 100 * ms, Requests: 1000, Bytes: 1 << 20}, 4)
	byArrival(returning)
	again.now = returning[0].arrives
	again.run(returning)
	assert.Equal(t, count(returning, (*job).served), len(returning))
}

// drainBurst lets 100 requests wait, of which 100 a second are sent, and returns when none waits any more.
func drainBurst(t *testing.T, q *Queue) time.Time {
	oneFree := fullCapacity(4)
	oneFree.Free, oneFree.Occupied = 1, 3
	now := start
	for i := range 100 {
		entry, _ := q.Offer(now, Request{Service: "s", Flow: "a", Deadline: now.Add(10 * time.Second)},
			func(*Request) Capacity { return fullCapacity(4) })
		assert.Equal(t, entry.State, Waiting, "%d", i)
	}
	for !q.IsIdle("s") {
		now = now.Add(10 * ms)
		q.Ended(now, "s")
		for _, granted := range q.Next(now, "s", func(*Request) Capacity { return oneFree }).Granted {
			q.Started(granted)
		}
	}
	return now
}

// slow is the capacity of engines that free 10 slots a second for this node.
var slow = Capacity{Candidates: 1, Slots: 4, Occupied: 100, Own: 10, Response: 40 * ms, ResponseKnown: true}

// Guards against a rate that was measured in a burst and is used after it: while nothing waits it decays, and the times
// between the refused clients rose from 10 ms to 7 s.
func TestMeasuredRateIsUsedOnlyWhileRequestsWait(t *testing.T) {
	for idle, wanted := range map[time.Duration]time.Duration{
		0: 10 * ms, 190 * ms: 10 * ms, 210 * ms: 100 * ms, 2 * time.Second: 100 * ms, 6 * time.Second: 100 * ms,
		time.Minute: 100 * ms,
	} {
		q := New(Limits{MaxWait: 2 * time.Second, Requests: 1000, Bytes: 1 << 20})
		now := drainBurst(t, q).Add(idle)
		first := q.RetryAfter(now, &Request{Service: "s"}, slow)
		second := q.RetryAfter(now, &Request{Service: "s"}, slow)
		assert.Assert(t, second-first >= wanted-3*ms && second-first <= wanted+3*ms, "idle for %s: %s", idle, second-first)
	}
}

// Guards against refused offers that keep the measured rate of an earlier burst in use: while 20 offers a second were
// refused at once, the time between two refused clients rose to some seconds.
func TestRefusedOffersDoNotKeepTheMeasuredRate(t *testing.T) {
	q := New(Limits{MaxWait: 2 * time.Second, Requests: 1000, Bytes: 1 << 20})
	now := drainBurst(t, q)
	for range 60 {
		now = now.Add(50 * ms)
		request := Request{Service: "s", Flow: "a", Deadline: now.Add(60 * ms)}
		entry, _ := q.Offer(now, request, func(*Request) Capacity { return slow })
		assert.Equal(t, entry.Reason, Hopeless)
		q.RetryAfter(now, &request, slow)
	}
	first, second := q.RetryAfter(now, &Request{Service: "s"}, slow), q.RetryAfter(now, &Request{Service: "s"}, slow)
	assert.Equal(t, second-first, 100*ms)
}

// Guards against a burst that is taken as the continuation of an earlier one, whose rate then counts.
func TestMeasurementBeginsAgainAfterAPause(t *testing.T) {
	q := New(Limits{MaxWait: 2 * time.Second, Requests: 1000, Bytes: 1 << 20})
	now := drainBurst(t, q)
	for range 10 { // refused ones ask for their times meanwhile
		now = now.Add(100 * ms)
		q.RetryAfter(now, &Request{Service: "s"}, slow)
	}
	q.Offer(now, Request{Service: "s", Deadline: now.Add(time.Minute)}, func(*Request) Capacity { return slow })
	assert.Equal(t, q.services["s"].drain.busySince, now)
	assert.Equal(t, q.services["s"].drain.count, 0.0)
}
