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

// zoneWatch records each report request and order to an engine in an evacuated zone.
type zoneWatch struct {
	Engines
	fleet *fleet.Fleet
	// dialling and release, if set, block each report request to zone za before its check whether it may
	// be sent.
	dialling chan string
	release  chan struct{}
	mu       sync.Mutex
	asked    []string
	// ended counts the blocked requests that have ended.
	ended atomic.Int64
}

func (z *zoneWatch) note(engine fleet.Engine, what string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.fleet.IsEvacuated(engine.Zone) {
		z.asked = append(z.asked, engine.ID+": "+what)
	}
}

func (z *zoneWatch) Report(ctx context.Context, engine fleet.Engine, mayLeave func() bool) (Report, error) {
	if z.dialling != nil && engine.Zone == "za" {
		defer z.ended.Add(1)
		z.dialling <- engine.ID
		<-z.release
	}
	if !mayLeave() {
		return Report{}, errors.New("not permitted")
	}
	z.note(engine, "report")
	return z.Engines.Report(ctx, engine, mayLeave)
}

// Order checks the permission to send as a client of engines does.
func (z *zoneWatch) Order(ctx context.Context, engine fleet.Engine, order Order) (Answer, error) {
	if !order.MayLeave() {
		return Refused, nil
	}
	z.note(engine, "order")
	return z.Engines.Order(ctx, engine, order)
}

func (z *zoneWatch) noted() []string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return append([]string(nil), z.asked...)
}

// TestEnginesOfAnEvacuatedZoneAreNeitherOrderedNorAsked: even with a load in progress there. They load
// when the zone is readmitted.
func TestEnginesOfAnEvacuatedZoneAreNeitherOrderedNorAsked(t *testing.T) {
	t.Parallel()
	var watch *zoneWatch
	w := manage(t, 2, func(options *Options) {
		watch = &zoneWatch{Engines: options.Engines, fleet: options.Fleet}
		options.Engines = watch
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
	testwait.Until(t, "it has loaded again", func() bool { return w.engines.versionOf("e1") == 3 })
	assert.DeepEqual(t, watch.noted(), []string(nil))
	assert.Equal(t, w.engines.versionOf("e0"), int64(2))
	w.fleet.TakeBack("za", time.Now(), 2)
	testwait.Until(t, "the engine loads when its zone is back", func() bool { return w.engines.versionOf("e0") == 3 })
}

// TestAQuestionThatWasDialledBeforeAnEvacuationDoesNotLeave: the report is requested when the zone is readmitted.
func TestAQuestionThatWasDialledBeforeAnEvacuationDoesNotLeave(t *testing.T) {
	t.Parallel()
	var watch *zoneWatch
	w := manage(t, 2, func(options *Options) {
		watch = &zoneWatch{
			Engines: options.Engines, fleet: options.Fleet, dialling: make(chan string, 64), release: make(chan struct{}),
		}
		options.Engines = watch
		options.Fleet.Put(fleet.Engine{ID: "e0", Service: service, Zone: "za", Slots: 4, Versions: map[string]int64{model: 1}})
	})
	<-watch.dialling
	w.fleet.Evacuate("za", time.Now(), 1)
	close(watch.release)
	testwait.Until(t, "the question ends", func() bool { return watch.ended.Load() > 0 })
	assert.DeepEqual(t, watch.noted(), []string(nil))
	w.fleet.TakeBack("za", time.Now(), 2)
	testwait.Until(t, "the engine loads when its zone is back", func() bool { return w.engines.versionOf("e0") == 2 })
}
