// Package report prints the results of experiments as human-readable tables.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/experiment"
	"github.com/corkpulley/corkpulley/internal/bench/workload"
)

const (
	tabPadding = 2
	percent    = 100
)

// Write prints the workload, a table for each kind of measurement, and the medians.
func Write(output io.Writer, spec *workload.Workload, results []experiment.Result, comparison experiment.Comparison) error {
	var text strings.Builder
	writeWorkload(&text, spec)
	writeTotals(&text, results)
	writeTrainers(&text, results)
	writeLive(&text, results)
	writePools(&text, results)
	writeMedians(&text, comparison)
	if _, err := io.WriteString(output, text.String()); err != nil {
		return errors.Wrap(err, "print report")
	}
	return nil
}

func writeWorkload(text *strings.Builder, spec *workload.Workload) {
	fmt.Fprintf(text, "workload %s: zones %s\n", spec.Name, strings.Join(spec.Zones, ", "))
	for _, pool := range spec.Pools {
		fmt.Fprintf(text, "  pool %s: %d engines, batches of %d, %s a token\n",
			pool.Name, pool.Engines, pool.MaxBatch, pool.TokenInterval)
	}
	fmt.Fprintf(text, "  one second stands for %.0f; link latencies are not scaled: %s between zones and %s to callers, one way,\n"+
		"  so network latency is overrepresented by a factor of %.0f\n",
		spec.TimeScale, spec.ZoneLatency, spec.ClientLatency, spec.TimeScale)
}

// table prints a title and aligned columns. Cells of the header and of rows are separated by "|".
func table(text *strings.Builder, title, header string, rows []string) {
	fmt.Fprintf(text, "\n%s\n", title)
	writer := tabwriter.NewWriter(text, 0, 0, tabPadding, ' ', tabwriter.AlignRight)
	for _, row := range append([]string{header}, rows...) {
		_, _ = fmt.Fprintf(writer, "%s\t\n", strings.ReplaceAll(row, "|", "\t"))
	}
	_ = writer.Flush() // writes to a strings.Builder never fail
}

func writeTotals(text *strings.Builder, results []experiment.Result) {
	var rows []string
	for _, result := range results {
		rows = append(rows, fmt.Sprintf("%s|%d|%.1f|%.2f|%.2f|%.2f|%.1f %%|%d|%.2f|%d|%d",
			result.Policy, result.Seed, result.Seconds, result.IdleSeconds, result.BoundIdleSeconds, result.IdleRatioToBound,
			percent*result.DiscardedTokenShare, result.Stale, result.LiveP99Ratio, result.LiveFailed, result.Violations))
	}
	table(text, "runs (idle: sum over trainers)",
		"policy|seed|run s|idle s|bound s|idle/bound|discarded|stale|live p99 ratio|live failed|violations", rows)
}

func writeTrainers(text *strings.Builder, results []experiment.Result) {
	var rows []string
	for _, result := range results {
		for _, trainer := range result.Trainers {
			rows = append(rows, fmt.Sprintf("%s|%d|%s|%.1f %%|%.2f|%.2f|%.2f|%.0f|%d|%d|%d|%d|%.1f %%",
				result.Policy, result.Seed, trainer.Service, percent*trainer.IdleShare, trainer.StepSeconds,
				trainer.BoundStepSeconds, trainer.StalenessMean, trainer.StalenessP99, trainer.StalenessMax, trainer.StalenessBound,
				trainer.Samples, trainer.LongestSample, percent*trainer.PrefixHitShare))
		}
	}
	table(text, "trainers (staleness in versions at acknowledgement)",
		"policy|seed|trainer|idle|step s|bound s|stale mean|p99|max|limit|samples|longest|prefix hits", rows)
}

func writeLive(text *strings.Builder, results []experiment.Result) {
	var rows []string
	for _, result := range results {
		for _, service := range result.Live {
			for _, load := range []struct {
				name    string
				figures experiment.LiveFigures
			}{{"alone", service.WithoutTrainers}, {"with trainers", service.WithTrainers}} {
				rows = append(rows, fmt.Sprintf("%s|%d|%s|%s|%d/%d|%.1f|%.1f|%.1f|%.1f|%.1f %%",
					result.Policy, result.Seed, service.Service, load.name, load.figures.OK, load.figures.Requests,
					load.figures.FirstToken.P50, load.figures.FirstToken.P99, load.figures.Latency.P50, load.figures.Latency.P99,
					percent*load.figures.PrefixHitShare))
			}
		}
	}
	table(text, "live calls (milliseconds)",
		"policy|seed|service|load|complete|first p50|first p99|total p50|total p99|prefix hits", rows)
}

func writePools(text *strings.Builder, results []experiment.Result) {
	var rows []string
	for _, result := range results {
		for _, pool := range result.Pools {
			rows = append(rows, fmt.Sprintf("%s|%d|%s|%d|%.0f %%|%.0f..%.0f %%|%.0f|%.0f",
				result.Policy, result.Seed, pool.Pool, pool.Engines, percent*pool.Utilisation,
				percent*pool.LowestUtilisation, percent*pool.HighestUtilisation, pool.TokensPerSecond, pool.Capacity))
		}
	}
	table(text, "engines during training (batch slots in use)",
		"policy|seed|pool|engines|in use|single engines|tokens/s|capacity", rows)
}

func writeMedians(text *strings.Builder, comparison experiment.Comparison) {
	fmt.Fprintf(text, "\nmedians over %d seeds, policy %s: idle/bound %.2f, discarded %.1f %%, stale %d, live p99 ratio %.2f\n",
		len(comparison.Seeds), comparison.Policy, comparison.IdleRatioToBound, percent*comparison.DiscardedTokenShare,
		comparison.Stale, comparison.LiveP99Ratio)
	if comparison.BaselineTotals == nil {
		return
	}
	baseline := comparison.BaselineTotals
	fmt.Fprintf(text, "baseline %s: idle/bound %.2f, discarded %.1f %%, stale %d, live p99 ratio %.2f; idle time is %.2f of the baseline's\n",
		comparison.Baseline, baseline.IdleRatioToBound, percent*baseline.DiscardedTokenShare, baseline.Stale,
		baseline.LiveP99Ratio, comparison.IdleRatioToBaseline)
}
