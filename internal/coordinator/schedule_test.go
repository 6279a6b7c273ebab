package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Slots of a later step must not overtake those of an earlier step in the
// dispatchers' queues, which are ordered by expected length.
func TestLaterStepStartsAfterEarlierSlotsHaveEngines(t *testing.T) {
	const samples = 4
	d := newDeployment(t)
	admit := make(chan struct{})
	d.engines.update(func(f *fakeRouter) { f.admit = admit })
	a := d.start("a")
	for _, step := range []string{"first", "second"} {
		request := stepRequest(1, samples)
		request.Prompts[0].Text = step
		_, err := a.SubmitStep(t.Context(), trainerName, step, request)
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.requestCount() < samples {
			return poll.Continue("%d requests", d.requestCount())
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	for range 2 * samples {
		admit <- struct{}{}
	}
	awaitSamples(t, a, api.FetchRequest{TrainerVersion: 1, WaitMS: 100}, 2*samples)

	d.engines.update(func(f *fakeRouter) {
		assert.Equal(t, len(f.requests), 2*samples)
		for index, request := range f.requests {
			if request.Prompt == "second" {
				assert.Assert(t, f.admittedBefore[index] >= samples,
					"second step was started when engines had %d of the first step's slots", f.admittedBefore[index])
			}
		}
	})
}

// A step queued behind another is delivered at a later trainer version, so its
// slots must not start with weights that are stale by then.
func TestMinVersionAccountsForEarlierSteps(t *testing.T) {
	d := newDeployment(t) // the bound is one version
	d.engines.update(func(f *fakeRouter) { f.version = 5 })
	a := d.start("a")
	// The second submission raises the trainer version, which must apply before any of its slots start.
	for number, step := range []string{"first", "second"} {
		request := stepRequest(1, 2)
		request.Prompts[0].Text = step
		request.TrainerVersion = uint64(4 + number)
		_, err := a.SubmitStep(t.Context(), trainerName, step, request)
		assert.NilError(t, err)
	}
	awaitSamples(t, a, api.FetchRequest{TrainerVersion: 5, WaitMS: 100}, 4)

	d.engines.update(func(f *fakeRouter) {
		for _, request := range f.requests {
			if request.Prompt == "second" {
				assert.Equal(t, request.MinVersion, uint64(5))
				continue
			}
			assert.Assert(t, request.MinVersion == 3 || request.MinVersion == 4, "first step needs %d", request.MinVersion)
		}
	})
}

// While the trainer trains on a finished step, the next step is consumed one
// version later, so its slots need newer weights.
func TestMinVersionAccountsForTrainingInProgress(t *testing.T) {
	d := newDeployment(t) // the bound is one version
	d.engines.update(func(f *fakeRouter) { f.version = 5 })
	a := d.start("a")
	request := stepRequest(1, 2)
	request.TrainerVersion = 5
	_, err := a.SubmitStep(t.Context(), trainerName, "first", request)
	assert.NilError(t, err)
	delivery := awaitSamples(t, a, api.FetchRequest{TrainerVersion: 5, WaitMS: 100}, 2)
	acknowledgement := api.AckRequest{Token: delivery.Token, Samples: ids(delivery.Samples), TrainerVersion: 5}
	answer, err := a.Acknowledge(t.Context(), trainerName, acknowledgement)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Accepted), 2)

	request.Prompts[0].Text = "second"
	_, err = a.SubmitStep(t.Context(), trainerName, "second", request)
	assert.NilError(t, err)
	awaitSamples(t, a, api.FetchRequest{Step: "second", TrainerVersion: 5, WaitMS: 100}, 2)
	d.engines.update(func(f *fakeRouter) {
		for _, request := range f.requests {
			if request.Prompt == "second" {
				assert.Equal(t, request.MinVersion, uint64(5))
			}
		}
	})
}
