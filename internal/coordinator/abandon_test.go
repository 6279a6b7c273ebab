package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// awaitIdle waits until no slot runs at the owner.
func awaitIdle(t *testing.T, owner *tenure) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		if len(owner.running) > 0 {
			return poll.Continue("%d slots run", len(owner.running))
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

// Abandoning a step cancels its running slots, is idempotent on every node, and
// prevents further delivery and acknowledgement of its samples.
func TestAbandonedStepIsNeitherRunNorDelivered(t *testing.T) {
	d := newDeployment(t)
	a, b := d.start("a"), d.start("b")
	request := stepRequest(1, 3)
	_, err := a.SubmitStep(t.Context(), trainerName, "s", request)
	assert.NilError(t, err)
	fetch := api.FetchRequest{Step: "s", TrainerVersion: 1, WaitMS: 60_000, Max: 1}
	delivered := awaitSamples(t, a, fetch, 1)

	hold := make(chan struct{})
	defer close(hold)
	d.engines.update(func(f *fakeRouter) { f.hold = hold })
	_, err = a.SubmitStep(t.Context(), trainerName, "held", request)
	assert.NilError(t, err)
	owner := d.awaitOwner(a, b)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		owner.tenure(trainerName).mutex.Lock()
		defer owner.tenure(trainerName).mutex.Unlock()
		if len(owner.tenure(trainerName).running) < 3 {
			return poll.Continue("no slot runs")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))

	_, err = b.AbandonStep(t.Context(), trainerName, "unknown")
	assertKind(t, err, errkind.NotFound)
	for _, step := range []string{"s", "held"} {
		for _, n := range []*node{a, b, a} {
			status, err := n.AbandonStep(t.Context(), trainerName, step)
			assert.NilError(t, err)
			assert.Assert(t, status.Abandoned && !status.Done, "%+v", status)
			assert.Equal(t, status.Open+status.Filled, 0)
		}
	}
	awaitIdle(t, owner.tenure(trainerName))

	answer, err := b.Fetch(t.Context(), trainerName, fetch)
	assert.NilError(t, err, "a fetch does not wait for an abandoned step")
	assert.Equal(t, len(answer.Samples), 0)
	assert.Assert(t, answer.Steps[0].Abandoned)
	ack := api.AckRequest{Token: delivered.Token, Samples: ids(delivered.Samples), TrainerVersion: 1}
	late, err := a.Acknowledge(t.Context(), trainerName, ack)
	assert.NilError(t, err)
	assert.DeepEqual(t, late.Rejected, ack.Samples)
	again, err := b.SubmitStep(t.Context(), trainerName, "s", request)
	assert.NilError(t, err)
	assert.Assert(t, again.Abandoned, "the step's ID cannot be reused")
	assert.Equal(t, len(owner.Statuses()), 2, "abandoned steps are listed")
}
