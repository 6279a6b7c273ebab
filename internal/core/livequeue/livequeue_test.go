package livequeue

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var roomy = Limits{MaxWait: time.Second, Requests: 1000, Bytes: 1 << 20}

func byArrival(jobs []*job) []*job {
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.arrives.Compare(b.arrives) })
	return jobs
}

// Guards against refusals while the capacity suffices, and against requests that wait without need: 10 slots serve 400
// a second, six times 66 a second is within that.
func TestNothingWaitsWhileSlotsAreFree(t *testing.T) {
	s := newSimulation(t, roomy, 10)
	jobs := arrivals("a", 66, start, time.Second, 800*ms)
	s.run(jobs)
	assert.Equal(t, count(jobs, func(j *job) bool { return j.served() && j.sentAt.Sub(j.arrives) <= ms }), len(jobs))
}

// Guards against a burst of six times the live traffic that is refused, or that costs more than what the engines lack.
// The usual load is half of what the engines serve, the burst three times as much, for half a second.
func TestBurstOfSixTimesTheTraffic(t *testing.T) {
	s := newSimulation(t, roomy, 4) // 160 a second
	jobs := byArrival(slices.Concat(
		arrivals("a", 80, start, 2*time.Second, 800*ms), arrivals("b", 400, start.Add(500*ms), 500*ms, 800*ms),
	))
	s.run(jobs)
	served := count(jobs, (*job).served)
	// From the beginning of the burst, the engines serve 160 a second, for its length and the wait before the deadline.
	within := count(jobs, func(j *job) bool { return j.arrives.Before(start.Add(500 * ms)) }) + int(160*1.25)
	assert.Assert(t, served >= within, "%d served of %d, the engines can serve %d", served, len(jobs), within)
	for _, each := range jobs {
		assert.Assert(t, each.refusedAt.IsZero() || each.refusedAt.Sub(each.arrives) <= 100*ms,
			"refused after %s", each.refusedAt.Sub(each.arrives))
	}
	late := count(jobs, func(j *job) bool { return !j.doneAt.IsZero() && !j.served() })
	assert.Equal(t, late, 0, "responses after their deadlines use up slots")
}

// Guards against waiting requests that are kept until their deadlines after two fifths of the engines left, and against
// estimates that still count these.
func TestTwoFifthsOfTheEnginesLeave(t *testing.T) {
	s := newSimulation(t, Limits{MaxWait: 300 * ms, Requests: 1000, Bytes: 1 << 20}, 10)
	jobs := arrivals("a", 380, start, 2*time.Second, 400*ms) // 400 a second are served, 240 after the loss
	lostAt := start.Add(time.Second)
	next := 0
	for next < len(jobs) || len(s.running)+len(s.waiting) > 0 {
		if s.now.Equal(lostAt) {
			s.slots[""] = 6
		}
		s.step()
		for next < len(jobs) && !jobs[next].arrives.After(s.now) {
			s.offer(jobs[next])
			next++
		}
	}
	after := slices.DeleteFunc(slices.Clone(jobs), func(j *job) bool { return j.arrives.Before(lostAt) })
	served := count(after, (*job).served)
	assert.Assert(t, served >= 230, "%d of %d served", served, len(after))
	assert.Equal(t, count(jobs, func(j *job) bool { return !j.doneAt.IsZero() && !j.served() }), 0)
	assert.Assert(t, count(after, func(j *job) bool { return !j.refusedAt.IsZero() }) > 50)
}

// Guards against a large tenant whose burst costs small tenants what their shares cover.
func TestLargeTenantDoesNotDisplaceSmallOnes(t *testing.T) {
	s := newSimulation(t, roomy, 4) // 160 a second
	// One tenant with half of all traffic, then three times as much; 20 small ones with 4 a second each.
	jobs := arrivals("large", 300, start, 2*time.Second, 800*ms)
	for i := range 20 {
		jobs = append(jobs, arrivals(tenant(i), 4, start.Add(time.Duration(i)*7*ms), 2*time.Second, 800*ms)...)
	}
	jobs = byArrival(jobs)
	s.run(jobs)
	for i := range 20 {
		own := ofFlow(jobs, tenant(i))
		assert.Equal(t, count(own, (*job).served), len(own), "%s", tenant(i))
		for _, each := range own {
			assert.Assert(t, each.sentAt.Sub(each.arrives) <= 150*ms, "waited %s", each.sentAt.Sub(each.arrives))
		}
	}
	large := ofFlow(jobs, "large")
	served := count(large, (*job).served)
	assert.Assert(t, served >= 130, "the large tenant gets the rest: %d of %d", served, len(large))
}

