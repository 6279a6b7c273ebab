package livequeue

import (
	"testing"
	"time"
)

// BenchmarkOfferWith1000Waiting measures the admission of a request, and its withdrawal, while 1,000 requests of 200
// tenants wait.
func BenchmarkOfferWith1000Waiting(b *testing.B) {
	q := New(Limits{MaxWait: time.Hour, Requests: 2000, Bytes: 1 << 30})
	capacity := Capacity{Candidates: 1, Slots: 8000, Occupied: 8000, Own: 8000, Response: 25 * ms, ResponseKnown: true}
	capacityOf := func(*Request) Capacity { return capacity }
	for i := range 1000 {
		q.Offer(start, Request{
			Service: "s", Flow: tenant(i % 200), Priority: i % 10, Deadline: start.Add(time.Hour),
		}, capacityOf)
	}
	for b.Loop() {
		request := Request{Service: "s", Flow: "t01", Priority: 5, Deadline: start.Add(time.Hour)}
		entry, _ := q.Offer(start, request, capacityOf)
		q.Abandon(entry)
	}
}
