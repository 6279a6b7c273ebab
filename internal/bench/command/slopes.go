package command

import (
	"context"
	"fmt"
	"io"

	"github.com/corkpulley/corkpulley/internal/bench/slopes"
)

// slopesArguments measure what one more unit of load costs a node.
type slopesArguments struct {
	Only string `arg:"--only" help:"measure only the sweeps whose name contains this text"`
	JSON bool   `arg:"--json" help:"print the report as one JSON object"`
}

// runSlopes prints the report to output and the progress to problems.
func runSlopes(ctx context.Context, arguments *slopesArguments, output, problems io.Writer) error {
	report, err := slopes.Run(ctx, slopes.Options{
		Only:     arguments.Only,
		Progress: func(name string) { _, _ = fmt.Fprintln(problems, "measuring:", name) },
	})
	if err != nil {
		return err
	}
	return report.Write(output, arguments.JSON)
}
