package router

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/message"
)

// breakThen breaks the first stream and ends those that attach to it with the error.
func breakThen(end error) dispatcherFunc {
	return func(_ context.Context, submit message.Submit, _ func(message.Progress)) error {
		if submit.Attach {
			return end
		}
		return broken()
	}
}

// TestDispatcherSaysAfterABreakThatNothingRan: the stream to the dispatcher
// broke while the request was queued there, and the queue gave it up. Only the
// request's own queue answers with these kinds, so it did not run.
func TestDispatcherSaysAfterABreakThatNothingRan(t *testing.T) {
	for _, kind := range []errkind.Kind{
		errkind.QueueTimeout, errkind.EngineRefused, errkind.CapReached, errkind.QueueFull, errkind.Draining,
	} {
		for _, repeatable := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeCluster("n0")
				fake.dispatchers["n0"] = breakThen(errkind.New(kind, "no engine became free"))
				seen := run(t.Context(), fake, testRequest(repeatable))
				seen.assertKind(t, kind)
			})
		}
	}
}

// TestAttachRefusedByTheNodeLeavesTheOutcomeOpen: these kinds come from the
// node, which knows nothing of the request.
func TestAttachRefusedByTheNodeLeavesTheOutcomeOpen(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.ShuttingDown, errkind.NotOwner, errkind.NoCapacity, errkind.NotFound} {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeCluster("n0")
			fake.dispatchers["n0"] = breakThen(errkind.New(kind, "not here"))
			seen := run(t.Context(), fake, testRequest(false))
			seen.assertKind(t, errkind.OutcomeUnknown)
		})
	}
}

// TestContinuedRequestOutlastsACrowdedQueue: a request that lost its dispatcher
// is not given up because the next one had no free engine in time.
func TestContinuedRequestOutlastsACrowdedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0", "n1")
		fake.dispatchers["n0"] = loseAfter(3)
		crowded := true
		fake.dispatchers["n1"] = func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
			if crowded {
				crowded = false
				return errkind.New(errkind.QueueTimeout, "no engine became free")
			}
			return serve(ctx, submit, send)
		}
		seen := run(t.Context(), fake, testRequest(true))
		seen.assertWhole(t)
		for _, submit := range fake.submitted() {
			assert.Equal(t, submit.Continued, submit.Attempt > 1, "attempt %d", submit.Attempt)
		}
	})
}
