package experiment

import (
	"context"
	"slices"

	"gonum.org/v1/gonum/stat"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/bench/workload"
)

// Plan is a series of runs: under each seed one run of each policy, in turn.
type Plan struct {
	Workload *workload.Workload
	// Policies holds the policy that is judged and, for a comparison, the
	// baseline.
	Policies  []string
	FirstSeed uint64
	Seeds     int
	// Say prints a line of progress.
	Say func(format string, arguments ...any)
}

// Execute runs the plan. Which policy goes first changes from seed to seed, so
// that a drift of the machine's load favours none. Results come in the order of
// the seeds and, within one, of Policies.
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
			p.Say("%s, policy %s, seed %d", p.Workload.Name, options.Policy, options.Seed)
			result, err := Run(ctx, binaries, options)
			if err != nil {
				return nil, err
			}
			p.Say("trained for %.1f s, idle %.2f s", result.Seconds, result.IdleSeconds)
			results[number*len(p.Policies)+position] = *result
		}
	}
	return results, nil
}

// Comparison is the outcome of a plan: medians over the seeds for the policy
// that is judged.
type Comparison struct {
	Workload string `json:"workload"`
	Policy   string `json:"policy"`
	// Baseline is empty when only one policy ran; the ratio to it is then 0.
	Baseline string   `json:"baseline,omitempty"`
	Seeds    []uint64 `json:"seeds"`
	// TimeScale is how many seconds of the users' time one second stands for.
	TimeScale float64 `json:"time_scale"`
	// IdleRatioToBaseline is the median of the idle time's ratio, seed by seed.
	IdleRatioToBaseline float64 `json:"idle_ratio_to_baseline"`
	IdleRatioToBound    float64 `json:"idle_ratio_to_bound"`
	DiscardedTokenShare float64 `json:"discarded_token_share"`
	// Stale, Broken and LiveFailed are sums over all seeds.
	Stale        int     `json:"stale"`
	LiveP99Ratio float64 `json:"live_p99_ratio"`
	Broken       int     `json:"broken"`
	LiveFailed   int     `json:"live_failed"`
	// BaselineTotals has the baseline's own figures, the same way.
	BaselineTotals *Totals `json:"baseline_totals,omitempty"`
}

// Compare sums up the results of a plan.
func (p *Plan) Compare(results []Result) Comparison {
	judged := p.totalsOf(results, 0)
	middle := median(judged)
	comparison := Comparison{
		Workload:            p.Workload.Name,
		Policy:              p.Policies[0],
		TimeScale:           p.Workload.TimeScale,
		IdleRatioToBound:    middle.IdleRatioToBound,
		DiscardedTokenShare: middle.DiscardedTokenShare,
		Stale:               middle.Stale,
		LiveP99Ratio:        middle.LiveP99Ratio,
		Broken:              middle.Broken,
		LiveFailed:          middle.LiveFailed,
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
	ratios := make([]float64, 0, len(judged))
	for number := range judged {
		ratios = append(ratios, ratio(judged[number].IdleSeconds, baseline[number].IdleSeconds))
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

// median returns the median of each figure; counts of faults are summed.
func median(totals []Totals) Totals {
	figure := func(of func(*Totals) float64) float64 {
		values := make([]float64, 0, len(totals))
		for index := range totals {
			values = append(values, of(&totals[index]))
		}
		return medianOf(values)
	}
	middle := Totals{
		IdleSeconds:         figure(func(t *Totals) float64 { return t.IdleSeconds }),
		BoundIdleSeconds:    figure(func(t *Totals) float64 { return t.BoundIdleSeconds }),
		IdleRatioToBound:    figure(func(t *Totals) float64 { return t.IdleRatioToBound }),
		DiscardedTokenShare: figure(func(t *Totals) float64 { return t.DiscardedTokenShare }),
		LiveP99Ratio:        figure(func(t *Totals) float64 { return t.LiveP99Ratio }),
	}
	for _, one := range totals {
		middle.Stale += one.Stale
		middle.Broken += one.Broken
		middle.LiveFailed += one.LiveFailed
	}
	return middle
}

// medianOf sorts the values and returns the middle one, or the mean of the two
// in the middle; 0 for none.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	low, high := (len(values)-1)/2, len(values)/2
	return stat.Mean([]float64{values[low], values[high]}, nil)
}
