package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/peer"
	standinlog "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// assertRetryable checks that the error is retryable and reports that the call
// may have been executed.
func assertRetryable(t *testing.T, err error) {
	t.Helper()
	assert.Assert(t, err != nil)
	answer := errkind.KindOf(err).Response()
	assert.Assert(t, answer.Retryable, "%v", err)
	assert.Equal(t, answer.Execution, errkind.Unknown, "%v", err)
}

// A record that was not read back in time may be accepted later; retrying the
// call must succeed and not apply it twice.
func TestCallsWithUnknownOutcomeAreRetryable(t *testing.T) {
	d := newDeployment(t)
	n := d.start("a")
	d.awaitOwner(n)
	request := stepRequest(1, 2)
	shortContext := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	d.log.SetControl(standinlog.Control{Down: true})
	_, err := n.SubmitStep(shortContext(), trainerName, "s", request)
	assertRetryable(t, err)
	d.log.SetControl(standinlog.Control{})
	_, err = n.SubmitStep(t.Context(), trainerName, "s", request)
	assert.NilError(t, err)

	delivered := awaitSamples(t, n, api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 100}, 2)
	ack := api.AckRequest{Token: delivered.Token, Samples: ids(delivered.Samples), TrainerVersion: 1}
	d.log.SetControl(standinlog.Control{Down: true})
	_, err = n.Acknowledge(shortContext(), trainerName, ack)
	assertRetryable(t, err)
	d.log.SetControl(standinlog.Control{})
	answer, err := n.Acknowledge(t.Context(), trainerName, ack)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Accepted, ack.Samples)
}

// A call that was sent may have been executed even if its response was lost.
func TestCallWithLostResponseIsRetryable(t *testing.T) {
	lost := &peer.DeliveryError{Sent: true, Err: errors.New("connection reset")}
	for _, call := range []Call{{Submit: &SubmitCall{}}, {Acknowledge: &api.AckRequest{}}} {
		assertRetryable(t, noOwnerError(call, lost, mayHaveExecuted(lost)))
		assertKind(t, noOwnerError(call, lost, false), errkind.NotReady)
	}
	assertKind(t, noOwnerError(Call{Fetch: &api.FetchRequest{}}, lost, true), errkind.NotReady)
}
