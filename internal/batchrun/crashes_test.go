package batchrun

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/crashes"
)

// recordingObserver records the lost connections, each of a crashed engine.
type recordingObserver struct {
	mu     sync.Mutex
	losses []crashes.LostConnection
}

func (o *recordingObserver) ConnectionLost(_ context.Context, loss crashes.LostConnection) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.losses = append(o.losses, loss)
	return true
}

func (o *recordingObserver) lost() []crashes.LostConnection {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]crashes.LostConnection(nil), o.losses...)
}

// restartingEngines are engines of which each crashes under the first runs of an item, and starts anew.
type restartingEngines struct {
	*fakeEngines
	fleet *fleet.Fleet
	item  string

	mu      sync.Mutex
	crashes int
	// triedAt holds the times of the runs of the item.
	triedAt []time.Time
}

func (e *restartingEngines) Stream(ctx context.Context, engine fleet.Engine, call Call) (Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if call.ItemID != e.item {
		return e.fakeEngines.Stream(ctx, engine, call)
	}
	e.triedAt = append(e.triedAt, time.Now())
	if len(e.triedAt) > e.crashes {
		return e.fakeEngines.Stream(ctx, engine, call)
	}
	restarted := engineOf(engine.ID)
	restarted.StartMillis = engine.StartMillis + 1
	e.fleet.Put(restarted)
	return nil, &CallError{Kind: InvalidResponse, ConnectionLost: true, Detail: "EOF"}
}

// Guards against an accepted item that is never placed again because engines crashed while they ran it.
func TestItemUnderWhichManyEnginesCrashedIsCompleted(t *testing.T) {
	const crashCount = 20
	env := newTestEnv(t, "a", "b", "c")
	env.engines.events["x"], env.engines.events["y"] = 2, 2
	observer := &recordingObserver{}
	env.crashes = observer
	engines := &restartingEngines{fakeEngines: env.engines, fleet: env.fleet, item: "x", crashes: crashCount}
	env.startRunnerWith(engines)
	env.submit("j", 1, "x", "y")
	results := env.awaitResults(2)
	assert.Equal(t, string(results["j/0"].Text), fullText("x", 2))
	assert.Equal(t, string(results["j/1"].Text), fullText("y", 2))
	assert.Equal(t, len(observer.lost()), crashCount)
	engines.mu.Lock()
	defer engines.mu.Unlock()
	for i := 1; i < len(engines.triedAt); i++ {
		assert.Assert(t, engines.triedAt[i].Sub(engines.triedAt[i-1]) < 5*time.Second, "try %d", i)
	}
}

// Guards against starts apart from other items, which leave engines idle while items wait.
func TestItemsUnderWhichEnginesCrashedShareEngines(t *testing.T) {
	env := newTestEnv(t, "a")
	env.crashes = &recordingObserver{}
	var items []string
	for i := range 8 {
		items = append(items, fmt.Sprint("x", i))
		env.engines.events[items[i]] = 20
	}
	env.engines.pause["a"] = 20 * time.Millisecond
	runs := make(map[string]int)
	env.engines.refuse = func(_ string, call Call) *CallError {
		if runs[call.ItemID]++; runs[call.ItemID] > 4 {
			return nil
		}
		restarted := engineOf("a")
		restarted.StartMillis = int64(len(env.engines.calls))
		env.fleet.Put(restarted)
		return &CallError{Kind: InvalidResponse, ConnectionLost: true, Detail: "EOF"}
	}
	runner, _ := env.startRunner()
	env.submit("j", 1, items...)
	most := 0
	for len(env.jobs.results()) == 0 {
		for _, running := range runner.RunningByEngine() {
			most = max(most, running)
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, most, len(items))
	env.awaitResults(len(items))
	assert.Equal(t, runner.Running(incarnation.ID{Engine: "a"}), 0)
}