// Guards against a share that is not lent while it is unused, or not given back within a second.
func TestUnusedShareIsBorrowedAndGivenBack(t *testing.T) {
	s := newSimulation(t, Limits{MaxWait: 300 * ms, Requests: 1000, Bytes: 1 << 20}, 4) // 160 a second
	returns := start.Add(time.Second)
	jobs := byArrival(slices.Concat(
		arrivals("a", 300, start, 3*time.Second, 800*ms), arrivals("b", 300, returns, 2*time.Second, 800*ms),
	))
	s.run(jobs)
	sentIn := func(flow string, from, until time.Time) int {
		return count(ofFlow(jobs, flow), func(j *job) bool { return !j.sentAt.Before(from) && j.sentAt.Before(until) })
	}
	assert.Assert(t, sentIn("a", start.Add(200*ms), returns) >= 125, "a borrows all of b's share")
	for _, flow := range []string{"a", "b"} {
		got := sentIn(flow, returns, returns.Add(time.Second))
		assert.Assert(t, got >= 70 && got <= 90, "%s was sent %d of 160 in the first second", flow, got)
	}
}

// Guards against less urgent requests that are sent before more urgent ones, and against the later deadline first.
func TestOrderIsPriorityThenShareThenDeadline(t *testing.T) {
	s := newSimulation(t, roomy, 1)
	offer := func(flow string, priority int, deadline time.Duration) *job {
		j := &job{flow: flow, priority: priority, arrives: s.now, deadline: deadline}
		s.offer(j)
		return j
	}
	first := offer("a", 5, time.Second)
	late := offer("a", 5, 900*ms)
	early := offer("a", 5, 600*ms)
	other := offer("b", 5, 990*ms)
	urgent := offer("a", 0, 995*ms)
	for len(s.waiting) > 0 {
		s.step()
	}
	assert.DeepEqual(t, indices(s.sent, first, urgent, early, other, late), []int{0, 1, 2, 3, 4})
}

func indices(sent []*job, wanted ...*job) []int {
	var found []int
	for _, each := range wanted {
		found = append(found, slices.Index(sent, each))
	}
	return found
}

// Guards against a request that waits although its response can't be complete before its deadline, or its slot not come
// free within the longest wait.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		maxWait, deadline time.Duration
		ahead             int
		refused           bool
	}{
		"deadline before the response":       {time.Second, 40 * ms, 0, true},
		"deadline after the response":        {time.Second, 60 * ms, 0, false},
		"too many ahead for the deadline":    {10 * time.Second, 300 * ms, 11, true},
		"as many ahead as the deadline fits": {10 * time.Second, 300 * ms, 10, false},
		"too many ahead for the wait":        {200 * ms, 5 * time.Second, 8, true},
	} {
		s := newSimulation(t, Limits{MaxWait: test.maxWait, Requests: 1000, Bytes: 1 << 20}, 1)
		s.offer(&job{arrives: s.now, deadline: time.Second})
		for range test.ahead {
			s.offer(&job{arrives: s.now, deadline: test.deadline})
		}
		last := &job{arrives: s.now, deadline: test.deadline}
		s.offer(last)
		assert.Equal(t, last.entry.State == Refused, test.refused, name)
		assert.Equal(t, last.entry.Reason == Hopeless, test.refused, name)
	}
}

