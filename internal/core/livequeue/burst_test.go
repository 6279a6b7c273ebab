package livequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// burst returns jobs that arrive evenly within 50 ms, in turn from each of the tenants.
func burst(tenants, each int, from time.Time) []*job {
	var jobs []*job
	total := tenants * each
	for i := range total {
		at := from.Add(time.Duration(i) * 50 * ms / time.Duration(total))
		jobs = append(jobs, &job{flow: tenant(i % tenants), priority: 5, arrives: at, deadline: 800 * ms})
	}
	return jobs
}

// Guards against refusals of a burst of many tenants that can be served: the first request of each tenant was taken as
// a rate of 5 a second, so that the expected waits were up to ten times too long.
func TestBurstOfManyTenantsIsServed(t *testing.T) {
	for _, test := range []struct{ tenants, each, slots int }{
		{10, 1, 1}, {40, 1, 4}, {86, 1, 4}, {86, 2, 10}, {1, 86, 4}, {4, 20, 4},
	} {
		s := newSimulation(t, Limits{MaxWait: 2 * time.Second, Requests: 1000, Bytes: 1 << 20}, test.slots)
		jobs := burst(test.tenants, test.each, start)
		s.run(jobs)
		assert.Equal(t, count(jobs, (*job).served), len(jobs), "%+v", test)
	}
}

// Guards against the same refusals for tenants that send some requests a minute before the burst.
func TestBurstOfManyTenantsAfterUsualTrafficIsServed(t *testing.T) {
	s := newSimulation(t, Limits{MaxWait: 2 * time.Second, Requests: 1000, Bytes: 1 << 20}, 4)
	random := newRandom()
	var jobs []*job
	for i := range 120 {
		at := start.Add(time.Duration(i) * 83 * ms)
		jobs = append(jobs, &job{flow: tenant(random.IntN(86)), priority: 5, arrives: at, deadline: 800 * ms})
	}
	jobs = append(jobs, burst(86, 1, start.Add(10*time.Second))...)
	s.run(jobs)
	assert.Equal(t, count(jobs, (*job).served), len(jobs))
}
