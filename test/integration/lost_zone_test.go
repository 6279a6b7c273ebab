package integration

import (
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
)

// TestLedgerMovesFromALostZone: when no node of its owner's zone can be heard, a
// node of another zone takes the ledger over, and each slot is acknowledged once,
// also after the owner is back.
func TestLedgerMovesFromALostZone(t *testing.T) {
	t.Parallel()
	deployment := deploy(t, func(config *topology.Config) { config.Table = table(defaultRows[:2]...) })
	waitMembers(t, deployment)
	row := "comparables,trainer,shared,comparables,latest,3,100,2,-,yes,hillsboro;tumwater,50"
	_, err := deployment.ApplyTable(limit(t), table(defaultRows[0], defaultRows[1], row))
	assert.NilError(t, err)

	client := newTrainerClient(t, deployment)
	client.submitAndBegin("before")
	lost := client.owner("before")
	assert.Equal(t, lost.ID, "n3", "the owner should be the only node of the row's first zone")
	assert.NilError(t, lost.Freeze())
	client.submit("during", stepPrompts, stepSamples, stepTokens)
	client.collectAll()
	assert.NilError(t, lost.Thaw())
	client.submit("after", stepPrompts, stepSamples, stepTokens)
	client.collectAll()
	client.checkDeliveries(executionsOf(t, deployment))
}

// waitMembers waits until every node knows all others, over zones too.
func waitMembers(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	eventually(t, "all nodes to know each other", func() error {
		for _, node := range deployment.Nodes() {
			status, err := node.Status(limit(t))
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
