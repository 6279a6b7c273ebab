package livequeue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

// job is a simulated request with its outcome.
type job struct {
	flow     string
	priority int
	arrives  time.Time
	deadline time.Duration
	class    string

	entry      *Entry
	reassessAt time.Time
	sentAt     time.Time
	doneAt     time.Time
	refusedAt  time.Time
	retryAfter time.Duration
	ends       int
}

func (j *job) served() bool { return !j.doneAt.IsZero() && !j.doneAt.After(j.arrives.Add(j.deadline)) }

// simulation runs a queue in front of engines with a fixed response time, in steps of a millisecond.
type simulation struct {
	t        *testing.T
	queue    *Queue
	now      time.Time
	slots    map[string]int // by class; "" may use all
	response time.Duration
	running  []*job
	waiting  map[*job]bool
	// sent holds the jobs in the order in which they were sent.
	sent []*job
}

func newSimulation(t *testing.T, limits Limits, slots int) *simulation {
	return &simulation{
		t: t, queue: New(limits), now: start, slots: map[string]int{"": slots}, response: 25 * ms, waiting: map[*job]bool{},
	}
}

// capacity returns what is known for a class. Jobs of the class "" may use the slots of all classes.
func (s *simulation) capacity(request *Request) Capacity {
	slots, occupied := 0, 0
	for class, count := range s.slots {
		if request.Class == "" || request.Class == class {
			slots += count
		}
	}
	for _, each := range s.running {
		if request.Class == "" || each.class == request.Class {
			occupied++
		}
	}
	return Capacity{
		Candidates: slots, Slots: slots, Free: max(0, slots-occupied), Occupied: occupied, Own: occupied,
		Response: s.response, ResponseKnown: true,
	}
}

// regionsOf returns the region that is named like the class; all for the class "".
func regionsOf(class string) homes.Set {
	if class == "" {
		return homes.Set{}
	}
	return homes.Of([]string{class})
}

func (s *simulation) start(j *job) {
	j.sentAt, j.ends = s.now, j.ends+1
	delete(s.waiting, j)
	s.running = append(s.running, j)
	s.sent = append(s.sent, j)
	s.queue.Started(j.entry)
	s.apply(s.queue.Next(s.now, "s", s.capacity))
}

func (s *simulation) refuse(j *job) {
	j.refusedAt, j.ends = s.now, j.ends+1
	j.retryAfter = s.queue.RetryAfter(s.now, &j.entry.Request, s.capacity(&j.entry.Request))
	delete(s.waiting, j)
}

func (s *simulation) apply(changes Changes) {
	for _, entry := range changes.Granted {
		s.start(entry.Owner.(*job))
	}
	for _, entry := range changes.Refused {
		s.refuse(entry.Owner.(*job))
	}
}

func (s *simulation) settle(j *job) {
	switch j.entry.State {
	case Granted:
		s.start(j)
	case Refused:
		s.refuse(j)
	case Waiting:
		s.waiting[j] = true
		j.reassessAt = s.queue.ReassessAt(s.now, j.entry)
	}
}

func (s *simulation) offer(j *job) {
	request := Request{
		Service: "s", Flow: j.flow, Priority: j.priority, Class: j.class, Regions: regionsOf(j.class), Bytes: 1,
		Deadline: j.arrives.Add(j.deadline), Owner: j,
	}
	j.entry = s.queue.OfferFree(s.now, request, func(moreThan int) bool { return s.capacity(&request).Free > moreThan })
	if j.entry == nil {
		var changes Changes
		j.entry, changes = s.queue.Offer(s.now, request, s.capacity)
		s.apply(changes)
	}
	s.settle(j)
}

// step ends the jobs whose responses are complete, reassesses those whose estimate expired, and advances the clock.
func (s *simulation) step() {
	var still []*job
	ended := 0
	for _, each := range s.running {
		if s.now.Sub(each.sentAt) >= s.response {
			each.doneAt = s.now
			ended++
			continue
		}
		still = append(still, each)
	}
	s.running = still
	for range ended {
		s.queue.Ended(s.now, "s")
	}
	s.apply(s.queue.Next(s.now, "s", s.capacity))
	for each := range s.waiting {
		if !each.reassessAt.After(s.now) {
			s.queue.Reassess(s.now, each.entry, s.capacity)
			s.settle(each)
		}
	}
	s.now = s.now.Add(ms)
}

// run offers the jobs at their times, in order, and runs until all have ended.
func (s *simulation) run(jobs []*job) {
	for next := 0; next < len(jobs) || len(s.running) > 0 || len(s.waiting) > 0; {
		s.step()
		for next < len(jobs) && !jobs[next].arrives.After(s.now) {
			s.offer(jobs[next])
			next++
		}
	}
	for _, each := range jobs {
		assert.Equal(s.t, each.ends, 1, "each request ends exactly once")
	}
	requests, bytes := s.queue.Waiting()
	assert.Equal(s.t, requests, 0)
	assert.Equal(s.t, bytes, int64(0))
}

// arrivals returns jobs that arrive evenly at a rate, for a time.
func arrivals(flow string, perSecond float64, from time.Time, length, deadline time.Duration) []*job {
	var jobs []*job
	for i := range int(perSecond * length.Seconds()) {
		at := from.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		jobs = append(jobs, &job{flow: flow, arrives: at, deadline: deadline})
	}
	return jobs
}

func count(jobs []*job, matches func(*job) bool) int {
	matching := 0
	for _, each := range jobs {
		if matches(each) {
			matching++
		}
	}
	return matching
}

func ofFlow(jobs []*job, flow string) []*job {
	var found []*job
	for _, each := range jobs {
		if each.flow == flow {
			found = append(found, each)
		}
	}
	return found
}

func tenant(i int) string { return fmt.Sprintf("t%02d", i) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(7, 11)) }
