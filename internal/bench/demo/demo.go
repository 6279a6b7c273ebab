// Package demo runs a small deployment with live requests and a trainer at the
// same time, and validates all responses and samples.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/standin/trainer"
)

// Arguments are the flags of "corkbench demo".
type Arguments struct {
	JSON    bool `arg:"--json" help:"print the summary as one JSON object at the end"`
	Seconds int  `arg:"--seconds" default:"8" help:"how long live requests are sent (1..600)"`
	Keep    bool `arg:"--keep" help:"leave the deployment running until SIGINT or SIGTERM"`
}

// Summary holds the counts of the live callers and the trainer.
type Summary struct {
	LiveRequests        int `json:"live_requests"`
	LiveOK              int `json:"live_ok"`
	LiveInvalid         int `json:"live_broken"`
	SamplesWanted       int `json:"samples_wanted"`
	SamplesAcknowledged int `json:"samples_acknowledged"`
	Duplicates          int `json:"duplicates"`
	Lost                int `json:"lost"`
	Stale               int `json:"stale"`
	InvalidVersions     int `json:"unnamed_versions"`
	// ExecutedTwice counts repeated executions of non-repeatable requests.
	ExecutedTwice int `json:"executed_twice"`
	// LatestVersion is the latest weight version published by the trainer.
	LatestVersion uint64         `json:"latest_version"`
	Latency       live.Quantiles `json:"latency"`
	FirstToken    live.Quantiles `json:"time_to_first_token"`
}

// verify returns an error if live responses or samples are invalid or missing, or a non-repeatable request was
// executed twice.
func (s *Summary) verify() error {
	switch {
	case s.LiveInvalid > 0 || s.Duplicates > 0 || s.Lost > 0 || s.Stale > 0 || s.InvalidVersions > 0 || s.ExecutedTwice > 0:
		return errors.New("found invalid responses, repeated executions, or invalid, duplicate, lost or stale samples")
	case s.LiveOK < s.LiveRequests:
		return errors.Errorf("%d of %d live requests have no complete response", s.LiveRequests-s.LiveOK, s.LiveRequests)
	case s.SamplesAcknowledged != s.SamplesWanted:
		return errors.Errorf("only %d of %d samples were acknowledged by the trainer", s.SamplesAcknowledged, s.SamplesWanted)
	default:
		return nil
	}
}

// Limits of a run.
const (
	maxSeconds = 600
	// extraRunTime bounds startup, the trainer's last steps and shutdown, in
	// addition to the time that live requests are sent.
	extraRunTime = 3 * time.Minute
	// serveTimeout bounds the wait until every node serves each live service.
	serveTimeout = time.Minute
)

