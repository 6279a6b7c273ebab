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

func (z *evacuationRecorder) record(engine fleet.Engine, what string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.fleet.IsEvacuated(engine.Zone) {
		z.calls = append(z.calls, engine.ID+": "+what)
	}
}

func (z *evacuationRecorder) Report(ctx context.Context, engine fleet.Engine, maySend func() bool) (Report, error) {
	if z.blocked != nil && engine.Zone == "za" {
		defer z.ended.Add(1)
		z.blocked <- engine.ID
		<-z.release
	}
	if !maySend() {
		return Report{}, errors.New("not permitted")
	}
	z.record(engine, "report")
	return z.Engines.Report(ctx, engine, maySend)
}

// Order checks whether the order may be sent, as a real client does.
func (z *evacuationRecorder) Order(ctx context.Context, engine fleet.Engine, order Order) (Answer, error) {
	if !order.MaySend() {
		return Refused, nil
	}
	z.record(engine, "order")
	return z.Engines.Order(ctx, engine, order)
}

func (z *evacuationRecorder) recorded() []string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return append([]string(nil), z.calls...)
}

// Guards against requests to an evacuated zone, even with a load in progress there. Its engines load when the
// zone is readmitted.
func TestEvacuatedZoneGetsNeitherOrdersNorReportRequests(t *testing.T) {
	t.Parallel()
	var recorder *evacuationRecorder
	w := startManager(t, 2, func(options *Options) {
		recorder = &evacuationRecorder{Engines: options.Engines, fleet: options.Fleet}
		options.Engines = recorder
		for id, zone := range map[string]string{"e0": "za", "e1": "zb"} {
			options.Fleet.Put(fleet.Engine{
				ID: id, Service: service, Zone: zone, Slots: 4, Versions: map[string]int64{model: 1},
			})
		}
	})
	testwait.Until(t, "both loads are ordered", func() bool { return w.engines.orderCount() == 2 })
	w.fleet.Evacuate("za", time.Now(), 1)
	testwait.Until(t, "the other zone's engine has loaded", func() bool {
		engine, _ := w.fleet.Get("e1")
		return engine.Versions[model] == 2
	})
	w.version.Store(3)
	testwait.Until(t, "the other zone's engine has loaded version 3", func() bool { return w.engines.versionOf("e1") == 3 })
	assert.DeepEqual(t, recorder.recorded(), []string(nil))
	assert.Equal(t, w.engines.versionOf("e0"), int64(2))
	w.fleet.EndEvacuation("za", time.Now(), 2)
	testwait.Until(t, "the engine loads after its zone is readmitted", func() bool { return w.engines.versionOf("e0") == 3 })
}

// Guards against a request that is sent after the evacuation because it was permitted before.
func TestBlockedReportRequestIsNotSentAfterEvacuation(t *testing.T) {
	t.Parallel()
	var recorder *evacuationRecorder
	w := startManager(t, 2, func(options *Options) {
		recorder = &evacuationRecorder{
			Engines: options.Engines, fleet: options.Fleet, blocked: make(chan string, 64), release: make(chan struct{}),
		}
		options.Engines = recorder
		options.Fleet.Put(fleet.Engine{ID: "e0", Service: service, Zone: "za", Slots: 4, Versions: map[string]int64{model: 1}})
	})
	<-recorder.blocked
	w.fleet.Evacuate("za", time.Now(), 1)
	close(recorder.release)
	testwait.Until(t, "the blocked request ends", func() bool { return recorder.ended.Load() > 0 })
	assert.DeepEqual(t, recorder.recorded(), []string(nil))
	w.fleet.EndEvacuation("za", time.Now(), 2)
	testwait.Until(t, "the engine loads after its zone is readmitted", func() bool { return w.engines.versionOf("e0") == 2 })
}
