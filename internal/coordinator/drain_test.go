package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/api"
	standinlog "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// awaitUnfollowed waits until the node no longer follows the ledger.
func awaitUnfollowed(t *testing.T, n *node) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n.followerOf(trainerName) != nil {
			return poll.Continue("the ledger is still followed")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Releasing a ledger is best effort: Drain must not wait for an unavailable log,
// and the ledger must not be served again afterwards.
func TestDrainReturnsWhileLogIsUnavailable(t *testing.T) {
	d := newDeployment(t)
	n := d.start("a")
	_, err := n.SubmitStep(t.Context(), trainerName, "s", stepRequest(1, 2))
	assert.NilError(t, err)
	awaitSamples(t, n, api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 100}, 2)
	owner := d.awaitOwner(n)
	d.log.SetControl(standinlog.Control{Down: true})

	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	assert.NilError(t, owner.Drain(ctx))
	assert.Equal(t, len(owner.Statuses()), 0)
	awaitUnfollowed(t, owner)
}
