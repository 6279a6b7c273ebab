package integration

import (
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/engine"
)

// Pinning a lower version must roll back all engines under load without interrupting responses; removing the pin
// must restore the latest version.
func TestWeightRollback(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	load := startLoad(t, newLookupLoad(deployment, 20, 50))
	load.waitOK(t, 10)
	for _, version := range []uint64{2, 3} {
		model := topology.ModelConfig{Name: lookupModel, Version: version, SizeBytes: 1 << 20}
		assert.NilError(t, deployment.Publish(waitContext(t), model))
	}
	awaitVersion(t, deployment, 3)
	checkAnsweredUnder(t, deployment, 3)

	pinned := table(
		"clerk-lookup,live,shared,clerk,2,9,100,-,-,yes,*,50",
		"permit-desk,live,shared,clerk,2,9,100,-,-,no,*,50",
		defaultRows[2],
	)
	_, err := deployment.ApplyTable(waitContext(t), pinned)
	assert.NilError(t, err)
	awaitVersion(t, deployment, 2)
	checkAnsweredUnder(t, deployment, 2)

	_, err = deployment.ApplyTable(waitContext(t), table(defaultRows...))
	assert.NilError(t, err)
	awaitVersion(t, deployment, 3)
	checkAnsweredUnder(t, deployment, 3)
	checkAnswers(t, load.stop(t), executionsOf(t, deployment), false)
}

// awaitVersion waits until each engine has exactly this version of the lookup model.
func awaitVersion(t *testing.T, deployment *topology.Deployment, version uint64) {
	t.Helper()
	wanted := engine.ModelVersion{Model: lookupModel, Version: version}
	eventually(t, "all engines at the version", func() error {
		for _, each := range deployment.Engines() {
			status, err := each.Status(waitContext(t))
			if err != nil {
				return err
			}
			if !slices.Contains(status.Models, wanted) {
				return errors.Errorf("engine %s holds %+v, wanted %+v", each.ID, status.Models, wanted)
			}
		}
		return nil
	})
}

// checkAnsweredUnder calls each node once and checks the version of the response.
func checkAnsweredUnder(t *testing.T, deployment *topology.Deployment, version uint64) {
	t.Helper()
	client := live.NewClient()
	defer client.Close()
	for _, node := range deployment.Nodes() {
		call := live.Call{Address: node.Callers, Service: lookupService, Prompt: "which weights? [tokens=3]", MaxTokens: 3}
		outcome := client.Send(waitContext(t), call)
		assert.Assert(t, outcome.OK(), "%+v", outcome)
		for _, span := range outcome.Versions {
			assert.Equal(t, span.Version, version, "answer of node %s", node.ID)
		}
		assert.Assert(t, len(outcome.Versions) > 0)
	}
}
