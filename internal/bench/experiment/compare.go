package experiment

import (
	"context"
	"slices"

	"gonum.org/v1/gonum/stat"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/bench/workload"
)

// Plan is a series of runs: one run of each policy for each seed.
type Plan struct {
	Workload *workload.Workload
	// Policies holds the evaluated policy and, for a comparison, the baseline.
	Policies  []string
	FirstSeed uint64
	Seeds     int
	// Progress prints a progress message.
	Progress func(format string, arguments ...any)
}

// Execute runs the plan. The first policy alternates between seeds, so that a
// drift of the host's load favors no policy. Results are ordered by seed, then
// by Policies.
func (p *Plan) Execute(ctx context.Context, binaries topology.Binaries) ([]Result, error) {
	results := make([]Result, p.Seeds*len(p.Policies))
	for number := range p.Seeds {
		for turn := range p.Policies {
			position := (turn + number) % len(p.Policies)
			options := Options{
				Workload: p.Workload,
				Policy:   p.Policies[position],
				Seed:     p.FirstSeed + uint64(number),
			}
			p.Progress("%s, policy %s, seed %d", p.Workload.Name, options.Policy, options.Seed)
			result, err := Run(ctx, binaries, options)
			if err != nil {
				return nil, err
			}
			p.Progress("trained for %.1f s, idle %.2f s", result.Seconds, result.IdleSeconds)
			results[number*len(p.Policies)+position] = *result
		}
	}
	return results, nil
}

// Comparison summarizes the results of a plan: medians over all seeds for the
// evaluated policy, unless stated otherwise.
type Comparison struct {
	Workload string `json:"workload"`
	Policy   string `json:"policy"`
	// Baseline is empty when only one policy ran; IdleRatioToBaseline is then 0.
	Baseline string   `json:"baseline,omitempty"`
	Seeds    []uint64 `json:"seeds"`
	// TimeScale is the number of production seconds that one second of a run represents.
	TimeScale float64 `json:"time_scale"`
	// IdleRatioToBaseline is the median of the per-seed ratios of idle time.
	IdleRatioToBaseline float64 `json:"idle_ratio_to_baseline"`
	IdleRatioToBound    float64 `json:"idle_ratio_to_bound"`
	DiscardedTokenShare float64 `json:"discarded_token_share"`
	// Stale, Violations and LiveFailed are sums over all seeds.
	Stale        int     `json:"stale"`
	LiveP99Ratio float64 `json:"live_p99_ratio"`
	Violations   int     `json:"broken"`
	LiveFailed   int     `json:"live_failed"`
	// BaselineTotals holds the baseline's medians and sums.
	BaselineTotals *Totals `json:"baseline_totals,omitempty"`
}

// Compare summarizes the results of Execute.
func (p *Plan) Compare(results []Result) Comparison {
	evaluated := p.totalsOf(results, 0)
	medians := median(evaluated)
	comparison := Comparison{
		Workload:            p.Workload.Name,
		Policy:              p.Policies[0],
		TimeScale:           p.Workload.TimeScale,
		IdleRatioToBound:    medians.IdleRatioToBound,
		DiscardedTokenShare: medians.DiscardedTokenShare,
		Stale:               medians.Stale,
		LiveP99Ratio:        medians.LiveP99Ratio,
		Violations:          medians.Violations,
		LiveFailed:          medians.LiveFailed,
	}
	for number := range p.Seeds {
		comparison.Seeds = append(comparison.Seeds, p.FirstSeed+uint64(number))
	}
	if len(p.Policies) < 2 {
		return comparison
	}
	baseline := p.totalsOf(results, 1)
	baselineMedian := median(baseline)
	comparison.Baseline = p.Policies[1]
	comparison.BaselineTotals = &baselineMedian
	ratios := make([]float64, 0, len(evaluated))
	for number := range evaluated {
		ratios = append(ratios, ratio(evaluated[number].IdleSeconds, baseline[number].IdleSeconds))
	}
	comparison.IdleRatioToBaseline = medianOf(ratios)
	return comparison
}

func (p *Plan) totalsOf(results []Result, position int) []Totals {
	var totals []Totals
	for index := position; index < len(results); index += len(p.Policies) {
		totals = append(totals, results[index].Totals)
	}
	return totals
}

// median returns the median of each measurement and the sum of each fault count.
func median(totals []Totals) Totals {
	medianBy := func(value func(*Totals) float64) float64 {
		values := make([]float64, 0, len(totals))
		for index := range totals {
			values = append(values, value(&totals[index]))
		}
		return medianOf(values)
	}
	medians := Totals{
		IdleSeconds:         medianBy(func(t *Totals) float64 { return t.IdleSeconds }),
		BoundIdleSeconds:    medianBy(func(t *Totals) float64 { return t.BoundIdleSeconds }),
		IdleRatioToBound:    medianBy(func(t *Totals) float64 { return t.IdleRatioToBound }),
		DiscardedTokenShare: medianBy(func(t *Totals) float64 { return t.DiscardedTokenShare }),
		LiveP99Ratio:        medianBy(func(t *Totals) float64 { return t.LiveP99Ratio }),
	}
	for _, runTotals := range totals {
		medians.Stale += runTotals.Stale
		medians.Violations += runTotals.Violations
		medians.LiveFailed += runTotals.LiveFailed
	}
	return medians
}

// medianOf returns the median of the values, or 0 if there are none. It sorts values in place.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	low, high := (len(values)-1)/2, len(values)/2
	return stat.Mean([]float64{values[low], values[high]}, nil)
}
