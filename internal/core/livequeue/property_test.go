package livequeue

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against lost or doubled ends, a free slot while an eligible request waits, queues beyond their bounds, and
// waits beyond the longest one, in random traffic of several tenants, priorities and sets of engines.
func TestRandomTrafficKeepsTheInvariants(t *testing.T) {
	random := newRandom()
	classes := []string{"", "north", "south"}
	for range 60 {
		limits := Limits{
			MaxWait: time.Duration(50+random.IntN(500)) * ms, Requests: 1 + random.IntN(40), Bytes: int64(1 + random.IntN(60)),
		}
		s := newSimulation(t, limits, 0)
		s.slots = map[string]int{"north": 1 + random.IntN(3), "south": 1 + random.IntN(3)}
		var jobs []*job
		for range 200 {
			jobs = append(jobs, &job{
				flow: tenant(random.IntN(4)), priority: random.IntN(3), class: classes[random.IntN(3)],
				arrives: start.Add(time.Duration(random.IntN(600)) * ms), deadline: time.Duration(30+random.IntN(800)) * ms,
			})
		}
		byArrival(jobs)
		next := 0
		for next < len(jobs) || len(s.running)+len(s.waiting) > 0 {
			s.step()
			for next < len(jobs) && !jobs[next].arrives.After(s.now) {
				s.offer(jobs[next])
				next++
			}
			leaveAtRandom(s, random.IntN(50) == 0)
			checkInvariants(s, limits)
		}
		for _, each := range jobs {
			assert.Equal(t, each.ends, 1)
			if !each.sentAt.IsZero() {
				assert.Assert(t, each.sentAt.Sub(each.arrives) <= limits.MaxWait+2*ms)
			}
		}
	}
}

// leaveAtRandom lets the caller of one waiting request leave.
func leaveAtRandom(s *simulation, leaves bool) {
	for each := range s.waiting {
		if leaves {
			s.queue.Abandon(each.entry)
			each.ends++
			delete(s.waiting, each)
		}
		return
	}
}

func checkInvariants(s *simulation, limits Limits) {
	requests, bytes := s.queue.Waiting()
	assert.Equal(s.t, requests, len(s.waiting))
	assert.Assert(s.t, requests <= limits.Requests && bytes <= limits.Bytes)
	for each := range s.waiting {
		assert.Equal(s.t, s.capacity(&each.entry.Request).Free, 0, "a slot is free while an eligible request waits")
	}
}

// Guards against starvation: among requests of one priority, a request is sent after at most as many others as there
// are flows, for each request of its own flow before it.
func TestNoFlowStarves(t *testing.T) {
	random := newRandom()
	for range 40 {
		flows := 2 + random.IntN(6)
		s := newSimulation(t, Limits{MaxWait: time.Hour, Requests: 10_000, Bytes: 1 << 30}, 1)
		offer := func(flow string) *job {
			j := &job{flow: flow, arrives: s.now, deadline: time.Hour + time.Duration(random.IntN(1000))*ms}
			s.offer(j)
			return j
		}
		offer("running")
		for range 100 {
			offer(tenant(0))
		}
		sentBefore := len(s.sent)
		observed := offer(tenant(1))
		for observed.sentAt.IsZero() {
			for range random.IntN(4) {
				offer(tenant(2 + random.IntN(flows)))
			}
			s.step()
		}
		others := slices.Index(s.sent, observed) - sentBefore
		assert.Assert(t, others <= flows+2, "%d requests were sent before it, of %d flows", others, flows+2)
	}
}
