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

// fakeProber counts probes and returns a fixed answer.
type fakeProber struct {
	answer Liveness
	probes atomic.Int64
	// maySend is whether the last probe could send a request.
	maySend atomic.Bool
	// hold, if set, blocks probes until it is closed.
	hold chan struct{}
}

func (p *fakeProber) Probe(_ context.Context, _ fleet.Engine, maySend func() bool) Liveness {
	p.probes.Add(1)
	p.maySend.Store(maySend())
	if p.hold != nil {
		<-p.hold
	}
	return p.answer
}

func engineAt(id, address string) fleet.Engine {
	return fleet.Engine{ID: id, Service: "s", Address: address, Slots: 4}
}

func newTestDetector(prober Prober, engines ...fleet.Engine) *Detector {
	testFleet := fleet.New()
	for _, engine := range engines {
		testFleet.Put(engine)
	}
	return NewDetector(Options{
		Prober: prober, Fleet: testFleet, Logger: zerolog.Nop(), OnConnectionLost: func(string, string) {},
	})
}

func TestOnlyRefusedConnectionsCountAsCrash(t *testing.T) {
	engine := engineAt("e", "a:1")
	for answer, crashed := range map[Liveness]bool{Ended: true, Listening: false, Unknown: false} {
		detector := newTestDetector(&fakeProber{answer: answer}, engine)
		assert.Equal(t, detector.ConnectionLost(t.Context(), LostConnection{Engine: engine}), crashed, answer.String())
	}
}

func TestDrainingEngineHasNotCrashed(t *testing.T) {
	draining := engineAt("e", "a:1")
	draining.Draining = true
	assert.Assert(t, !newTestDetector(&fakeProber{answer: Ended}, draining).ConnectionLost(t.Context(), LostConnection{Engine: draining}))
	// The engine is no longer listed.
	assert.Assert(t, !newTestDetector(&fakeProber{answer: Ended}).ConnectionLost(t.Context(), LostConnection{Engine: draining}))
}

// TestReplacedEngineHasCrashed: a node that was suspended notices the lost connection when another engine has the
// address.
func TestReplacedEngineHasCrashed(t *testing.T) {
	engine := engineAt("e", "a:1")
	detector := newTestDetector(&fakeProber{answer: Listening}, engine, engineAt("next", "a:1"))
	assert.Assert(t, detector.ConnectionLost(t.Context(), LostConnection{Engine: engine}))
}

// TestConcurrentLossesShareOneProbe: a crash closes all connections of an engine at the same time.
func TestConcurrentLossesShareOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := engineAt("e", "a:1")
		prober := &fakeProber{answer: Ended, hold: make(chan struct{})}
		detector := newTestDetector(prober, engine)
		var group sync.WaitGroup
		var crashed atomic.Int64
		for range 16 {
			group.Go(func() {
				if detector.ConnectionLost(t.Context(), LostConnection{Engine: engine}) {
					crashed.Add(1)
				}
			})
		}
		synctest.Wait()
		close(prober.hold)
		group.Wait()
		assert.Equal(t, crashed.Load(), int64(16))
		assert.Equal(t, prober.probes.Load(), int64(1))
	})
}

// engineStartedAt returns an engine with the given start time.
func engineStartedAt(id, address string, startMillis int64) fleet.Engine {
	engine := engineAt(id, address)
	engine.StartMillis = startMillis
	return engine
}

// TestRestartedEngineHasCrashed: the next incarnation listens at the address before the probe.
func TestRestartedEngineHasCrashed(t *testing.T) {
	first, second := engineStartedAt("e", "a:1", 1000), engineStartedAt("e", "a:1", 2000)
	prober := &fakeProber{answer: Listening}
	detector := newTestDetector(prober, first, second)
	assert.Assert(t, detector.ConnectionLost(t.Context(), LostConnection{Engine: first}))
	assert.Equal(t, prober.probes.Load(), int64(0), "another incarnation listens there")
	assert.Assert(t, !detector.ConnectionLost(t.Context(), LostConnection{Engine: second}))
}

// TestDrainedAndRestartedEngineHasNotCrashed: the end of a draining engine is planned.
func TestDrainedAndRestartedEngineHasNotCrashed(t *testing.T) {
	first := engineStartedAt("e", "a:1", 1000)
	draining := first
	draining.Draining = true
	detector := newTestDetector(&fakeProber{answer: Ended}, first, draining, engineStartedAt("e", "a:1", 2000))
	assert.Assert(t, !detector.ConnectionLost(t.Context(), LostConnection{Engine: first}))
}

// TestEngineWithReassignedAddressHasCrashed: an engine of another service is listed at the address.
func TestEngineWithReassignedAddressHasCrashed(t *testing.T) {
	first, next := engineStartedAt("e", "a:1", 1000), engineStartedAt("f", "a:1", 2000)
	next.Service = "other"
	detector := newTestDetector(&fakeProber{answer: Listening}, first, next)
	assert.Assert(t, detector.ConnectionLost(t.Context(), LostConnection{Engine: first}))
}

// TestIncarnationsAreProbedSeparately: the probe of an incarnation must not share the result of a hanging probe of the
// previous one.
func TestIncarnationsAreProbedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := engineStartedAt("e", "a:1", 1000), engineStartedAt("e", "a:1", 2000)
		testFleet := fleet.New()
		testFleet.Put(first)
		prober := &fakeProber{answer: Ended, hold: make(chan struct{})}
		detector := NewDetector(Options{
			Prober: prober, Fleet: testFleet, Logger: zerolog.Nop(), OnConnectionLost: func(string, string) {},
		})
		var group sync.WaitGroup
		group.Go(func() { detector.ConnectionLost(t.Context(), LostConnection{Engine: first}) })
		synctest.Wait()
		testFleet.Put(second)
		group.Go(func() { detector.ConnectionLost(t.Context(), LostConnection{Engine: second}) })
		synctest.Wait()
		assert.Equal(t, prober.probes.Load(), int64(2))
		close(prober.hold)
		group.Wait()
	})
}

// TestNoProbeRequestInEvacuatedZone: a probe must not send requests to an evacuated zone; connecting suffices to
// detect a crash.
func TestNoProbeRequestInEvacuatedZone(t *testing.T) {
	engine := engineAt("e", "a:1")
	engine.Zone = "za"
	prober := &fakeProber{answer: Listening}
	detector := newTestDetector(prober, engine)
	detector.ConnectionLost(t.Context(), LostConnection{Engine: engine})
	assert.Assert(t, prober.maySend.Load())
	detector.options.Fleet.Evacuate("za", time.Now(), 1)
	detector.ConnectionLost(t.Context(), LostConnection{Engine: engine})
	assert.Assert(t, !prober.maySend.Load())
}