// Guards against requests that wait on after the response time grew so much that they can't be served any more.
func TestWaitingRequestIsRefusedOnceItCannotBeServed(t *testing.T) {
	s := newSimulation(t, roomy, 1)
	s.offer(&job{arrives: s.now, deadline: time.Second})
	waits := &job{arrives: s.now, deadline: 200 * ms}
	s.offer(waits)
	assert.Equal(t, waits.entry.State, Waiting)
	s.response = 190 * ms
	for range 60 {
		s.step()
	}
	assert.Equal(t, waits.entry.Reason, Hopeless)
	assert.Assert(t, waits.refusedAt.Sub(start) <= 30*ms, "refused after %s", waits.refusedAt.Sub(start))
}

// Guards against a slot that is spent on a response which comes too late, although another request can still be served.
func TestFreeSlotGoesToARequestThatCanBeServed(t *testing.T) {
	q := New(roomy)
	capacity := Capacity{Candidates: 1, Slots: 1, Occupied: 1, Own: 1, Response: 25 * ms}
	capacityOf := func(*Request) Capacity { return capacity }
	late, _ := q.Offer(start, Request{Service: "s", Flow: "a", Deadline: start.Add(100 * ms)}, capacityOf)
	inTime, _ := q.Offer(start, Request{Service: "s", Flow: "a", Deadline: start.Add(200 * ms)}, capacityOf)
	capacity.Occupied, capacity.Free = 0, 1
	q.Next(start.Add(90*ms), "s", capacityOf)
	assert.Equal(t, late.Reason, Hopeless)
	assert.Equal(t, inTime.State, Granted)
}

// Guards against a node that holds more than its bounds, and against small tenants that pay for a large one's burst.
func TestFullQueueRefusesNewestOfLargestHolder(t *testing.T) {
	s := newSimulation(t, Limits{MaxWait: 10 * time.Second, Requests: 4, Bytes: 1000}, 1)
	offer := func(flow string, priority int) *job {
		j := &job{flow: flow, priority: priority, arrives: s.now, deadline: 20 * time.Second}
		s.offer(j)
		return j
	}
	offer("running", 5)
	oldest, middle, newest := offer("large", 5), offer("large", 5), offer("large", 5)
	small := offer("small", 5)
	assert.Equal(t, offer("large", 5).entry.Reason, QueueFull)
	second := offer("other", 5)
	assert.Equal(t, second.entry.State, Waiting)
	assert.Equal(t, newest.entry.Reason, Evicted)
	urgent := offer("large", 0)
	assert.Equal(t, urgent.entry.State, Waiting)
	assert.Equal(t, middle.entry.Reason, Evicted)
	assert.Equal(t, oldest.entry.State, Waiting)
	assert.Equal(t, small.entry.State, Waiting)
	requests, _ := s.queue.Waiting()
	assert.Equal(t, requests, 4)
}

// Guards against bodies that use up the node's memory.
func TestQueueIsBoundedInBytes(t *testing.T) {
	q := New(Limits{MaxWait: time.Second, Requests: 1000, Bytes: 100})
	full := func(*Request) Capacity {
		return Capacity{Candidates: 1, Slots: 1, Occupied: 1, Own: 1, Response: ms, ResponseKnown: true}
	}
	offer := func(flow string, bytes int64) *Entry {
		entry, _ := q.Offer(start, Request{Service: "s", Flow: flow, Bytes: bytes, Deadline: start.Add(time.Second)}, full)
		return entry
	}
	assert.Equal(t, offer("a", 101).Reason, QueueFull)
	small, large := offer("a", 10), offer("b", 90)
	tooLarge, changes := q.Offer(start, Request{
		Service: "s", Flow: "a", Bytes: 101, Priority: -1, Deadline: start.Add(time.Second),
	}, full)
	assert.Equal(t, tooLarge.Reason, QueueFull)
	assert.Equal(t, len(changes.Refused), 0, "a body that can never wait displaces no other")
	assert.Equal(t, large.State, Waiting)
	next := offer("c", 5)
	assert.Equal(t, next.State, Waiting)
	assert.Equal(t, large.Reason, Evicted)
	assert.Equal(t, small.State, Waiting)
	_, bytes := q.Waiting()
	assert.Equal(t, bytes, int64(15))
}

