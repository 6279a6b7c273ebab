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

// fetchSome fetches until samples come and returns the fetch that had them.
func (c *trainerClient) fetchSome() api.FetchResponse {
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

// TestInvariantStalenessBound: no sample is handed out beyond the row's bound
// at the trainer's version, when versions step between done and fetch and
// between fetch and acknowledgement, the bound is tightened, and the log is down.
func TestInvariantStalenessBound(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	client := newTrainerClient(t, deployment)

	client.submit("done-then-stepped", stepPrompts, stepSamples, stepTokens)
	client.waitFilled("done-then-stepped")
	client.stepBeyondBound()
	client.collectAll()
	assert.Assert(t, client.status("done-then-stepped").Discarded > 0, "no sample became stale, so nothing was proved")

	client.submit("fetched-then-stepped", stepPrompts, stepSamples, stepTokens)
	client.waitFilled("fetched-then-stepped")
	fetched := client.fetchSome()
	client.stepBeyondBound()
	accepted := client.acknowledge(fetched).Accepted
	assert.Check(t, len(accepted) == 0, "stale samples were accepted: %v", accepted)
	client.collectAll()

	client.submit("log-down", stepPrompts, stepSamples, stepTokens)
	client.waitFilled("log-down")
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{Down: true}))
	client.stepBeyondBound()
	for range 3 {
		client.cutFetch()
	}
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{}))
	client.collectAll()

	client.submit("tightened", stepPrompts, stepSamples, stepTokens)
	client.waitFilled("tightened")
	client.publish()
	fetched = client.fetchSome()
	rows := append([]string(nil), defaultRows[:2]...)
	rows = append(rows, "comparables,trainer,shared,comparables,latest,3,100,0,-,yes,*,50")
	_, err := deployment.ApplyTable(limit(t), table(rows...))
	assert.NilError(t, err)
	client.bound = 0
	client.acknowledge(fetched)
	client.collectAll()

	client.checkDeliveries(executionsOf(t, deployment))
}

// stepBeyondBound publishes so many versions that all samples drawn before are
// too old.
func (c *trainerClient) stepBeyondBound() {
	c.t.Helper()
	for range c.bound + 1 {
		c.publish()
	}
}
