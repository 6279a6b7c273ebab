// Package command implements the command line of corkbench.
package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/demo"
	"github.com/corkpulley/corkpulley/internal/bench/pathcost"
	"github.com/corkpulley/corkpulley/internal/bench/soak"
	"github.com/corkpulley/corkpulley/internal/bench/standins"
)

// Exit codes of corkbench.
const (
	ExitOK = 0
	// ExitFailed means that the run failed or that an invariant was violated.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

const standinCommand = "standin"

type arguments struct {
	Standin *standins.Arguments `arg:"subcommand:standin" help:"run one of the platform's stand-ins until SIGTERM"`
	Demo    *demo.Arguments     `arg:"subcommand:demo" help:"start a small deployment, run live requests and a trainer, and check every response"`
	Load    *loadArguments      `arg:"subcommand:load" help:"send live load to running nodes"`
	Soak    *soak.Arguments     `arg:"subcommand:soak" help:"run real nodes under faults drawn from a seed and check invariants"`
	Run     *runArguments       `arg:"subcommand:run" help:"measure a deployment's trainers and live calls, and compare scheduling policies"`

	PathCost *pathcost.Arguments `arg:"subcommand:path-cost" help:"measure the cost of a request and of a relayed chunk, compared with the standard library's reverse proxy"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "corkbench: stand-ins, load generation and experiments for corkpulley"
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return `Examples:
  corkbench demo --seconds 10 --json
  corkbench standin engine --listen 127.0.0.1:7501 --id e1 --zone tumwater --pool clerk --model clerk@1
  corkbench run --workload cascadia --compare round-robin --json
  corkbench load --address 127.0.0.1:8080 --service clerk-lookup --rate 50 --seconds 30
  corkbench soak --minutes 5 --json

Exit codes: 0 success, 1 failure or violated invariant, 2 invalid usage.`
}

// Main parses and runs one command line and returns the exit code. SIGTERM and
// SIGINT stop the command gracefully; a second signal terminates the process.
func Main(commandLine []string, output, errorOutput io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "corkbench"}, &parsed)
	if err != nil {
		return fail(errorOutput, ExitFailed, err)
	}
	if err := parser.Parse(commandLine); err != nil {
		return printUsage(parser, err, output, errorOutput)
	}
	if problem := missingSubcommand(parser); problem != nil {
		return printUsage(parser, problem, output, errorOutput)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	switch {
	case parsed.Standin != nil:
		err = standins.Run(ctx, parsed.Standin, output)
	case parsed.Demo != nil:
		err = demo.Run(ctx, parsed.Demo, output)
	case parsed.Load != nil:
		err = runLoad(ctx, parsed.Load, output)
	case parsed.Soak != nil:
		err = soak.Run(ctx, parsed.Soak, output)
	case parsed.Run != nil:
		err = runExperiment(ctx, parsed.Run, output)
	case parsed.PathCost != nil:
		err = pathcost.Run(ctx, parsed.PathCost, output)
	}
	if err != nil {
		return fail(errorOutput, ExitFailed, err)
	}
	return ExitOK
}

// missingSubcommand returns an error if the command line lacks a required subcommand.
func missingSubcommand(parser *arg.Parser) error {
	names := parser.SubcommandNames()
	switch {
	case len(names) == 0:
		return errors.New("missing command: expected standin, demo, load, run, soak or path-cost")
	case len(names) == 1 && names[0] == standinCommand:
		return errors.New("missing stand-in: expected log, engine, weightstore, machines, scorer or trainer")
	default:
		return nil
	}
}

func printUsage(parser *arg.Parser, err error, output, errorOutput io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(output, parser.SubcommandNames()...)
		return ExitOK
	}
	_ = parser.WriteUsageForSubcommand(errorOutput, parser.SubcommandNames()...)
	return fail(errorOutput, ExitUsage, err)
}

func fail(errorOutput io.Writer, code int, err error) int {
	_, _ = fmt.Fprintln(errorOutput, "corkbench:", err)
	return code
}
