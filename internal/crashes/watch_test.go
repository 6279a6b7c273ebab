package crashes

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// fakeProber gives one answer and counts how often it was asked.
type fakeProber struct {
	answer Liveness
	asked  atomic.Int64
	// hold, where it is set, is waited for before an answer.
	hold chan struct{}
}

func (p *fakeProber) Probe(context.Context, fleet.Engine) Liveness {
	p.asked.Add(1)
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
	// Its entry is gone.
	assert.Assert(t, !watchOf(&fakeProber{answer: Ended}).ConnectionLost(t.Context(), Loss{Engine: leaving}))
}

// TestAnEngineThatWasReplacedHasCrashed: a node that was suspended hears of the lost
// connection when another engine has the address.
func TestAnEngineThatWasReplacedHasCrashed(t *testing.T) {
	engine := engineAt("e", "a:1")
	watch := watchOf(&fakeProber{answer: Listening}, engine, engineAt("next", "a:1"))
	assert.Assert(t, watch.ConnectionLost(t.Context(), Loss{Engine: engine}))
}

// TestConnectionsLostTogetherAreOneLook: an engine that ends loses all its requests.
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
