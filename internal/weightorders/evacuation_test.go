package weightorders

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// evacuationRecorder records the report requests and orders to engines in an evacuated zone.
type evacuationRecorder struct {
	Engines
	fleet *fleet.Fleet
	// blocked, if set, receives the engine of each report request to zone za. The request then waits for release
	// before it checks whether it may be sent.
	blocked chan string
	release chan struct{}
	mu      sync.Mutex
	calls   []string
	// ended is the number of blocked requests that have ended.
	ended atomic.Int64
}

func (r *evacuationRecorder) record(engine fleet.Engine, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fleet.IsEvacuated(engine.Zone) {
		r.calls = append(r.calls, engine.ID+": "+request)
	}
}

func (r *evacuationRecorder) Report(ctx context.Context, engine fleet.Engine, maySend func() bool) (Report, error) {
	if r.blocked != nil && engine.Zone == "za" {
		defer r.ended.Add(1)
		r.blocked <- engine.ID
		<-r.release
	}
	if !maySend() {
		return Report{}, errors.New("not permitted")
	}
	r.record(engine, "report")
	return r.Engines.Report(ctx, engine, maySend)
}

// Order checks whether the order may be sent, as a real client does.
func (r *evacuationRecorder) Order(ctx context.Context, engine fleet.Engine, order Order) (Answer, error) {
	if !order.MaySend() {
		return Refused, nil
	}
	r.record(engine, "order")
	return r.Engines.Order(ctx, engine, order)
}

func (r *evacuationRecorder) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.calls...)
}

// Guards against requests to an evacuated zone, even with a load in progress there. Its engines load when the
// zone is readmitted.
func TestEvacuatedZoneGetsNeitherOrdersNorReportRequests(t *testing.T) {
	t.Parallel()
	var recorder *evacuationRecorder
	m := startManager(t, 2, func(options *Options) {
		recorder = &evacuationRecorder{Engines: options.Engines, fleet: options.Fleet}
		options.Engines = recorder
		for id, zone := range map[string]string{"e0": "za", "e1": "zb"} {
			options.Fleet.Put(fleet.Engine{
				ID: id, Service: service, Zone: zone, Slots: 4, Versions: map[string]int64{model: 1},
			})
		}
	})
	testwait.Until(t, "both loads are ordered", func() bool { return m.engines.orderCount() == 2 })
	m.fleet.Evacuate("za", time.Now(), 1)
	testwait.Until(t, "the other zone's engine has loaded", func() bool {
		engine, _ := m.fleet.Get("e1")
		return engine.Versions[model] == 2
	})
	m.version.Store(3)
	testwait.Until(t, "the other zone's engine has loaded version 3", func() bool { return m.engines.versionOf("e1") == 3 })
	assert.DeepEqual(t, recorder.recorded(), []string(nil))
	assert.Equal(t, m.engines.versionOf("e0"), int64(2))
	m.fleet.EndEvacuation("za", time.Now(), 2)
	testwait.Until(t, "the engine loads after its zone is readmitted", func() bool { return m.engines.versionOf("e0") == 3 })
}

// Guards against a request that is sent after the evacuation because it was permitted before.
func TestBlockedReportRequestIsNotSentAfterEvacuation(t *testing.T) {
	t.Parallel()
	var recorder *evacuationRecorder
	m := startManager(t, 2, func(options *Options) {
		recorder = &evacuationRecorder{
			Engines: options.Engines, fleet: options.Fleet, blocked: make(chan string, 64), release: make(chan struct{}),
		}
		options.Engines = recorder
		options.Fleet.Put(fleet.Engine{ID: "e0", Service: service, Zone: "za", Slots: 4, Versions: map[string]int64{model: 1}})
	})
	<-recorder.blocked
	m.fleet.Evacuate("za", time.Now(), 1)
	close(recorder.release)
	testwait.Until(t, "the blocked request ends", func() bool { return recorder.ended.Load() > 0 })
	assert.DeepEqual(t, recorder.recorded(), []string(nil))
	m.fleet.EndEvacuation("za", time.Now(), 2)
	testwait.Until(t, "the engine loads after its zone is readmitted", func() bool { return m.engines.versionOf("e0") == 2 })
}
