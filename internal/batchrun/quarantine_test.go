package batchrun

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// fakeGuard knows what a test says of each item, by the path of its request.
type fakeGuard struct {
	noCrashes
	mu       sync.Mutex
	standing map[quarantine.Fingerprint]quarantine.Standing
	losses   []crashes.Loss
}

func (g *fakeGuard) ConnectionLost(_ context.Context, loss crashes.Loss) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses = append(g.losses, loss)
	return true
}

// lost returns the connections that were lost.
func (g *fakeGuard) lost() []crashes.Loss {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]crashes.Loss(nil), g.losses...)
}

func (g *fakeGuard) Standing(fingerprint func() quarantine.Fingerprint) quarantine.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.standing[fingerprint()]
}

// itemFingerprint is that of an item of a fake job.
func itemFingerprint(item string) quarantine.Fingerprint {
	return quarantine.Request{Method: "POST", Target: "/" + item}.Fingerprint()
}

// TestAnItemIsKeptAwayFromEnginesUntilItsHoldIsOver: others of its job run meanwhile.
func TestAnItemIsKeptAwayFromEnginesUntilItsHoldIsOver(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.engines.events["x"], w.engines.events["y"] = 2, 2
	until := time.Now().Add(time.Second)
	w.guard = &fakeGuard{standing: map[quarantine.Fingerprint]quarantine.Standing{
		itemFingerprint("x"): {Crashes: quarantine.ItemLimit, Isolated: 1, HeldUntil: until},
	}}
	w.lead()
	w.submit("j", 1, "x", "y")
	testwait.Until(t, "the other item's result", func() bool { return len(w.jobs.results()) == 1 })
	calls, _ := w.engines.callsOf("x")
	assert.Assert(t, len(calls) == 0 || !time.Now().Before(until), "the item ran while it was held")
	result := w.awaitResults(2)["j/0"]
	assert.Equal(t, string(result.Text), wholeText("x", 2))
	assert.Assert(t, !time.Now().Before(until))
}

// TestAnItemThatWasNeverApartRuns: engines that crash by themselves, or under others, take
// items with them.
func TestAnItemThatWasNeverApartRuns(t *testing.T) {
	w := newWorld(t, "a")
	w.engines.events["x"] = 2
	w.guard = &fakeGuard{standing: map[quarantine.Fingerprint]quarantine.Standing{
		itemFingerprint("x"): {Crashes: quarantine.SharedItemLimit - 1, HeldUntil: time.Now().Add(time.Hour)},
	}}
	w.lead()
	w.submit("j", 1, "x")
	assert.Equal(t, string(w.awaitResults(1)["j/0"].Text), wholeText("x", 2))
}

// TestOnlyAnEndOfAnItemThatBeganApartIsTold: of an item that is suspect, soon after it began.
func TestOnlyAnEndOfAnItemThatBeganApartIsTold(t *testing.T) {
	for name, ended := range map[string]int{"suspect": quarantine.ItemLimit - 1, "not suspect": 1} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "a", "b")
			w.engines.events["x"] = 2
			guard := &fakeGuard{standing: map[quarantine.Fingerprint]quarantine.Standing{itemFingerprint("x"): {Crashes: ended}}}
			w.guard = guard
			w.engines.refuse = func(_ string, call Call) *RefusedError {
				if calls := guard.lost(); len(calls) == 0 {
					return &RefusedError{Refusal: Broken, ConnectionLost: true, Detail: "EOF"}
				}
				return nil
			}
			w.lead()
			w.submit("j", 1, "x")
			w.awaitResults(1)
			assert.Equal(t, len(guard.lost()), 1)
			assert.Equal(t, guard.lost()[0].Isolated, ended >= quarantine.ItemLimit-1)
		})
	}
}
