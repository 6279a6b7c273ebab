package integration

import (
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
)

// A node of another zone takes over the ledger when its zone is unreachable. Each slot is acknowledged once, also
// after the old owner is back.
func TestLedgerFailsOverFromLostZone(t *testing.T) {
	t.Parallel()
	deployment := deploy(t, func(config *topology.Config) { config.Table = table(defaultRows[:2]...) })
	waitMembers(t, deployment)
	row := "comparables,trainer,shared,comparables,latest,3,100,2,-,yes,hillsboro;tumwater,50"
	_, err := deployment.ApplyTable(waitContext(t), table(defaultRows[0], defaultRows[1], row))
	assert.NilError(t, err)

	client := newTrainerClient(t, deployment)
	client.submitAndBegin("before")
	lost := client.owner("before")
	assert.Equal(t, lost.ID, "n3", "the owner should be the only node of the row's first zone")
	assert.NilError(t, lost.Suspend())
	client.submit("during", stepPrompts, stepSamples, stepTokens)
	client.collectAll()
	assert.NilError(t, lost.Resume())
	client.submit("after", stepPrompts, stepSamples, stepTokens)
	client.collectAll()
	client.checkDeliveries(executionsOf(t, deployment))
}

// waitMembers waits until every node knows all others, across zones.
func waitMembers(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	eventually(t, "all nodes to know each other", func() error {
		for _, node := range deployment.Nodes() {
			status, err := node.Status(waitContext(t))
			if err != nil {
				return err
			}
			if known := len(status.Members); known != len(deployment.Nodes()) {
				return errors.Errorf("%s knows %d members", node.ID, known)
			}
		}
		return nil
	})
}
