package report

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/experiment"
	"github.com/corkpulley/corkpulley/internal/bench/workload"
)

func TestWriteIncludesAllMeasurementsAndTimeScale(t *testing.T) {
	spec, err := workload.ByName("odalaigh")
	assert.NilError(t, err)
	results := []experiment.Result{{
		Policy: "default", Seed: 3,
		Trainers: []experiment.TrainerResult{{Service: "season-rules", IdleShare: 0.5, StalenessMax: 1}},
		Live:     []experiment.LiveResult{{Service: "permit-desk"}},
		Pools:    []experiment.PoolResult{{Pool: "drafting", Engines: 11, Utilisation: 0.64}},
		Totals:   experiment.Totals{IdleSeconds: 2, BoundIdleSeconds: 1, IdleRatioToBound: 2, DiscardedTokenShare: 0.031},
	}}
	plan := experiment.Plan{Workload: spec, Policies: []string{"default"}, FirstSeed: 3, Seeds: 1}
	var text strings.Builder
	assert.NilError(t, Write(&text, spec, results, plan.Compare(results)))
	for _, wanted := range []string{
		"galway, westport, ballina", "one second stands for 60", "drafting: 11 engines",
		"season-rules", "50.0 %", "permit-desk", "64 %", "3.1 %", "idle/bound 2.00",
	} {
		assert.Assert(t, strings.Contains(text.String(), wanted), "no %q in\n%s", wanted, text.String())
	}
}
