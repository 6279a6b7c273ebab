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

// requireRepeatable checks that the caller is told to send the same call again,
// and not that it had no effect.
func requireRepeatable(t *testing.T, err error) {
	t.Helper()
	assert.Assert(t, err != nil)
	answer := errkind.KindOf(err).Answer()
	assert.Assert(t, answer.Retryable, "%v", err)
	assert.Equal(t, answer.Execution, errkind.Unknown, "%v", err)
}

// TestCallsWithAnUnknownOutcomeMayBeRepeated: a record that was not read back in
// time may be accepted later; the repeat finds it and has no second effect.
func TestCallsWithAnUnknownOutcomeMayBeRepeated(t *testing.T) {
	d := newDeployment(t)
	n := d.start("a")
	d.awaitOwner(n)
	request := stepRequest(1, 2)
	shortly := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	d.log.SetControl(standinlog.Control{Down: true})
	_, err := n.SubmitStep(shortly(), trainerName, "s", request)
	requireRepeatable(t, err)
	d.log.SetControl(standinlog.Control{})
	_, err = n.SubmitStep(t.Context(), trainerName, "s", request)
	assert.NilError(t, err)

	delivered := awaitSamples(t, n, api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 100}, 2)
	ack := api.AckRequest{Token: delivered.Token, Samples: ids(delivered.Samples), TrainerVersion: 1}
	d.log.SetControl(standinlog.Control{Down: true})
	_, err = n.Acknowledge(shortly(), trainerName, ack)
	requireRepeatable(t, err)
	d.log.SetControl(standinlog.Control{})
	answer, err := n.Acknowledge(t.Context(), trainerName, ack)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Accepted, ack.Samples)
}

// TestACallWhoseOwnerVanishedMayBeRepeated: the call was sent, so it may have
// had an effect at the owner.
func TestACallWhoseOwnerVanishedMayBeRepeated(t *testing.T) {
	lost := &peer.DeliveryError{Sent: true, Err: errors.New("connection reset")}
	for _, call := range []Call{{Submit: &SubmitCall{}}, {Acknowledge: &api.AckRequest{}}} {
		requireRepeatable(t, giveUp(call, lost, maybeArrived(lost)))
		assertKind(t, giveUp(call, lost, false), errkind.NotReady)
	}
	assertKind(t, giveUp(Call{Fetch: &api.FetchRequest{}}, lost, true), errkind.NotReady)
}
