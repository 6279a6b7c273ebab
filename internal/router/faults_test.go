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

// faults are the ways in which a dispatcher answers.
var faults = []struct {
	runs bool
	make func(tokens int) dispatcherFunc
}{
	{false, func(int) dispatcherFunc { return refuse(errkind.New(errkind.QueueFull, "full")) }},
	{false, func(int) dispatcherFunc { return refuse(errkind.New(errkind.Draining, "leaving")) }},
	{true, func(int) dispatcherFunc { return serve }},
	{true, loseAfter},
	{true, func(tokens int) dispatcherFunc { return endAfter(tokens, broken()) }},
	{true, func(tokens int) dispatcherFunc {
		return endAfter(tokens, errkind.New(errkind.EngineFailed, "engine crashed"))
	}},
	{true, func(tokens int) dispatcherFunc { // leaves a gap
		return func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
			if submit.Attach {
				return serve(ctx, submit, send)
			}
			generate(submit, firstWanted(submit)+tokens, truthLength, send)
			finish(submit, send)
			return nil
		}
	}},
	{true, func(int) dispatcherFunc { // refuses to be attached to
		return func(_ context.Context, submit message.Submit, _ func(message.Progress)) error {
			if submit.Attach {
				return errkind.New(errkind.InvalidRequest, "not understood")
			}
			return broken()
		}
	}},
	{true, func(tokens int) dispatcherFunc { // ends before the answer is whole
		return func(_ context.Context, submit message.Submit, send func(message.Progress)) error {
			end := generate(submit, firstWanted(submit), firstWanted(submit)+tokens, send)
			send(message.Progress{Attempt: submit.Attempt, FirstToken: end, Finished: true, FinishReason: "error"})
			return nil
		}
	}},
}

// TestAnyFaultsGiveTheWholeAnswerOrATrueError runs requests over dispatchers
// with random faults and checks the promises that the router keeps.
func TestAnyFaultsGiveTheWholeAnswerOrATrueError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides T.Deadline, which tells real time and so panics here.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			nodes := []string{"n0", "n1", "n2"}
			fake := newFakeCluster(nodes...)
			starts := 0
			for _, node := range nodes {
				fault := faults[rapid.IntRange(0, len(faults)-1).Draw(t, node)]
				handler := fault.make(rapid.IntRange(0, truthLength).Draw(t, "tokens"))
				fake.dispatchers[node] = func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
					if fault.runs && !submit.Attach {
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
				seen.assertWhole(t)
				return
			}
			if errkind.KindOf(seen.err).Answer().Execution == errkind.NotExecuted {
				assert.Equal(t, starts, 0, "said not to have run: %v", seen.err)
			}
		})
	})
}
