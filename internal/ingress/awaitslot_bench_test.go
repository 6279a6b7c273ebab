package ingress

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/livequeue"
)

// benchmarkAdmission measures a request, from routing to its answer, with 1,000 engines that answer at once.
func benchmarkAdmission(b *testing.B, limits livequeue.Limits) {
	const engines = 1000
	answers := scriptedEngines{}
	for i := range engines {
		answers[fmt.Sprintf("e%04d", i)] = successAnswer
	}
	base := newRelay(answers, noCrashes{}, 2)
	base.options.LiveQueue = limits
	relay := New(base.options)
	for i := range engines {
		id := fmt.Sprintf("e%04d", i)
		relay.options.Fleet.Put(fleet.Engine{ID: id, Service: "s", Slots: 8, Zone: fmt.Sprint("z", i%5)})
		relay.options.Fleet.RequestStarted(incarnation.ID{Engine: id})
		load := &fleet.Load{Running: i % 9}
		relay.options.Fleet.RequestEnded(incarnation.ID{Engine: id}, fleet.Outcome{At: time.Now(), Load: load})
	}
	request := &Request{ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h"}
	for b.Loop() {
		request.Received = time.Now()
		if _, failure := relay.Call(b.Context(), request); failure != nil {
			b.Fatal(failure)
		}
	}
}

// BenchmarkOfferTo1000FullEngines measures the admission of a request, and its withdrawal, while another one waits.
func BenchmarkOfferTo1000FullEngines(b *testing.B) {
	engineFleet := fleet.New()
	for i := range 1000 {
		engine := fleet.Engine{ID: fmt.Sprintf("e%04d", i), Service: "s", Slots: 1}
		engineFleet.Put(engine)
		engineFleet.RequestStarted(engine.Incarnation())
	}
	live := newLiveQueue(Options{
		Fleet: engineFleet, LiveQueue: livequeue.Limits{MaxWait: time.Hour, Requests: 1024, Bytes: 1 << 24},
	})
	request := livequeue.Request{Service: "s", Flow: "a", Deadline: time.Now().Add(time.Hour)}
	request.Owner = &waiter{query: fleet.Query{Service: "s"}, settled: make(chan struct{})}
	live.offer(request)
	for b.Loop() {
		entry, _ := live.offer(request)
		live.abandon(entry)
	}
}

func BenchmarkAdmissionAmong1000EnginesWithoutQueue(b *testing.B) {
	benchmarkAdmission(b, livequeue.Limits{})
}

func BenchmarkAdmissionAmong1000EnginesWithQueue(b *testing.B) {
	benchmarkAdmission(b, livequeue.Limits{MaxWait: time.Second, Requests: 1024, Bytes: 1 << 24})
}
