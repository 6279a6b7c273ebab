package router

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/message"
)

// faults are the dispatcher behaviors that the random test combines. startsRequest is set if the
// dispatcher may pass the request to an engine.
var faults = []struct {
	startsRequest bool
	newDispatcher func(tokens int) dispatcherFunc
}{
	{false, func(int) dispatcherFunc { return refuse(errkind.New(errkind.QueueFull, "full")) }},
	{false, func(int) dispatcherFunc { return refuse(errkind.New(errkind.Draining, "node is stopping")) }},
	{true, func(int) dispatcherFunc { return serve }},
	{true, loseAfter},
	{true, func(tokens int) dispatcherFunc { return endAfter(tokens, connectionReset()) }},
	{true, func(tokens int) dispatcherFunc {
		return endAfter(tokens, errkind.New(errkind.EngineFailed, "engine crashed"))
	}},
	{true, func(tokens int) dispatcherFunc { // omits the first tokens
		return func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
			if submit.Attach {
				return serve(ctx, submit, send)
			}
			generate(submit, startIndex(submit)+tokens, answerLength, send)
			finish(submit, send)
			return nil
		}
	}},
	{true, func(int) dispatcherFunc { // rejects attaching
		return func(_ context.Context, submit message.Submit, _ func(message.Progress)) error {
			if submit.Attach {
				return errkind.New(errkind.InvalidRequest, "unknown field")
			}
			return connectionReset()
		}
	}},
	{true, func(tokens int) dispatcherFunc { // ends before the answer is complete
		return func(_ context.Context, submit message.Submit, send func(message.Progress)) error {
			end := generate(submit, startIndex(submit), startIndex(submit)+tokens, send)
			send(message.Progress{Attempt: submit.Attempt, FirstToken: end, Finished: true, FinishReason: "error"})
			return nil
		}
	}},
}

// Guards against duplicate execution, incomplete answers and wrong execution claims under random
// dispatcher faults.
func TestRandomFaultsYieldCompleteAnswerOrAccurateError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Hides T.Deadline, which panics inside a synctest bubble.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			nodes := []string{"n0", "n1", "n2"}
			fake := newFakeCluster(nodes...)
			starts := 0
			for _, node := range nodes {
				fault := faults[rapid.IntRange(0, len(faults)-1).Draw(t, node)]
				handler := fault.newDispatcher(rapid.IntRange(0, answerLength).Draw(t, "tokens"))
				fake.dispatchers[node] = func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
					if fault.startsRequest && !submit.Attach {
						starts++
					}
					return handler(ctx, submit, send)
				}
			}
			repeatable := rapid.Bool().Draw(t, "repeatable")
			seen := run(context.Background(), fake, testRequest(repeatable))
			if !repeatable {
				assert.Assert(t, starts <= 1, "started %d times", starts)
			}
			if seen.err == nil {
				seen.assertComplete(t)
				return
			}
			if errkind.KindOf(seen.err).Response().Execution == errkind.NotExecuted {
				assert.Equal(t, starts, 0, "reported as not executed: %v", seen.err)
			}
		})
	})
}
