package crashes

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// fakeProber returns a fixed answer and counts its probes.
type fakeProber struct {
	answer Liveness
	asked  atomic.Int64
	// mayAsk is whether the last probe was permitted to send a request.
	mayAsk atomic.Bool
	// hold, if set, delays the answer until it is closed.
	hold chan struct{}
}

func (p *fakeProber) Probe(_ context.Context, _ fleet.Engine, mayAsk func() bool) Liveness {
	p.asked.Add(1)
	p.mayAsk.Store(mayAsk())
	if p.hold != nil {
		<-p.hold
	}
	return p.answer
}

func engineAt(id, address string) fleet.Engine {
	return fleet.Engine{ID: id, Service: "s", Address: address, Slots: 4}
}

func watchOf(prober Prober, engines ...fleet.Engine) *Watch {
	known := fleet.New()
	for _, engine := range engines {
		known.Put(engine)
	}
	return NewWatch(Options{Prober: prober, Fleet: known, Logger: zerolog.Nop(), Observe: func(string, string) {}})
}

func TestOnlyAnEngineThatTakesNoConnectionsHasCrashed(t *testing.T) {
	engine := engineAt("e", "a:1")
	for answer, crashed := range map[Liveness]bool{Ended: true, Listening: false, Unknown: false} {
		watch := watchOf(&fakeProber{answer: answer}, engine)
		assert.Equal(t, watch.ConnectionLost(t.Context(), Loss{Engine: engine}), crashed, answer.String())
	}
}

func TestAnEngineWhoseEndWasPlannedHasNotCrashed(t *testing.T) {
	leaving := engineAt("e", "a:1")
	leaving.Draining = true
	assert.Assert(t, !watchOf(&fakeProber{answer: Ended}, leaving).ConnectionLost(t.Context(), Loss{Engine: leaving}))
	// Its entry was removed.
	assert.Assert(t, !watchOf(&fakeProber{answer: Ended}).ConnectionLost(t.Context(), Loss{Engine: leaving}))
}

// TestAnEngineThatWasReplacedHasCrashed: a node that was suspended notices the lost connection
// when another engine has the address.
func TestAnEngineThatWasReplacedHasCrashed(t *testing.T) {
	engine := engineAt("e", "a:1")
	watch := watchOf(&fakeProber{answer: Listening}, engine, engineAt("next", "a:1"))
	assert.Assert(t, watch.ConnectionLost(t.Context(), Loss{Engine: engine}))
}

// TestConnectionsLostTogetherAreOneLook: an engine that ends loses all its connections at once.
func TestConnectionsLostTogetherAreOneLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := engineAt("e", "a:1")
		prober := &fakeProber{answer: Ended, hold: make(chan struct{})}
		watch := watchOf(prober, engine)
		var group sync.WaitGroup
		var crashed atomic.Int64
		for range 16 {
			group.Go(func() {
				if watch.ConnectionLost(t.Context(), Loss{Engine: engine}) {
					crashed.Add(1)
				}
			})
		}
		synctest.Wait()
		close(prober.hold)
		group.Wait()
		assert.Equal(t, crashed.Load(), int64(16))
		assert.Equal(t, prober.asked.Load(), int64(1))
	})
}

// startOf returns an engine with a start time.
func startOf(id, address string, born int64) fleet.Engine {
	engine := engineAt(id, address)
	engine.Born = born
	return engine
}

// TestAnEngineThatStartedAgainHasCrashed: the next incarnation listens at the address before the probe.
func TestAnEngineThatStartedAgainHasCrashed(t *testing.T) {
	first, second := startOf("e", "a:1", 1000), startOf("e", "a:1", 2000)
	prober := &fakeProber{answer: Listening}
	watch := watchOf(prober, first, second)
	assert.Assert(t, watch.ConnectionLost(t.Context(), Loss{Engine: first}))
	assert.Equal(t, prober.asked.Load(), int64(0), "who listens there is another start")
	assert.Assert(t, !watch.ConnectionLost(t.Context(), Loss{Engine: second}))
}

// TestAnEngineThatLeftAndStartedAgainHasNotCrashed: its end was planned.
func TestAnEngineThatLeftAndStartedAgainHasNotCrashed(t *testing.T) {
	first := startOf("e", "a:1", 1000)
	leaving := first
	leaving.Draining = true
	watch := watchOf(&fakeProber{answer: Ended}, first, leaving, startOf("e", "a:1", 2000))
	assert.Assert(t, !watch.ConnectionLost(t.Context(), Loss{Engine: first}))
}

// TestAnEngineWhoseAddressHasPassedOnHasCrashed: an engine of another service is listed there.
func TestAnEngineWhoseAddressHasPassedOnHasCrashed(t *testing.T) {
	first, next := startOf("e", "a:1", 1000), startOf("f", "a:1", 2000)
	next.Service = "other"
	watch := watchOf(&fakeProber{answer: Listening}, first, next)
	assert.Assert(t, watch.ConnectionLost(t.Context(), Loss{Engine: first}))
}

// TestEachStartOfAnEngineIsLookedAtApart: a hanging probe of an incarnation is not joined by probes of the next.
func TestEachStartOfAnEngineIsLookedAtApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := startOf("e", "a:1", 1000), startOf("e", "a:1", 2000)
		known := fleet.New()
		known.Put(first)
		prober := &fakeProber{answer: Ended, hold: make(chan struct{})}
		watch := NewWatch(Options{Prober: prober, Fleet: known, Logger: zerolog.Nop(), Observe: func(string, string) {}})
		var group sync.WaitGroup
		group.Go(func() { watch.ConnectionLost(t.Context(), Loss{Engine: first}) })
		synctest.Wait()
		known.Put(second)
		group.Go(func() { watch.ConnectionLost(t.Context(), Loss{Engine: second}) })
		synctest.Wait()
		assert.Equal(t, prober.asked.Load(), int64(2))
		close(prober.hold)
		group.Wait()
	})
}

// TestAnEngineInAnEvacuatedZoneIsAskedNothing: no request is sent there; refused connections are detected
// without one.
func TestAnEngineInAnEvacuatedZoneIsAskedNothing(t *testing.T) {
	engine := engineAt("e", "a:1")
	engine.Zone = "za"
	prober := &fakeProber{answer: Listening}
	watch := watchOf(prober, engine)
	watch.ConnectionLost(t.Context(), Loss{Engine: engine})
	assert.Assert(t, prober.mayAsk.Load())
	watch.options.Fleet.Evacuate("za", time.Now(), 1)
	watch.ConnectionLost(t.Context(), Loss{Engine: engine})
	assert.Assert(t, !prober.mayAsk.Load())
}
