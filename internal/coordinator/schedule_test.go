package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/api"
)

// A later step's slots would go ahead of an earlier one's in the dispatchers'
// queues, which order a trainer's requests by expected length.
func TestLaterStepStartsOnceAnEngineHasEachSlotOfTheEarlierOne(t *testing.T) {
	const samples = 4
	d := newDeployment(t)
	admit := make(chan struct{})
	d.engines.set(func(f *fakeRouter) { f.admit = admit })
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

	d.engines.set(func(f *fakeRouter) {
		assert.Equal(t, len(f.requests), 2*samples)
		for index, request := range f.requests {
			if request.Prompt == "second" {
				assert.Assert(t, f.admittedBefore[index] >= samples,
					"second step was started when engines had %d of the first step's slots", f.admittedBefore[index])
			}
		}
	})
}
