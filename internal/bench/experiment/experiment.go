// Package experiment runs a workload on a local deployment under a scheduling
// policy. Measurements come from callers, trainers and engines; the daemons' own
// metrics are not used.
package experiment

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/bench/workload"
	"github.com/corkpulley/corkpulley/internal/standin/trainer"
)

const (
	// warmUpTime is the duration of the unmeasured live load that opens connections and fills caches.
	warmUpTime = time.Second
	// liveOnlyTime is the duration of the measurement of the live load without trainers.
	liveOnlyTime = 5 * time.Second
	// runTimeout bounds one run.
	runTimeout = 3 * time.Minute
	// serveTimeout bounds the wait until each node serves each live service.
	serveTimeout = time.Minute
)

// Options configures one run.
type Options struct {
	Workload *workload.Workload
	// Policy is the daemons' scheduling policy.
	Policy string
	Seed   uint64
}

// Run runs the workload once: first live load only, then live load together with
// the trainers until they have trained all steps. All processes are stopped
// before it returns.
func Run(ctx context.Context, binaries topology.Binaries, options Options) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	directory, err := os.MkdirTemp("", "corkbench-run-")
	if err != nil {
		return nil, errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	deployment, err := topology.Start(ctx, options.Workload.Deployment(binaries, directory, options.Policy))
	if err != nil {
		return nil, errors.Wrapf(err, "start %s under policy %s", options.Workload.Name, options.Policy)
	}
	defer deployment.Close()
	current := &run{Options: options, deployment: deployment, client: live.NewClient()}
	defer current.client.Close()
	if err := current.waitServing(ctx); err != nil {
		return nil, err
	}
	if err := current.runPhases(ctx); err != nil {
		return nil, err
	}
	return current.measure()
}

// run is the state of one run.
type run struct {
	Options
	deployment *topology.Deployment
	client     *live.Client

	// withoutTrainers and withTrainers hold a recorder for each live service, in the order of Workload.Live.
	withoutTrainers []*live.Recorder
	withTrainers    []*live.Recorder
	trainers        []*trainer.Trainer
	// trainingStart and trainingEnd delimit the training phase.
	trainingStart time.Time
	trainingEnd   time.Time
}

// waitServing waits until every node serves each live service.
func (r *run) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	for _, address := range r.deployment.CallerAddresses() {
		for _, service := range r.Workload.Live {
			call := live.Call{Address: address, Service: service.Service, Prompt: "warm-up [tokens=1]", MaxTokens: 1}
			err := topology.WaitFor(ctx, service.Service+" to be served", func() error {
				outcome := r.client.Send(ctx, call)
				if outcome.OK() {
					return nil
				}
				return errors.Errorf("status %d, code %q, %s", outcome.Status, outcome.Code, outcome.TransportError)
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) runPhases(ctx context.Context) error {
	if _, err := r.sendLive(ctx, phaseWarmUp, warmUpTime); err != nil {
		return err
	}
	var err error
	if r.withoutTrainers, err = r.sendLive(ctx, phaseWithoutTrainers, liveOnlyTime); err != nil {
		return err
	}
	return r.train(ctx)
}

// phase identifies a phase of a run. Its number is part of the load's seed, so
// that each phase sends distinct prompts and idempotency keys.
type phase uint64

const (
	phaseWarmUp phase = iota
	phaseWithoutTrainers
	phaseWithTrainers
	phases
)

// sendLive sends the live load of all services until the duration has passed or
// ctx is done, and waits for all responses.
func (r *run) sendLive(ctx context.Context, current phase, duration time.Duration) ([]*live.Recorder, error) {
	loads := r.Workload.Loads(r.deployment.CallerAddresses(), r.Seed*uint64(phases)+uint64(current))
	recorders := make([]*live.Recorder, len(loads))
	failures := make([]error, len(loads))
	var sending sync.WaitGroup
	for index := range loads {
		loads[index].Duration = duration
		recorders[index] = live.NewRecorder()
		sending.Go(func() { failures[index] = loads[index].Run(ctx, r.client, recorders[index]) })
	}
	sending.Wait()
	return recorders, firstError(failures)
}

// train runs the trainers together with the live load until all trainers are done.
func (r *run) train(ctx context.Context) error {
	liveContext, stopLive := context.WithCancel(ctx)
	defer stopLive()
	var liveError error
	var sending sync.WaitGroup
	sending.Go(func() { r.withTrainers, liveError = r.sendLive(liveContext, phaseWithTrainers, runTimeout) })
	r.trainingStart = time.Now()
	trainerError := r.runTrainers(ctx)
	r.trainingEnd = time.Now()
	stopLive()
	sending.Wait()
	return firstError([]error{trainerError, liveError})
}

func (r *run) runTrainers(ctx context.Context) error {
	store := "http://" + r.deployment.Platform.WeightStore
	configs := r.Workload.TrainerConfigs(r.deployment.CallerURLs(), store, r.Seed)
	failures := make([]error, len(configs))
	var training sync.WaitGroup
	for index, config := range configs {
		running := trainer.New(config)
		r.trainers = append(r.trainers, running)
		training.Go(func() {
			_, err := running.Run(ctx)
			if err != nil {
				failures[index] = errors.Wrapf(err, "trainer %s", config.Trainer)
			}
		})
	}
	training.Wait()
	return firstError(failures)
}

func firstError(failures []error) error {
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}
