package integration

import (
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// Size of the steps in these tests.
const (
	stepPrompts = 4
	stepSamples = 4
	stepTokens  = 60
)

// submitAndBegin submits a step and collects its first samples, so that what
// follows happens in the middle of it.
func (c *trainerClient) submitAndBegin(step string) {
	c.t.Helper()
	before := len(c.deliveries)
	c.submit(step, stepPrompts, stepSamples, stepTokens)
	c.collect(before + 1)
}

// owner returns the node that owns the trainer's ledger.
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

// TestInvariantExactlyOnceDelivery: every slot is acknowledged once, through a
// killed and a frozen coordinator, lost append answers, cut fetches, a trainer
// that forgets its deliveries, and a long outage of the log.
func TestInvariantExactlyOnceDelivery(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	client := newTrainerClient(t, deployment)

	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{LoseAnswers: 0.3, LateMS: 30}))
	client.submitAndBegin("lost-answers")
	client.collectAll()

	client.submitAndBegin("killed")
	killed := client.owner("killed")
	killed.Kill()
	client.collectAll()
	restart(t, killed)

	client.submitAndBegin("frozen")
	frozen := client.owner("frozen")
	assert.NilError(t, frozen.Freeze())
	eventually(t, "takeover", func() error {
		if owner := client.status("frozen").Owner; owner == frozen.ID {
			return errors.Errorf("still owned by %s", owner)
		}
		return nil
	})
	client.collect(len(client.deliveries) + 1)
	assert.NilError(t, frozen.Thaw())
	client.collectAll()
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{}))

	client.submit("cut", stepPrompts, stepSamples, stepTokens)
	for range 10 {
		client.cutFetch()
	}
	client.collectAll()

	// A trainer that lost its fetched samples gets them again.
	client.submit("forgotten", stepPrompts, stepSamples, stepTokens)
	eventually(t, "samples to forget", func() error {
		if len(client.fetch(fetchWait).Samples) == 0 {
			return errors.New("none yet")
		}
		return nil
	})
	clear(client.held)
	client.collectAll()

	client.submitAndBegin("outage")
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{Down: true}))
	for range 3 {
		client.cutFetch()
	}
	lookupsGoOn(t, deployment)
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{}))
	client.collectAll()

	client.checkDeliveries(executionsOf(t, deployment))
}

// outageLookups are answered during the outage; at their rate they take longer
// than any call of a trainer looks for an owner.
const outageLookups = 240

// lookupsGoOn checks that live calls are answered while the log is down.
func lookupsGoOn(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	load := startLoad(t, lookups(deployment, 20, 10))
	load.waitOK(t, outageLookups)
	load.stop(t)
}
