package batchrun

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// submitSized adds a job whose items are expected to take the given number of tokens each.
func (env *testEnv) submitSized(id string, tokens int, items ...string) {
	record := batch.JobRecord{ID: id, Model: "m", MinVersion: 1}
	for _, item := range items {
		record.Items = append(record.Items, batch.ItemRecord{ID: item, Group: "g", Prompt: tokens, Tokens: tokens})
	}
	env.jobs.apply(batch.Record{Job: &record})
}

// crashingEngines breaks the streams of the first items together, once all of them have started.
type crashingEngines struct {
	*fakeEngines
	started    atomic.Int64
	items      int64
	allStarted chan struct{}
}

func (e *crashingEngines) Stream(ctx context.Context, engine fleet.Engine, call Call) (Stream, error) {
	started := e.started.Add(1)
	if started > e.items {
		return e.fakeEngines.Stream(ctx, engine, call)
	}
	if started == e.items {
		close(e.allStarted)
	}
	select {
	case <-e.allStarted:
	case <-ctx.Done():
	}
	return nil, &CallError{Kind: InvalidResponse, ConnectionLost: true, Detail: "EOF"}
}

// reportedLosses runs items of a size on one engine that crashes once while running all of them. It returns how
// many lost connections were reported as possible crashes.
func reportedLosses(t *testing.T, tokens int, items ...string) int {
	t.Helper()
	env := newTestEnv(t, "a")
	env.engineTokens = 1000
	observer := &recordingObserver{}
	env.crashes = observer
	for _, item := range items {
		env.engines.events[item] = 3
	}
	env.startRunnerWith(&crashingEngines{
		fakeEngines: env.engines, items: int64(len(items)), allStarted: make(chan struct{}),
	})
	env.submitSized("j", tokens, items...)
	env.awaitResults(len(items))
	return len(observer.lost())
}

// Two items of 600 tokens exceed the 1000 of the engine.
func TestCrashOfOvercommittedEngineIsNotReported(t *testing.T) {
	assert.Equal(t, reportedLosses(t, 600, "x", "y"), 0)
}

func TestCrashWithinMemoryIsReported(t *testing.T) {
	assert.Equal(t, reportedLosses(t, 400, "x", "y"), 2)
}

func TestCrashOnOversizedItemIsReported(t *testing.T) {
	assert.Equal(t, reportedLosses(t, 1200, "x"), 1)
}

// Guards against an item that is given up because each crash is put down to overcommitted memory.
func TestItemsOfOvercommittedEnginesAreCompleted(t *testing.T) {
	env := newTestEnv(t, "a")
	env.engineTokens = 1000
	env.engines.events["x"], env.engines.events["y"] = 2, 2
	crashes := 0
	env.engines.refuse = func(string, Call) *CallError {
		if crashes++; crashes > 12 {
			return nil
		}
		restarted := engineOf("a")
		restarted.StartMillis = int64(crashes)
		env.fleet.Put(restarted)
		return &CallError{Kind: InvalidResponse, ConnectionLost: true, Detail: "EOF"}
	}
	env.startRunner()
	env.submitSized("j", 600, "x", "y")
	env.awaitResults(2)
}
