package router

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/message"
)

// breakThen breaks the first stream and fails attaching streams with end.
func breakThen(end error) dispatcherFunc {
	return func(_ context.Context, submit message.Submit, _ func(message.Progress)) error {
		if submit.Attach {
			return end
		}
		return connectionReset()
	}
}

// Only the dispatcher's own queue answers an attach with these kinds, so they must not become
// OutcomeUnknown.
func TestReattachReportsQueueRefusalAsNotExecuted(t *testing.T) {
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

// These kinds come from a node without a record of the request and do not prove that it did not run.
func TestReattachRefusedByNodeIsOutcomeUnknown(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.ShuttingDown, errkind.NotOwner, errkind.NoCapacity, errkind.NotFound} {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeCluster("n0")
			fake.dispatchers["n0"] = breakThen(errkind.New(kind, "no record of the request"))
			seen := run(t.Context(), fake, testRequest(false))
			seen.assertKind(t, errkind.OutcomeUnknown)
		})
	}
}

// A request that lost its dispatcher must not fail because the next queue times out.
func TestContinuedRequestRetriesAfterQueueTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0", "n1")
		fake.dispatchers["n0"] = loseAfter(3)
		queueFull := true
		fake.dispatchers["n1"] = func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
			if queueFull {
				queueFull = false
				return errkind.New(errkind.QueueTimeout, "no engine became free")
			}
			return serve(ctx, submit, send)
		}
		seen := run(t.Context(), fake, testRequest(true))
		seen.assertComplete(t)
		for _, submit := range fake.submitted() {
			assert.Equal(t, submit.Continued, submit.Attempt > 1, "attempt %d", submit.Attempt)
		}
	})
}
