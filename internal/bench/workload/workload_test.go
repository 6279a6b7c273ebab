package workload

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

func TestWorkloadsAreWholeDeployments(t *testing.T) {
	engines := map[string]int{"cascadia": 9 + 3, "odalaigh": 11 + 3}
	for _, name := range Names {
		described, err := ByName(name)
		assert.NilError(t, err)
		config := described.Deployment(topology.Binaries{Daemon: "d", Bench: "b"}, "directory", "round-robin")
		assert.NilError(t, config.Validate())
		assert.Equal(t, config.Policy, "round-robin")
		assert.Equal(t, len(config.Engines), engines[name])
		assert.Equal(t, len(described.Zones), 3)
		assert.Equal(t, len(described.Trainers), 2)
		rows, problems := policy.ParseCSV(described.Table())
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.Equal(t, len(rows), len(described.Live)+len(described.Trainers))
		for _, load := range described.Loads([]string{"127.0.0.1:1"}, 1) {
			load.Count = 1
			assert.NilError(t, load.Validate())
		}
	}
	_, err := ByName("nowhere")
	assert.ErrorContains(t, err, "nowhere")
}

func TestEachServiceAndSeedSendsItsOwnLoad(t *testing.T) {
	described, err := ByName("cascadia")
	assert.NilError(t, err)
	seen := map[uint64]bool{}
	for seed := range uint64(20) {
		for _, load := range described.Loads([]string{"127.0.0.1:1"}, seed) {
			assert.Assert(t, !seen[load.Seed])
			seen[load.Seed] = true
		}
	}
	assert.Assert(t, described.SharesPool("valuation-lookup"))
	assert.Assert(t, !described.SharesPool("clerk-lookup"))
}