// Guards against a slot that is lost when the caller of a waiting or a granted request leaves.
func TestAbandonedRequestsFreeTheirPlace(t *testing.T) {
	q := New(roomy)
	capacity := Capacity{Candidates: 1, Slots: 1, Free: 1, Response: ms}
	capacityOf := func(*Request) Capacity { return capacity }
	request := Request{Service: "s", Flow: "a", Deadline: start.Add(time.Second)}
	granted, _ := q.Offer(start, request, capacityOf)
	assert.Equal(t, granted.State, Granted)
	left, _ := q.Offer(start, request, capacityOf)
	assert.Equal(t, left.State, Waiting, "the granted slot counts as taken before it is used")
	waits, _ := q.Offer(start, request, capacityOf)
	q.Abandon(left)
	assert.Equal(t, left.State, Left)
	q.Abandon(granted)
	changes := q.Next(start, "s", capacityOf)
	assert.DeepEqual(t, len(changes.Granted), 1)
	assert.Equal(t, waits.State, Granted)
	q.Abandon(waits)
	q.Abandon(waits)
	again, _ := q.Offer(start, request, capacityOf)
	assert.Equal(t, again.State, Granted)
	next, _ := q.Offer(start, request, capacityOf)
	assert.Equal(t, next.State, Waiting, "a second withdrawal has no effect")
}

// Guards against a newcomer that takes a slot, free since a report expired, before the requests that wait for it.
func TestNewcomerDoesNotOvertakeTheQueue(t *testing.T) {
	q := New(roomy)
	capacity := Capacity{Candidates: 1, Slots: 1, Occupied: 1, Response: ms}
	capacityOf := func(*Request) Capacity { return capacity }
	request := Request{Service: "s", Flow: "a", Deadline: start.Add(time.Second)}
	waits, _ := q.Offer(start, request, capacityOf)
	assert.Equal(t, waits.State, Waiting)
	capacity.Occupied, capacity.Free = 0, 1
	newcomer, changes := q.Offer(start, request, capacityOf)
	assert.Equal(t, waits.State, Granted)
	assert.DeepEqual(t, len(changes.Granted), 1)
	assert.Equal(t, newcomer.State, Waiting)
}

// Guards against the short way past the queue while others wait, or while the free slots are granted already.
func TestRequestsPassTheQueueOnlyWhileSlotsAreFree(t *testing.T) {
	q := New(roomy)
	request := Request{Service: "s", Flow: "a", Deadline: start.Add(time.Second)}
	oneFree := func(moreThan int) bool { return moreThan < 1 }
	granted := q.OfferFree(start, request, oneFree)
	assert.Equal(t, granted.State, Granted)
	assert.Assert(t, q.OfferFree(start, request, oneFree) == nil)
	full := Capacity{Candidates: 1, Slots: 1, Occupied: 1, Own: 1, Response: ms}
	waits, _ := q.Offer(start, request, func(*Request) Capacity { return full })
	assert.Equal(t, waits.State, Waiting)
	q.Abandon(granted)
	assert.Assert(t, q.OfferFree(start, request, oneFree) == nil)
}

// Guards against requests that wait for engines which are gone.
func TestRequestsWithoutEnginesDoNotWait(t *testing.T) {
	q := New(roomy)
	capacity := Capacity{Candidates: 1, Slots: 1, Occupied: 1, Own: 1, Response: ms}
	capacityOf := func(*Request) Capacity { return capacity }
	waits, _ := q.Offer(start, Request{Service: "s", Deadline: start.Add(time.Second)}, capacityOf)
	assert.Equal(t, waits.State, Waiting)
	capacity = Capacity{}
	q.Next(start, "s", capacityOf)
	assert.Equal(t, waits.State, Granted)
	late, _ := q.Offer(start, Request{Service: "s", Deadline: start.Add(time.Second)}, capacityOf)
	assert.Equal(t, late.State, Granted)
}

