package workload

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

func TestDeploymentIsValidForAllWorkloads(t *testing.T) {
	engines := map[string]int{"cascadia": 9 + 3, "odalaigh": 11 + 3}
	for _, name := range Names {
		spec, err := ByName(name)
		assert.NilError(t, err)
		config := spec.Deployment(topology.Binaries{Daemon: "d", Bench: "b"}, "directory", "round-robin")
		assert.NilError(t, config.Validate())
		assert.Equal(t, config.Policy, "round-robin")
		assert.Equal(t, len(config.Engines), engines[name])
		assert.Equal(t, len(spec.Zones), 3)
		assert.Equal(t, len(spec.Trainers), 2)
		rows, problems := policy.ParseCSV(spec.Table())
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.Equal(t, len(rows), len(spec.Live)+len(spec.Trainers))
		for _, load := range spec.Loads([]string{"127.0.0.1:1"}, 1) {
			load.Count = 1
			assert.NilError(t, load.Validate())
		}
	}
	_, err := ByName("nowhere")
	assert.ErrorContains(t, err, "nowhere")
}

func TestLoadsUseDistinctSeeds(t *testing.T) {
	spec, err := ByName("cascadia")
	assert.NilError(t, err)
	seen := map[uint64]bool{}
	for seed := range uint64(20) {
		for _, load := range spec.Loads([]string{"127.0.0.1:1"}, seed) {
			assert.Assert(t, !seen[load.Seed])
			seen[load.Seed] = true
		}
	}
	assert.Assert(t, spec.SharesPool("valuation-lookup"))
	assert.Assert(t, !spec.SharesPool("clerk-lookup"))
}
