package integration

import (
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// Size of a test step.
const (
	stepPrompts = 4
	stepSamples = 4
	stepTokens  = 60
)

// submitAndBegin submits a step and collects its first samples, so that later faults occur while the step is in progress.
func (c *trainerClient) submitAndBegin(step string) {
	c.t.Helper()
	before := len(c.deliveries)
	c.submit(step, stepPrompts, stepSamples, stepTokens)
	c.collect(before + 1)
}

// owner waits until the owner of the trainer's ledger is running and returns it.
func (c *trainerClient) owner(step string) *topology.Node {
	c.t.Helper()
	var found *topology.Node
	eventually(c.t, "a running owner", func() error {
		status := c.status(step)
		found = c.deployment.Node(status.Owner)
		if found == nil || !found.Running() {
			return errors.Errorf("owner is %q", status.Owner)
		}
		return nil
	})
	return found
}

// Every slot is acknowledged exactly once despite a killed and a frozen ledger owner, lost append responses,
// interrupted fetches, a trainer that loses its fetched samples, and a log outage.
func TestInvariantExactlyOnceDelivery(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	client := newTrainerClient(t, deployment)

	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{LostResponseShare: 0.3, EffectDelayMS: 30}))
	client.submitAndBegin("lost-answers")
	client.collectAll()

	client.submitAndBegin("killed")
	killed := client.owner("killed")
	killed.Kill()
	client.collectAll()
	restart(t, killed)

	client.submitAndBegin("frozen")
	frozen := client.owner("frozen")
	assert.NilError(t, frozen.Suspend())
	eventually(t, "takeover", func() error {
		if owner := client.status("frozen").Owner; owner == frozen.ID {
			return errors.Errorf("still owned by %s", owner)
		}
		return nil
	})
	client.collect(len(client.deliveries) + 1)
	assert.NilError(t, frozen.Resume())
	client.collectAll()
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{}))

	client.submit("cut", stepPrompts, stepSamples, stepTokens)
	for range 10 {
		client.fetchInterrupted()
	}
	client.collectAll()

	// A trainer that lost its fetched samples can fetch them again.
	client.submit("forgotten", stepPrompts, stepSamples, stepTokens)
	eventually(t, "samples to be fetched", func() error {
		if len(client.fetch(fetchWait).Samples) == 0 {
			return errors.New("none yet")
		}
		return nil
	})
	clear(client.fetchedSamples)
	client.collectAll()

	client.submitAndBegin("outage")
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{Down: true}))
	for range 3 {
		client.fetchInterrupted()
	}
	assertLookupsServed(t, deployment)
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{}))
	client.collectAll()

	client.checkDeliveries(executionsOf(t, deployment))
}

// outageLookups make the outage outlast the time that a trainer's call waits for a ledger owner.
const outageLookups = 240

// assertLookupsServed checks that live calls are answered while the log is down.
func assertLookupsServed(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	load := startLoad(t, newLookupLoad(deployment, 20, 10))
	load.waitOK(t, outageLookups)
	load.stop(t)
}
