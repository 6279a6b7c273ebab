// Package pathcost measures the CPU time and allocations per request and per
// relayed token chunk of the path through a gateway and a dispatcher (two
// processes connected by the peer transport, HTTP to an engine stand-in),
// compared with the standard library's reverse proxy in front of the same
// engine. Both are measured alternately in one run, so that the ratio is less
// sensitive to other load on the host.
package pathcost

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of the flags.
const (
	maxRounds  = 100
	maxStreams = 256
	minTokens  = 16
	maxTokens  = 4096
)

// Arguments are the flags of "corkbench path-cost".
type Arguments struct {
	Rounds        int           `arg:"--rounds" default:"5" help:"measurements of each route, in turn (1..100)"`
	Streams       int           `arg:"--streams" default:"32" help:"streams at once (1..256)"`
	Tokens        int           `arg:"--tokens" default:"256" help:"chunks of a long answer, one token each (16..4096)"`
	TokenInterval time.Duration `arg:"--token-interval" default:"4ms" help:"time between two chunks of a stream"`
	JSON          bool          `arg:"--json" help:"print the report as one JSON object"`
	Serve         string        `arg:"--serve" help:"for the command's own processes: serve plain, gateway or dispatcher"`
	Upstream      string        `arg:"--upstream" help:"with --serve: address of the engine, or of the gateway's dispatcher"`
}

func (a *Arguments) validate() error {
	switch {
	case a.Rounds < 1 || a.Rounds > maxRounds:
		return errors.Errorf("--rounds is %d, expected 1..%d", a.Rounds, maxRounds)
	case a.Streams < 1 || a.Streams > maxStreams:
		return errors.Errorf("--streams is %d, expected 1..%d", a.Streams, maxStreams)
	case a.Tokens < minTokens || a.Tokens > maxTokens:
		return errors.Errorf("--tokens is %d, expected %d..%d", a.Tokens, minTokens, maxTokens)
	case a.TokenInterval < time.Millisecond || a.TokenInterval > time.Second:
		return errors.Errorf("--token-interval is %s, expected 1ms..1s", a.TokenInterval)
	default:
		return nil
	}
}

// Run runs the measurement or, with --serve, one of the processes that it starts.
func Run(ctx context.Context, arguments *Arguments, output io.Writer) error {
	if arguments.Serve != "" {
		return serve(ctx, arguments.Serve, arguments.Upstream, output)
	}
	if err := arguments.validate(); err != nil {
		return err
	}
	report, err := measure(ctx, arguments)
	if err != nil {
		return err
	}
	if arguments.JSON {
		return json.NewEncoder(output).Encode(report)
	}
	return report.print(output)
}

// Cost is the cost of one request or chunk in a process, or the sum over several processes.
type Cost struct {
	// Microseconds is the CPU time, user and system.
	Microseconds float64 `json:"cpu_us"`
	// Allocations is the number of allocated heap objects, Bytes their total size.
	Allocations float64 `json:"allocations"`
	Bytes       float64 `json:"bytes"`
}

// RouteCost is the cost of one route to the engine, or of one process on it.
type RouteCost struct {
	PerChunk   Cost `json:"per_chunk"`
	PerRequest Cost `json:"per_request"`
}

// Report holds the results of a run: medians over the rounds.
type Report struct {
	Rounds  int `json:"rounds"`
	Streams int `json:"streams"`
	Tokens  int `json:"tokens"`
	// Plain is the route through the reverse proxy, Path the route through the gateway and the dispatcher.
	Plain      RouteCost `json:"plain"`
	Path       RouteCost `json:"path"`
	Gateway    RouteCost `json:"gateway"`
	Dispatcher RouteCost `json:"dispatcher"`
	// Ratios of CPU time, Path to Plain: of the medians, and the lowest and
	// highest of a single round.
	ChunkRatio        float64 `json:"cpu_ratio_per_chunk"`
	ChunkRatioLowest  float64 `json:"cpu_ratio_per_chunk_lowest"`
	ChunkRatioHighest float64 `json:"cpu_ratio_per_chunk_highest"`
	RequestRatio      float64 `json:"cpu_ratio_per_request"`
}

func (r *Report) print(output io.Writer) error {
	rows := []struct {
		name string
		cost RouteCost
	}{{"plain", r.Plain}, {"path", r.Path}, {"  gateway", r.Gateway}, {"  dispatcher", r.Dispatcher}}
	text := fmt.Sprintf("%-12s %30s %36s\n", "", "per chunk: us, allocs, bytes", "per request: us, allocs, bytes")
	for _, row := range rows {
		chunk, request := row.cost.PerChunk, row.cost.PerRequest
		text += fmt.Sprintf("%-12s %10.2f %9.2f %9.0f %16.1f %9.1f %9.0f\n", row.name,
			chunk.Microseconds, chunk.Allocations, chunk.Bytes,
			request.Microseconds, request.Allocations, request.Bytes)
	}
	text += fmt.Sprintf("CPU time ratio, path to plain: %.2f per chunk (rounds %.2f to %.2f), %.2f per request\n",
		r.ChunkRatio, r.ChunkRatioLowest, r.ChunkRatioHighest, r.RequestRatio)
	_, err := io.WriteString(output, text)
	return err
}