// Guards against a node without requests at the engines that waits until a report expires, although a slot is expected
// to have come free long before, and against more than one request that is sent on such an expectation.
func TestOneRequestIsSentOnceASlotIsExpected(t *testing.T) {
	q := New(roomy)
	capacity := Capacity{Candidates: 1, Slots: 8, Occupied: 8, Response: 20 * ms, FreeAt: start.Add(500 * ms)}
	capacityOf := func(*Request) Capacity { return capacity }
	first, _ := q.Offer(start, Request{Service: "s", Flow: "a", Deadline: start.Add(900 * ms)}, capacityOf)
	second, _ := q.Offer(start, Request{Service: "s", Flow: "a", Deadline: start.Add(901 * ms)}, capacityOf)
	assert.Equal(t, q.ReassessAt(start, first), start.Add(20*ms))
	q.Reassess(start.Add(10*ms), first, capacityOf)
	assert.Equal(t, first.State, Waiting, "no slot is expected yet")
	capacity.Own = 1
	q.Reassess(start.Add(30*ms), first, capacityOf)
	assert.Equal(t, first.State, Waiting, "the end of the own request will tell")
	capacity.Own = 0
	q.Reassess(start.Add(60*ms), second, capacityOf)
	assert.Equal(t, second.State, Waiting, "it is not the first")
	q.Reassess(start.Add(60*ms), first, capacityOf)
	assert.Equal(t, first.State, Granted)
	q.Reassess(start.Add(90*ms), second, capacityOf)
	assert.Equal(t, second.State, Waiting, "the first one's response will tell")
	q.Started(first)
	q.Reassess(start.Add(95*ms), second, capacityOf)
	assert.Equal(t, second.State, Granted)
}

// Guards against a request that uses up its tries at full engines within a few response times.
func TestEachRefusalDoublesTheEstimate(t *testing.T) {
	q := New(roomy)
	capacity := Capacity{Candidates: 1, Slots: 8, Occupied: 8, Response: 20 * ms}
	for refusals, expected := range []time.Duration{20 * ms, 40 * ms, 80 * ms, 160 * ms, 320 * ms} {
		entry, _ := q.Offer(start, Request{Service: "s", Refusals: refusals, Deadline: start.Add(900 * ms)},
			func(*Request) Capacity { return capacity })
		assert.Equal(t, entry.Basis.Expected, expected)
		q.Abandon(entry)
	}
}

// Guards against waits beyond the longest one: a request was sent up to 5 ms after it.
func TestReassessmentIsNotDelayedBeyondTheLongestWait(t *testing.T) {
	q := New(Limits{MaxWait: 20 * ms, Requests: 10, Bytes: 100})
	capacity := Capacity{Candidates: 1, Slots: 1, Occupied: 1, Response: 5 * ms}
	request := Request{Service: "s", Deadline: start.Add(900 * ms)}
	entry, _ := q.Offer(start, request, func(*Request) Capacity { return capacity })
	assert.Equal(t, q.ReassessAt(start.Add(17*ms), entry), start.Add(20*ms))
	assert.Equal(t, q.ReassessAt(start.Add(20*ms), entry), start.Add(25*ms))
}

// Guards against knowledge that the engines are full which outlives the report that it is based on.
func TestReassessmentFollowsTheExpiryOfReports(t *testing.T) {
	q := New(roomy)
	capacity := Capacity{Candidates: 1, Slots: 1, Occupied: 1, Response: 100 * ms, FreeAt: start.Add(30 * ms)}
	capacityOf := func(*Request) Capacity { return capacity }
	entry, _ := q.Offer(start, Request{Service: "s", Deadline: start.Add(900 * ms)}, capacityOf)
	assert.Equal(t, q.ReassessAt(start, entry), start.Add(30*ms))
	capacity.FreeAt = time.Time{}
	entry, _ = q.Offer(start, Request{Service: "s", Deadline: start.Add(900 * ms)}, capacityOf)
	assert.Equal(t, q.ReassessAt(start, entry), start.Add(200*ms))
	assert.Equal(t, q.ReassessAt(start.Add(2*time.Second), entry), start.Add(2*time.Second+minReassessDelay))
}
