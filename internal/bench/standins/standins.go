// Package standins implements "corkbench standin", which runs one platform
// stand-in as a process.
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

// Arguments selects one stand-in; its flags are the fields of its Config.
type Arguments struct {
	Log         *logservice.Config  `arg:"subcommand:log" help:"append-only log service"`
	Engine      *engine.Config      `arg:"subcommand:engine" help:"model engine"`
	WeightStore *weightstore.Config `arg:"subcommand:weightstore" help:"rate-limited weight store"`
	Machines    *machines.Config    `arg:"subcommand:machines" help:"machine list whose reads lag behind writes"`
	Scorer      *scorer.Config      `arg:"subcommand:scorer" help:"scoring service"`
	Platform    *platform.Config    `arg:"subcommand:platform" help:"complete platform for hosted nodes: store, configuration and engines"`
	Trainer     *trainer.Config     `arg:"subcommand:trainer" help:"trainer; prints its report when it is done"`
}

// Kinds of stand-ins that are not part of a topology.Deployment.
const (
	kindTrainer  = "trainer"
	kindPlatform = "platform"
)

// listeningLine is the line printed once a stand-in listens.
type listeningLine struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
}

// service is a stand-in with its own listener.
type service interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
	Address() string
}

// Run runs the selected stand-in until ctx is done, then shuts it down gracefully.
// Once it listens, it prints one JSON line with its kind and address.
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
		return errors.New("missing stand-in: expected log, engine, weightstore, machines, scorer, platform or trainer")
	}
}

func runService(ctx context.Context, kind string, server service, output io.Writer) error {
	exited := make(chan error, 1)
	go func() { exited <- server.Run(ctx) }()
	select {
	case err := <-exited:
		return err
	case <-server.Ready():
	}
	if err := announce(kind, server.Address(), output); err != nil {
		return err
	}
	return <-exited
}

// handlerService adds a listener to a stand-in that is only an http.Handler.
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
	if err := json.NewEncoder(output).Encode(listeningLine{kind, address}); err != nil {
		return errors.Wrap(err, "announce address")
	}
	return nil
}

// runTrainer runs the trainer, serves its report at GET /v1/report meanwhile, and
// prints the report once all steps are trained or ctx is done.
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
	if report.ViolatesGuarantees() {
		return errors.New("the trainer observed a violated invariant")
	}
	return nil
}
