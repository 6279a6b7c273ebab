package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// In the burst of addContention, each small tenant sends smallCalls requests and the large one largeCalls, of
	// which answeredPercent are answered. Capacity for an equal share of 100 requests is left.
	smallCalls      = 80
	largeCalls      = smallTenants * smallCalls
	answeredPercent = 60
	burstFrom       = 300.0
	burstTo         = 305.0
)

// addContention adds to a valid history a burst of requests of tenants that are served alike, and the times of the
// jobs.
func addContention(h *History) {
	h.Contention = &ContentionRecord{
		Bursts: []TimeSpan{{From: at(burstFrom), To: at(burstTo)}}, LiveWait: 300 * time.Millisecond, LoadEndedAt: at(320),
	}
	h.Engines = append(h.Engines, EngineRecord{
		ID: "lookup", Service: standin.ServiceLookup, StartedAt: at(1), Slots: 20, PlainTime: 50 * time.Millisecond,
		Paces: []PaceChange{{At: at(1), Pace: 1}, {At: at(250), Pace: 2}},
	})
	for _, tenant := range burstTenants() {
		count := smallCalls
		if tenant == tenantLarge {
			count = largeCalls
		}
		addBurstCalls(h, tenant, count, burstFrom+returnTime.Seconds(), burstTo, answeredPercent)
	}
	for _, job := range h.Jobs {
		if job.SentAt.IsZero() {
			job.SentAt = at(1)
		}
		job.CompletedAt = job.SentAt.Add(5 * time.Second)
	}
}

// addBurstCalls adds requests of a tenant at equal intervals between two times, of which a percentage is answered.
func addBurstCalls(h *History, tenant string, count int, from, to float64, answered int) {
	const percent = 100
	for i := range count {
		id := fmt.Sprintf("%s-%g-%d", tenant, from, i)
		sent := at(from + (to-from)*float64(i)/float64(count))
		call := LiveCall{
			ID: id, Path: standin.PrefixLookup + id, Kind: standin.RouteSafe, Tenant: tenant, SentAt: sent,
			Deadline: time.Second, EndedAt: sent.Add(50 * time.Millisecond), Intact: true, Answer: plainResponse(id),
		}
		if (i*answered)%percent+answered < percent {
			call.Answer = standin.LiveResponse{Status: 503, RetryAfter: "0.15"}
		}
		h.Calls = append(h.Calls, call)
	}
}

// setAnswered changes the percentage of the requests of some tenants that are answered.
func setAnswered(h *History, answered int, tenants ...string) {
	for _, tenant := range tenants {
		var kept []LiveCall
		count := 0
		for _, call := range h.Calls {
			if call.Tenant == tenant {
				count++
			} else {
				kept = append(kept, call)
			}
		}
		h.Calls = kept
		addBurstCalls(h, tenant, count, burstFrom+returnTime.Seconds(), burstTo, answered)
	}
}

// contentionMutations each violate one invariant of contention.
var contentionMutations = []mutation{
	{"refused repeatable call runs", "REFUSED", func(h *History) {
		h.Calls[callSafe].Answer = standin.LiveResponse{Status: 503, RetryAfter: "1"}
	}},
	{"call that was refused for its rate runs", "REFUSED", func(h *History) {
		h.Calls[callUnsafe].Answer = standin.LiveResponse{Status: 429, RetryAfter: "1"}
	}},
	{"refusal without a delay", "RETRY", func(h *History) { h.Calls[callRefused].Answer.RetryAfter = "" }},
	{"refusal with a delay of zero", "RETRY", func(h *History) { h.Calls[callRefused].Answer.RetryAfter = "0" }},
	{"refusal with a negative delay", "RETRY", func(h *History) { h.Calls[callRefused].Answer.RetryAfter = "-0.5" }},
	{"refusal with an unbounded delay", "RETRY", func(h *History) { h.Calls[callRefused].Answer.RetryAfter = "10.1" }},
	{"refusal with an unreadable delay", "RETRY", func(h *History) { h.Calls[callRefused].Answer.RetryAfter = "NaN" }},
	{"refusal of a job without a delay", "RETRY", func(h *History) {
		h.Jobs[1].Refusals = []standin.SubmitResponse{{Status: 503, RetryAfter: "5"}, {Status: 503}}
	}},
	{"refusal after more than the longest wait", "LATE", func(h *History) { setRefusalTime(h, 560*time.Millisecond) }},
	{"refusal at once is late where requests do not wait", "LATE", func(h *History) {
		h.Contention.LiveWait = 0
		setRefusalTime(h, 260*time.Millisecond)
	}},
	{"refusal after the deadline where waits are longer", "LATE", func(h *History) {
		h.Contention.LiveWait = 10 * time.Second
		setRefusalTime(h, 1300*time.Millisecond)
	}},
	{"late refusal after a stall of the soak", "LATE", func(h *History) {
		h.Stalls = []TimeSpan{{From: at(0.5), To: at(0.9)}}
		setRefusalTime(h, 560*time.Millisecond)
	}},
	{"job ends too late", "STARVED", func(h *History) { h.Jobs[2].CompletedAt = h.Jobs[2].SentAt.Add(13 * time.Second) }},
	{"job ends only after the load", "STARVED", func(h *History) {
		h.Jobs[2].SentAt, h.Jobs[2].CompletedAt = at(307), at(330)
	}},
	{"job never ends", "STARVED", func(h *History) { h.Jobs[2].CompletedAt = time.Time{} }},
	{"no job of a trainer is accepted", "STARVED", func(h *History) {
		h.Jobs = append(h.Jobs, &JobRecord{Tenant: tenantOf(3), SentAt: at(290), AllRejected: true})
	}},
	{"a small tenant is starved", "FAIR", func(h *History) { setAnswered(h, 30, burstTenants()[2]) }},
	{"small tenants are served a little worse", "FAIR", func(h *History) { setAnswered(h, 42, burstTenants()[1:]...) }},
	{"the large tenant takes all", "FAIR", func(h *History) { setAnswered(h, 100, tenantLarge) }},
	{"a small tenant gets nothing, the others all", "FAIR", func(h *History) {
		setAnswered(h, 100, burstTenants()...)
		setAnswered(h, 0, burstTenants()[5])
	}},
}

