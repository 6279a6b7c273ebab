package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/live"
)

// Upper bounds of the --rate and --seconds flags.
const (
	maxRate    = 20_000
	maxSeconds = 3600
)

type loadArguments struct {
	Addresses    []string `arg:"--address,separate,required" help:"caller address of a node, ip:port; repeatable, used round-robin"`
	Service      string   `arg:"--service,required" help:"live service to call"`
	Rate         float64  `arg:"--rate" default:"10" help:"mean arrivals per second, open loop (up to 20000)"`
	Seconds      float64  `arg:"--seconds" default:"10" help:"duration of the arrivals (up to 3600)"`
	Seed         uint64   `arg:"--seed" default:"1" help:"seed of arrivals and prompts"`
	MaxTokens    int      `arg:"--max-tokens" default:"64" help:"maximum number of tokens of a completion"`
	PrefixGroups int      `arg:"--groups" default:"8" help:"number of shared prompt prefixes"`
	PrefixBytes  int      `arg:"--prefix-bytes" default:"512" help:"length of a shared prefix in bytes"`
	StreamShare  float64  `arg:"--streamed" default:"0.5" help:"share of streamed calls, 0..1"`
	Keyed        bool     `arg:"--keyed" help:"give each call an idempotency key"`
	JSON         bool     `arg:"--json" help:"print the summary as one JSON object"`
}

func runLoad(ctx context.Context, arguments *loadArguments, output io.Writer) error {
	if arguments.Rate > maxRate || arguments.Seconds > maxSeconds {
		return errors.Errorf("--rate must be at most %d and --seconds at most %d", maxRate, maxSeconds)
	}
	load := live.Load{
		Addresses:           arguments.Addresses,
		Service:             arguments.Service,
		Rate:                arguments.Rate,
		Duration:            time.Duration(arguments.Seconds * float64(time.Second)),
		Seed:                arguments.Seed,
		MaxTokens:           arguments.MaxTokens,
		PrefixGroups:        arguments.PrefixGroups,
		PrefixBytes:         arguments.PrefixBytes,
		StreamShare:         arguments.StreamShare,
		WithIdempotencyKeys: arguments.Keyed,
	}
	client, recorder := live.NewClient(), live.NewRecorder()
	defer client.Close()
	if err := load.Run(ctx, client, recorder); err != nil {
		return err
	}
	summary := recorder.Summary()
	if err := printLoad(output, summary, arguments.JSON); err != nil {
		return err
	}
	if summary.Invalid > 0 {
		return errors.Errorf("%d responses violated an invariant", summary.Invalid)
	}
	return nil
}

func printLoad(output io.Writer, summary live.Summary, asJSON bool) error {
	var err error
	if asJSON {
		err = json.NewEncoder(output).Encode(summary)
	} else {
		_, err = fmt.Fprintf(output, "requests %d, complete %d, refused %d, failed %d, invalid %d\ncodes %v\n"+
			"time to first token: p50 %.1f ms, p99 %.1f ms\nlatency: p50 %.1f ms, p99 %.1f ms\n",
			summary.Requests, summary.OK, summary.Refused, summary.Failed, summary.Invalid, summary.Codes,
			summary.TimeToFirstToken.P50, summary.TimeToFirstToken.P99, summary.Latency.P50, summary.Latency.P99)
	}
	if err != nil {
		return errors.Wrap(err, "print summary")
	}
	return nil
}
