package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/experiment"
	"github.com/corkpulley/corkpulley/internal/bench/report"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/bench/workload"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
)

// maxSeeds is the upper bound of the --seeds flag.
const maxSeeds = 20

type runArguments struct {
	Workload string `arg:"--workload,required" help:"cascadia or odalaigh"`
	Seed     uint64 `arg:"--seed" default:"1" help:"first seed of arrivals, prompts and completions"`
	Seeds    int    `arg:"--seeds" default:"1" help:"number of seeds (1..20)"`
	Baseline string `arg:"--baseline" help:"run this scheduling policy alone: round-robin, least-load or one-hop"`
	Compare  string `arg:"--compare" help:"run the default policy and this one alternately"`
	JSON     bool   `arg:"--json" help:"print the comparison as one JSON object at the end"`
	Runs     bool   `arg:"--runs" help:"with --json: print each run as a JSON object too"`
}

// policies returns the scheduling policies to run, the evaluated one first.
func (a *runArguments) policies() ([]string, error) {
	evaluated := scheduler.PolicyDefault
	if a.Baseline != "" && a.Compare != "" {
		return nil, errors.New("--baseline and --compare are mutually exclusive")
	}
	names := []string{string(evaluated)}
	switch {
	case a.Baseline != "":
		names = []string{a.Baseline}
	case a.Compare != "":
		names = append(names, a.Compare)
	}
	for _, name := range names {
		if _, err := scheduler.ParsePolicy(name); err != nil {
			return nil, err
		}
	}
	return names, nil
}

func (a *runArguments) plan() (*experiment.Plan, error) {
	if a.Seeds < 1 || a.Seeds > maxSeeds {
		return nil, errors.Errorf("--seeds is %d, expected 1..%d", a.Seeds, maxSeeds)
	}
	spec, err := workload.ByName(a.Workload)
	if err != nil {
		return nil, err
	}
	policies, err := a.policies()
	if err != nil {
		return nil, err
	}
	return &experiment.Plan{Workload: spec, Policies: policies, FirstSeed: a.Seed, Seeds: a.Seeds}, nil
}

// runExperiment runs a workload under each policy and prints the measurements.
func runExperiment(ctx context.Context, arguments *runArguments, output io.Writer) error {
	plan, err := arguments.plan()
	if err != nil {
		return err
	}
	started := time.Now()
	plan.Progress = func(format string, values ...any) {
		line := fmt.Sprintf(format, values...)
		_, _ = fmt.Fprintf(output, "%6.1fs  %s\n", time.Since(started).Seconds(), line)
	}
	directory, err := os.MkdirTemp("", "corkbench-")
	if err != nil {
		return errors.Wrap(err, "create directory for the daemon binary")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries, err := topology.FindBinaries(ctx, directory)
	if err != nil {
		return err
	}
	results, err := plan.Execute(ctx, binaries)
	if err != nil {
		return err
	}
	return arguments.print(output, plan, results)
}

func (a *runArguments) print(output io.Writer, plan *experiment.Plan, results []experiment.Result) error {
	comparison := plan.Compare(results)
	if err := report.Write(output, plan.Workload, results, comparison); err != nil {
		return err
	}
	if a.JSON {
		if err := a.printJSON(output, results, comparison); err != nil {
			return errors.Wrap(err, "print results")
		}
	}
	return checkInvariants(results)
}

func (a *runArguments) printJSON(output io.Writer, results []experiment.Result, comparison experiment.Comparison) error {
	encoder := json.NewEncoder(output)
	if a.Runs {
		for index := range results {
			if err := encoder.Encode(&results[index]); err != nil {
				return err
			}
		}
	}
	return encoder.Encode(comparison)
}

// checkInvariants returns an error if any run violated an invariant, which invalidates its measurements.
func checkInvariants(results []experiment.Result) error {
	stale, violations := 0, 0
	for _, result := range results {
		stale += result.Stale
		violations += result.Violations
	}
	if stale+violations > 0 {
		return errors.Errorf("%d samples were accepted beyond the staleness bound, %d other invariants were violated", stale, violations)
	}
	return nil
}
