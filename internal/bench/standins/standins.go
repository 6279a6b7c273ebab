// Package standins runs the platform's stand-ins as processes of their own, for
// "corkbench standin".
package standins

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/standin/engine"
	"github.com/corkpulley/corkpulley/internal/standin/httpserver"
	"github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/internal/standin/machines"
	"github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/standin/scorer"
	"github.com/corkpulley/corkpulley/internal/standin/trainer"
	"github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

// Arguments chooses one stand-in; its flags are the fields of its Config.
type Arguments struct {
	Log         *logservice.Config  `arg:"subcommand:log" help:"append-only log service"`
	Engine      *engine.Config      `arg:"subcommand:engine" help:"model engine"`
	WeightStore *weightstore.Config `arg:"subcommand:weightstore" help:"rate-limited weight store"`
	Machines    *machines.Config    `arg:"subcommand:machines" help:"lagging list of machines"`
	Scorer      *scorer.Config      `arg:"subcommand:scorer" help:"scoring service"`
	Platform    *platform.Config    `arg:"subcommand:platform" help:"a whole platform for hosted nodes: store, configuration and engines"`
	Trainer     *trainer.Config     `arg:"subcommand:trainer" help:"trainer; prints its report when it is done"`
}

// Kinds of stand-ins that only this command runs.
const (
	kindTrainer  = "trainer"
	kindPlatform = "platform"
)

// listening is the line printed once a stand-in listens.
type listening struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
}

// service is a stand-in that listens by itself.
type service interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
	Address() string
}

// Run runs the chosen stand-in until ctx ends, then stops it by plan. A server
// prints one JSON line with its kind and address once it listens.
func Run(ctx context.Context, arguments *Arguments, output io.Writer) error {
	switch {
	case arguments.Log != nil:
		handler := logservice.New(*arguments.Log).Handler()
		return runHandler(ctx, topology.KindLog, arguments.Log.Listen, handler, output)
	case arguments.Scorer != nil:
		handler := scorer.New(*arguments.Scorer).Handler()
		return runHandler(ctx, topology.KindScorer, arguments.Scorer.Listen, handler, output)
	case arguments.Engine != nil:
		return runService(ctx, topology.KindEngine, engine.New(*arguments.Engine), output)
	case arguments.WeightStore != nil:
		return runService(ctx, topology.KindWeightStore, weightstore.New(*arguments.WeightStore), output)
	case arguments.Machines != nil:
		return runService(ctx, topology.KindMachines, machines.New(*arguments.Machines), output)
	case arguments.Platform != nil:
		return runService(ctx, kindPlatform, platform.NewService(*arguments.Platform), output)
	case arguments.Trainer != nil:
		return runTrainer(ctx, *arguments.Trainer, output)
	default:
		return errors.New("no stand-in named: expected log, engine, weightstore, machines, scorer, platform or trainer")
	}
}

func runService(ctx context.Context, kind string, server service, output io.Writer) error {
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-server.Ready():
	}
	if err := announce(kind, server.Address(), output); err != nil {
		return err
	}
	return <-ended
}

// handlerService serves a stand-in that does not listen by itself.
type handlerService struct {
	*httpserver.Listener
	handler http.Handler
}

// Run implements service.
func (s handlerService) Run(ctx context.Context) error { return s.Serve(ctx, s.handler) }

func runHandler(ctx context.Context, kind, address string, handler http.Handler, output io.Writer) error {
	listener := httpserver.NewListener(kind+" stand-in", address)
	return runService(ctx, kind, handlerService{Listener: listener, handler: handler}, output)
}

func announce(kind, address string, output io.Writer) error {
	if err := json.NewEncoder(output).Encode(listening{kind, address}); err != nil {
		return errors.Wrap(err, "announce address")
	}
	return nil
}

// runTrainer answers its report at GET /v1/report while the trainer runs, and
// prints it once all steps are trained or ctx ends.
func runTrainer(ctx context.Context, config trainer.Config, output io.Writer) error {
	running := trainer.New(config)
	serveContext, stopServing := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- runHandler(serveContext, kindTrainer, config.Listen, running.Handler(), output) }()
	report, err := running.Run(ctx)
	stopServing()
	if serveError := <-served; serveError != nil {
		return serveError
	}
	if err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "run trainer")
	}
	if err := json.NewEncoder(output).Encode(report); err != nil {
		return errors.Wrap(err, "print report")
	}
	if report.Broken() {
		return errors.New("a promise to the trainer was broken")
	}
	return nil
}