// Run runs the demo. It prints progress and then the summary to output, as one
// JSON line if arguments.JSON is set. All processes are stopped before it returns.
func Run(ctx context.Context, arguments *Arguments, output io.Writer) error {
	if arguments.Seconds < 1 || arguments.Seconds > maxSeconds {
		return errors.Errorf("--seconds is %d, expected 1..%d", arguments.Seconds, maxSeconds)
	}
	directory, err := os.MkdirTemp("", "corkpulley-demo-")
	if err != nil {
		return errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	duration := time.Duration(arguments.Seconds) * time.Second
	runCtx, cancel := context.WithTimeout(ctx, duration+extraRunTime)
	defer cancel()
	progress := &progress{output: output, started: time.Now()}
	deployment, err := startDeployment(runCtx, directory, progress)
	if err != nil {
		return err
	}
	defer deployment.Close()
	summary, err := runLoads(runCtx, deployment, duration, progress)
	if err != nil {
		return err
	}
	if arguments.Keep {
		waitForSignal(ctx, deployment, progress)
	}
	progress.printLine("shutting down the nodes")
	if err := deployment.StopNodes(context.WithoutCancel(runCtx)); err != nil {
		return errors.Wrap(err, "shut down nodes")
	}
	if err := printSummary(output, summary, arguments.JSON); err != nil {
		return err
	}
	return summary.verify()
}

func startDeployment(ctx context.Context, directory string, progress *progress) (*topology.Deployment, error) {
	binaries, err := topology.FindBinaries(ctx, directory)
	if err != nil {
		return nil, err
	}
	config := deploymentConfig(binaries, directory)
	progress.printLine("starting %d nodes in %d zones, %d engines and the platform stand-ins",
		len(config.Nodes), len(zones), len(config.Engines))
	deployment, err := topology.Start(ctx, config)
	if err != nil {
		return nil, err
	}
	for _, node := range deployment.Nodes() {
		progress.printLine("node %s in %s: callers %s, operators %s", node.ID, node.Zone, node.Callers, node.Operators)
	}
	if err := waitServing(ctx, deployment); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

// waitServing waits until every node serves each live service.
func waitServing(ctx context.Context, deployment *topology.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	client := live.NewClient()
	defer client.Close()
	for _, address := range deployment.CallerAddresses() {
		for _, service := range []string{lookupService, permitService} {
			call := live.Call{Address: address, Service: service, Prompt: "warm-up [tokens=1]", MaxTokens: 1}
			err := topology.WaitFor(ctx, service+" to be served", func() error {
				outcome := client.Send(ctx, call)
				if outcome.OK() {
					return nil
				}
				return errors.Errorf("status %d, code %q, %s %q", outcome.Status, outcome.Code, outcome.TransportError, outcome.Violations)
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// runLoads runs the live loads and the trainer concurrently and returns their summary.
func runLoads(ctx context.Context, deployment *topology.Deployment, duration time.Duration, progress *progress) (*Summary, error) {
	recorder := live.NewRecorder()
	client := live.NewClient()
	defer client.Close()
	running := trainer.New(trainerConfig(deployment, duration))
	var work sync.WaitGroup
	loads := liveLoads(deployment.CallerAddresses(), duration)
	failures := make([]error, len(loads)+1)
	for i := range loads {
		work.Go(func() { failures[i] = loads[i].Run(ctx, client, recorder) })
	}
	work.Go(func() { _, failures[len(loads)] = running.Run(ctx) })
	stopReports := progress.startReporting(func() string {
		summary, report := recorder.Summary(), running.Report()
		return fmt.Sprintf("live %d/%d complete, samples %d/%d acknowledged, trainer at version %d",
			summary.OK, summary.Requests, report.SamplesAcknowledged, report.SamplesWanted, report.Version)
	})
	work.Wait()
	stopReports()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "demo was interrupted")
	}
	executedTwice, err := countExecutedTwice(deployment)
	if err != nil {
		return nil, err
	}
	return summarize(recorder.Summary(), running.Report(), executedTwice), nil
}

// countExecutedTwice counts repeated executions of requests of the non-repeatable
// service in the histories of all engines.
func countExecutedTwice(deployment *topology.Deployment) (int, error) {
	histories, err := deployment.Histories()
	if err != nil {
		return 0, errors.Wrap(err, "read engines' histories")
	}
	started := map[string]bool{}
	repeated := 0
	for _, history := range histories {
		for _, request := range history.Requests {
			if request.Service != permitService {
				continue
			}
			if started[request.RequestID] {
				repeated++
			}
			started[request.RequestID] = true
		}
	}
	return repeated, nil
}

func summarize(calls live.Summary, report trainer.Report, executedTwice int) *Summary {
	return &Summary{
		LiveRequests:        calls.Requests,
		LiveOK:              calls.OK,
		LiveInvalid:         calls.Invalid,
		SamplesWanted:       report.SamplesWanted,
		SamplesAcknowledged: report.SamplesAcknowledged,
		Duplicates:          report.Duplicates,
		Lost:                report.Lost,
		Stale:               report.Stale,
		InvalidVersions:     report.InvalidVersions,
		ExecutedTwice:       executedTwice,
		LatestVersion:       report.Version,
		Latency:             calls.Latency,
		FirstToken:          calls.TimeToFirstToken,
	}
}

func waitForSignal(ctx context.Context, deployment *topology.Deployment, progress *progress) {
	for _, node := range deployment.Nodes() {
		progress.printLine("kept: http://%s/v1/completions, corkctl --server http://%s status", node.Callers, node.Operators)
	}
	progress.printLine("running until SIGINT or SIGTERM")
	<-ctx.Done()
}

func printSummary(output io.Writer, summary *Summary, asJSON bool) error {
	var err error
	if asJSON {
		err = json.NewEncoder(output).Encode(summary)
	} else {
		_, err = fmt.Fprintf(output, "live: %d of %d responses complete, p99 time to first token %.1f ms\n"+
			"trainer: %d of %d samples acknowledged; duplicates %d, lost %d, stale %d, with invalid versions %d\n",
			summary.LiveOK, summary.LiveRequests, summary.FirstToken.P99, summary.SamplesAcknowledged, summary.SamplesWanted,
			summary.Duplicates, summary.Lost, summary.Stale, summary.InvalidVersions)
	}
	if err != nil {
		return errors.Wrap(err, "print summary")
	}
	return nil
}
