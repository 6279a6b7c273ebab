package batchrun

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// fakeGuard knows what a test says of each item, by the path of its request.
type fakeGuard struct {
	noCrashes
	mu       sync.Mutex
	standing map[quarantine.Fingerprint]quarantine.Standing
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
