package slopes

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/coordinator"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/scorer"
	"github.com/corkpulley/corkpulley/internal/router"
)

const (
	// sampleChunks and sampleChunkTokens are the shape of a hollow sample.
	sampleChunks      = 16
	sampleChunkTokens = 16
	// stepFetchMax is the number of samples that the hollow trainer fetches at once.
	stepFetchMax = 64
)

func coordinatorSweeps() []sweep {
	return []sweep{{
		name: "step from submission to the last acknowledgement", role: RoleTrainerCoordinator,
		size: "samples", unit: UnitMicroseconds, sizes: []int{512, 1024, 2048, 4096}, repetitions: 2,
		measure: stepCost,
	}}
}

// hollowAnswers is a router.Router that answers at once.
type hollowAnswers struct{}

func (hollowAnswers) Run(
	_ context.Context, _ router.Request, onPiece func(router.Piece) error,
) (router.Result, error) {
	for chunk := range sampleChunks {
		piece := router.Piece{
			FirstToken: chunk * sampleChunkTokens, Tokens: hollowTokens(sampleChunkTokens), Version: hollowVersion,
		}
		if err := onPiece(piece); err != nil {
			return router.Result{}, err
		}
	}
	tokens := sampleChunks * sampleChunkTokens
	return router.Result{
		Tokens: tokens, FinishReason: "stop",
		Versions: []api.VersionSpan{{Version: hollowVersion, From: 0, To: tokens}},
	}, nil
}

// hollowScorer gives every sample the same score.
type hollowScorer struct{}

func (hollowScorer) Score(context.Context, scorer.Request) (scorer.Response, error) {
	return scorer.Response{Score: 0.5}, nil
}

// stepCost returns the processor time of one step at a real coordinator on a
// real log stream: schedule, record, deliver and acknowledge so many samples.
// Router, scorer and trainer are hollow; the log's stand-in counts too.
func stepCost(ctx context.Context, samples int) (float64, error) {
	var owned closers
	defer owned.close()
	owner, err := openCoordinator(&owned)
	if err != nil {
		return 0, err
	}
	return processorMicroseconds(func() error { return driveStep(ctx, owner, samples) })
}

func openCoordinator(owned *closers) (*coordinator.Coordinator, error) {
	log := openHollowLog()
	owned.add(log.close)
	manager := logstream.NewManager(logstream.Options{Service: log.service, Writer: hollowWriter, Logger: zerolog.Nop()})
	owned.add(func() { closeManager(manager) })
	node := &hollowNode{table: &policy.Table{Revision: 1, Rows: []policy.Row{{
		Service: hollowTrainer, Kind: policy.KindTrainer, Pool: hollowPool, Model: hollowModel,
		Share: 100, Staleness: 2, Repeatable: true,
	}}}}
	for index := range hollowZones {
		node.cells = append(node.cells, hollowDigest(index, 1))
	}
	var owner *coordinator.Coordinator
	transport, err := startTransport("node-near", func(transport *peer.Transport) {
		node.self = hollowMember("node-near", transport.Address(), hollowZone)
		node.members = []cluster.Member{node.self}
		owner = coordinator.New(coordinator.Options{
			NodeID: "node-near", PeerAddress: transport.Address(), Zone: hollowZone, Manager: manager,
			View: node, Announcer: node, Caller: transport, Registry: transport, Router: hollowAnswers{},
			Tables: node, Scorer: hollowScorer{}, Logger: zerolog.Nop(),
		})
	})
	if err != nil {
		return nil, err
	}
	owned.add(transport.close)
	owned.add(runInBackground(owner.Run))
	return owner, waitUntil("the ledger is owned", func() bool { return node.owns.Load() > 0 })
}

// driveStep is the hollow trainer.
func driveStep(ctx context.Context, owner *coordinator.Coordinator, samples int) error {
	request := api.StepRequest{SamplesPerPrompt: samplesPerPrompt, MaxTokens: 512, Temperature: 1, TrainerVersion: hollowVersion}
	for index := range samples / samplesPerPrompt {
		request.Prompts = append(request.Prompts, api.StepPrompt{Group: "rationale", Text: hollowPrompt(index)})
	}
	if _, err := owner.SubmitStep(ctx, hollowTrainer, hollowStep, request); err != nil {
		return errors.Wrap(err, "submit step")
	}
	for acknowledged := 0; acknowledged < samples; {
		fetched, err := owner.Fetch(ctx, hollowTrainer, api.FetchRequest{
			Step: hollowStep, TrainerVersion: hollowVersion, Max: stepFetchMax,
		})
		if err != nil {
			return errors.Wrap(err, "fetch")
		}
		if len(fetched.Samples) == 0 {
			return errors.Errorf("no samples after %d of %d", acknowledged, samples)
		}
		ack := api.AckRequest{Token: fetched.Token, TrainerVersion: hollowVersion}
		for _, sample := range fetched.Samples {
			ack.Samples = append(ack.Samples, sample.ID)
		}
		if _, err := owner.Acknowledge(ctx, hollowTrainer, ack); err != nil {
			return errors.Wrap(err, fmt.Sprintf("acknowledge %d samples", len(ack.Samples)))
		}
		acknowledged += len(ack.Samples)
	}
	return nil
}