// setRefusalTime sets how long the refusal of a request with a deadline of a second took.
func setRefusalTime(h *History, took time.Duration) {
	call := &h.Calls[callRefused]
	call.Deadline, call.EndedAt = time.Second, call.SentAt.Add(took)
}

// Guards against false positives of the checks of contention.
func TestCheckContentionAllows(t *testing.T) {
	burst := burstTenants()
	for _, allowed := range []struct {
		name   string
		change func(h *History)
	}{
		{"a refusal at once", func(h *History) { setRefusalTime(h, 20*time.Millisecond) }},
		{"a refusal after the longest wait", func(h *History) { setRefusalTime(h, 320*time.Millisecond) }},
		{"a late refusal during a fault", func(h *History) {
			setRefusalTime(h, 2*time.Second)
			h.Disturbances = []*Disturbance{{Node: 0, From: at(0), To: at(1)}}
		}},
		{"a late refusal while the soak stalled", func(h *History) {
			setRefusalTime(h, 2*time.Second)
			h.Stalls = []TimeSpan{{From: at(2), To: at(2.1)}}
		}},
		{"a long delay after crashes of engines", func(h *History) {
			h.Calls[callRefused].Body, h.Calls[callRefused].Answer.RetryAfter = "body of "+crashPrefix+"0", "42"
		}},
		{"a job that takes long because of a fault", func(h *History) {
			h.Jobs[2].SentAt, h.Jobs[2].CompletedAt = at(100), at(120)
			h.Disturbances = []*Disturbance{{Node: anyNode, From: at(104), To: at(110)}}
		}},
		{"a job that is canceled and read at the end", func(h *History) {
			h.Jobs[2].CancelSentAt, h.Jobs[2].EndedAt, h.Jobs[2].CompletedAt = at(3), at(3.1), at(330)
		}},
		{"a job that is open at the end of the load", func(h *History) {
			h.Jobs[2].SentAt, h.Jobs[2].CompletedAt = at(315), at(322)
		}},
		{"a tenant above its share", func(h *History) {
			addBurstCalls(h, burst[1], smallCalls, burstFrom+1.1, burstTo, 20)
		}},
		{"less for small tenants within the margin", func(h *History) { setAnswered(h, 58, burst[1:]...) }},
		{"the first second of a burst", func(h *History) { addBurstCalls(h, burst[1], smallCalls, burstFrom, burstFrom+0.9, 0) }},
		{"a fault during the burst", func(h *History) {
			setAnswered(h, 10, burst[1])
			h.Disturbances = []*Disturbance{{Node: 2, From: at(298), To: at(300)}, {Node: 2, From: at(306), To: at(307)}}
		}},
		{"an engine that is replaced", func(h *History) {
			setAnswered(h, 10, burst[1])
			h.Replacements = []TimeSpan{{From: at(298), To: at(303)}}
		}},
		{"a request that is answered when repeated", func(h *History) {
			setAnswered(h, 10, burst[1])
			for _, call := range h.Calls {
				if call.Tenant == burst[1] && call.isRefused() {
					repeat := call
					repeat.ID, repeat.RetryOf, repeat.Answer = call.ID+"-again", call.ID, plainResponse(call.ID+"-again")
					h.Calls = append(h.Calls, repeat)
				}
			}
		}},
	} {
		t.Run(allowed.name, func(t *testing.T) {
			h := validHistory()
			allowed.change(h)
			assert.DeepEqual(t, Check(h, bounds), []Violation(nil))
		})
	}
}

// Guards against a history without comparable requests that passes for a fair one: the test relies on it.
func TestComparedCapacity(t *testing.T) {
	h := validHistory()
	// 20 slots at 50 ms and half the speed for 4 s.
	got := h.comparedCapacity(bounds)
	assert.Assert(t, got > 790 && got < 810, "%f", got)
}

func TestUndisturbedTime(t *testing.T) {
	h := &History{Disturbances: []*Disturbance{
		{Node: 0, From: at(10), To: at(12)}, {Node: 1, From: at(11), To: at(13)}, {Node: 0, From: at(40)},
	}}
	assert.Equal(t, h.undisturbedTime(at(5), at(50), time.Second), 31*time.Second)
	assert.Equal(t, h.undisturbedTime(at(41), at(50), time.Second), time.Duration(0))
	assert.Equal(t, h.undisturbedTime(at(20), at(30), time.Second), 10*time.Second)
}
