package integration

import (
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// waitFilled waits until all samples of a step are recorded.
func (c *trainerClient) waitFilled(step string) {
	c.t.Helper()
	eventually(c.t, "step "+step+" to be filled", func() error {
		status := c.status(step)
		if status.Filled+status.Acknowledged < status.Wanted {
			return errors.Errorf("%+v", status)
		}
		return nil
	})
}

// fetchUntilSamples fetches until a response has samples and returns it.
func (c *trainerClient) fetchUntilSamples() api.FetchResponse {
	c.t.Helper()
	var fetched api.FetchResponse
	eventually(c.t, "samples", func() error {
		fetched = c.fetch(fetchWait)
		if len(fetched.Samples) == 0 {
			return errors.New("none yet")
		}
		return nil
	})
	return fetched
}

// No sample beyond the staleness bound is delivered when versions advance before the fetch or the acknowledgement,
// the bound is tightened, or the log is down.
func TestInvariantStalenessBound(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	client := newTrainerClient(t, deployment)

	client.submit("done-then-stepped", stepPrompts, stepSamples, stepTokens)
	client.waitFilled("done-then-stepped")
	client.publishBeyondBound()
	client.collectAll()
	assert.Assert(t, client.status("done-then-stepped").Discarded > 0, "no sample became stale, so the test covered nothing")

	client.submit("fetched-then-stepped", stepPrompts, stepSamples, stepTokens)
	client.waitFilled("fetched-then-stepped")
	fetched := client.fetchUntilSamples()
	client.publishBeyondBound()
	accepted := client.acknowledge(fetched).Accepted
	assert.Check(t, len(accepted) == 0, "stale samples were accepted: %v", accepted)
	client.collectAll()

	client.submit("log-down", stepPrompts, stepSamples, stepTokens)
	client.waitFilled("log-down")
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{Down: true}))
	client.publishBeyondBound()
	for range 3 {
		client.fetchInterrupted()
	}
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{}))
	client.collectAll()

	client.submit("tightened", stepPrompts, stepSamples, stepTokens)
	client.waitFilled("tightened")
	client.publish()
	fetched = client.fetchUntilSamples()
	rows := append([]string(nil), defaultRows[:2]...)
	rows = append(rows, "comparables,trainer,shared,comparables,latest,3,100,0,-,yes,*,50")
	_, err := deployment.ApplyTable(waitContext(t), table(rows...))
	assert.NilError(t, err)
	client.bound = 0
	client.acknowledge(fetched)
	client.collectAll()

	client.checkDeliveries(executionsOf(t, deployment))
}

// publishBeyondBound publishes enough versions to make all earlier samples stale.
func (c *trainerClient) publishBeyondBound() {
	c.t.Helper()
	for range c.bound + 1 {
		c.publish()
	}
}
