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

// fakeGuard returns preset statuses by fingerprint and records the lost connections.
type fakeGuard struct {
	noopGuard
	mu     sync.Mutex
	status map[quarantine.Fingerprint]quarantine.Status
	losses []crashes.LostConnection
}

func (g *fakeGuard) ConnectionLost(_ context.Context, loss crashes.LostConnection) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses = append(g.losses, loss)
	return true
}

func (g *fakeGuard) lost() []crashes.LostConnection {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]crashes.LostConnection(nil), g.losses...)
}

func (g *fakeGuard) Status(fingerprint func() quarantine.Fingerprint) quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status[fingerprint()]
}

// itemFingerprint returns the fingerprint of an item of fakeJobs.
func itemFingerprint(item string) quarantine.Fingerprint {
	return quarantine.Request{Method: "POST", Target: "/" + item}.Fingerprint()
}

// Other items of the job must run meanwhile.
func TestQuarantinedItemWaitsUntilReleased(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.engines.events["x"], env.engines.events["y"] = 2, 2
	until := time.Now().Add(time.Second)
	env.guard = &fakeGuard{status: map[quarantine.Fingerprint]quarantine.Status{
		itemFingerprint("x"): {Crashes: quarantine.ItemLimit, Isolated: 1, HeldUntil: until},
	}}
	env.startRunner()
	env.submit("j", 1, "x", "y")
	testwait.Until(t, "the other item's result", func() bool { return len(env.jobs.results()) == 1 })
	calls, _ := env.engines.callsOf("x")
	assert.Assert(t, len(calls) == 0 || !time.Now().Before(until), "the item ran during its quarantine")
	result := env.awaitResults(2)["j/0"]
	assert.Equal(t, string(result.Text), fullText("x", 2))
	assert.Assert(t, !time.Now().Before(until))
}

// Below the shared limit, crashes may be due to the engine or to other items on it.
func TestItemWithoutIsolatedCrashRuns(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engines.events["x"] = 2
	env.guard = &fakeGuard{status: map[quarantine.Fingerprint]quarantine.Status{
		itemFingerprint("x"): {Crashes: quarantine.SharedItemLimit - 1, HeldUntil: time.Now().Add(time.Hour)},
	}}
	env.startRunner()
	env.submit("j", 1, "x")
	assert.Equal(t, string(env.awaitResults(1)["j/0"].Text), fullText("x", 2))
}

func TestCrashIsReportedAsIsolatedForSuspectItemsOnly(t *testing.T) {
	for name, crashCount := range map[string]int{"suspect": quarantine.ItemLimit - 1, "not suspect": 1} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, "a", "b")
			env.engines.events["x"] = 2
			guard := &fakeGuard{status: map[quarantine.Fingerprint]quarantine.Status{itemFingerprint("x"): {Crashes: crashCount}}}
			env.guard = guard
			env.engines.refuse = func(_ string, call Call) *CallError {
				if losses := guard.lost(); len(losses) == 0 {
					return &CallError{Kind: InvalidResponse, ConnectionLost: true, Detail: "EOF"}
				}
				return nil
			}
			env.startRunner()
			env.submit("j", 1, "x")
			env.awaitResults(1)
			assert.Equal(t, len(guard.lost()), 1)
			assert.Equal(t, guard.lost()[0].Isolated, crashCount >= quarantine.ItemLimit-1)
		})
	}
}
