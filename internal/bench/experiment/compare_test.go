package experiment

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/workload"
	"github.com/corkpulley/corkpulley/internal/standin/engine"
)

func newResult(idle, bound float64, stale int) Result {
	return Result{Totals: Totals{
		IdleSeconds: idle, BoundIdleSeconds: bound, IdleRatioToBound: ratio(idle, bound), Stale: stale,
	}}
}

func TestCompareUsesMedianOfPerSeedRatios(t *testing.T) {
	spec, err := workload.ByName("cascadia")
	assert.NilError(t, err)
	plan := Plan{Workload: spec, Policies: []string{"default", "round-robin"}, FirstSeed: 7, Seeds: 3}
	comparison := plan.Compare([]Result{
		newResult(1, 1, 0), newResult(4, 1, 0),
		newResult(2, 1, 1), newResult(2, 1, 0),
		newResult(3, 1, 1), newResult(6, 1, 5),
	})
	assert.DeepEqual(t, comparison.Seeds, []uint64{7, 8, 9})
	assert.Equal(t, comparison.IdleRatioToBaseline, 0.5)
	assert.Equal(t, comparison.IdleRatioToBound, 2.0)
	assert.Equal(t, comparison.Stale, 2)
	assert.Equal(t, comparison.BaselineTotals.Stale, 5)
	assert.Equal(t, comparison.BaselineTotals.IdleSeconds, 4.0)
}

func TestMedianOfEvenAndEmptyInput(t *testing.T) {
	assert.Equal(t, medianOf([]float64{4, 1, 3, 2}), 2.5)
	assert.Equal(t, medianOf(nil), 0.0)
}

func TestTotalsForServiceCountsAllAttempts(t *testing.T) {
	total := totalsForService([]engine.History{{Requests: []engine.RequestHistory{
		{Service: "a", PromptTokens: 10, CachedTokens: 4, Spans: []engine.Span{{Version: 1, From: 0, To: 5}}},
		{Service: "a", PromptTokens: 10, Spans: []engine.Span{{Version: 1, From: 5, To: 6}, {Version: 2, From: 6, To: 9}}},
		{Service: "b", PromptTokens: 7, Spans: []engine.Span{{Version: 1, From: 0, To: 70}}},
	}}}, "a")
	assert.Equal(t, total, tokenTotals{tokens: 9, promptTokens: 20, cachedTokens: 4})
}
