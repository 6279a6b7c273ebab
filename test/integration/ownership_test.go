package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	standin "github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/test/history"
)

// submitters submit small steps to every node and record the epoch under which each was accepted.
type submitters struct {
	client *trainerClient
	// trainerVersion is the version that each step names.
	trainerVersion uint64
	mu             sync.Mutex
	operations     []porcupine.Operation
	running        sync.WaitGroup
}

const (
	// submittersPerNode calls run at once, so that some wait in a frozen node's sockets when it resumes.
	submittersPerNode = 3
	submitInterval    = 30 * time.Millisecond
)

func startSubmitters(t *testing.T, ctx context.Context, client *trainerClient) *submitters {
	t.Helper()
	started := &submitters{client: client, trainerVersion: client.version}
	for _, node := range client.deployment.Nodes() {
		for number := range submittersPerNode {
			started.running.Go(func() { started.submit(ctx, node, number) })
		}
	}
	started.running.Go(func() { started.consume(ctx) })
	return started
}

func (s *submitters) submit(ctx context.Context, node *topology.Node, submitter int) {
	for number := 0; ctx.Err() == nil; number++ {
		step := fmt.Sprintf("%s-%d-%d", node.ID, submitter, number)
		s.submitOne(ctx, node, step)
		sleepContext(ctx, submitInterval)
	}
}

// submitOne submits a step once and records it only when accepted: a failed call may or may not have had an
// effect, and does not change ownership.
func (s *submitters) submitOne(ctx context.Context, node *topology.Node, step string) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	request := api.StepRequest{
		Prompts:          []api.StepPrompt{{Group: "ownership", Text: step + " [tokens=2]"}},
		SamplesPerPrompt: 1, MaxTokens: 8, TrainerVersion: s.trainerVersion,
	}
	var status api.StepStatus
	called := time.Now().UnixNano()
	if s.client.sendOnceTo(ctx, node.Callers, http.MethodPut, "/steps/"+step, request, &status) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations = append(s.operations, porcupine.Operation{
		Input: history.OwnershipOperation{Epoch: status.Epoch}, Output: history.Accepted,
		Call: called, Return: time.Now().UnixNano(),
	})
}

// lateSubmissions is the number of calls that wait at a frozen owner when it resumes.
const lateSubmissions = 8

// resumeFencedOwner resumes an owner that was replaced while frozen. Calls made after the takeover wait in its sockets,
// and its log connections are reset, so that it handles the calls before it can read that it was fenced.
func (s *submitters) resumeFencedOwner(t *testing.T, ctx context.Context, frozen *topology.Node, round int) {
	t.Helper()
	assert.NilError(t, frozen.LogLink.Reset())
	var sent sync.WaitGroup
	for number := range lateSubmissions {
		sent.Add(1)
		s.running.Go(func() {
			sent.Done()
			s.submitOne(ctx, frozen, fmt.Sprintf("late-%d-%d", round, number))
		})
	}
	sent.Wait()
	sleepContext(ctx, submitInterval) // gives the calls time to reach the node's sockets
	assert.NilError(t, frozen.Resume())
}

// consume fetches and acknowledges samples, so that steps end and later ones can begin.
func (s *submitters) consume(ctx context.Context) {
	for ctx.Err() == nil {
		s.consumeOnce(ctx)
		sleepContext(ctx, submitInterval)
	}
}

func (s *submitters) consumeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var fetched api.FetchResponse
	fetch := api.FetchRequest{TrainerVersion: s.trainerVersion, WaitMS: fetchWait.Milliseconds()}
	if s.client.sendOnce(ctx, http.MethodPost, "/fetch", fetch, &fetched) != nil || len(fetched.Samples) == 0 {
		return
	}
	request := api.AckRequest{Token: fetched.Token, TrainerVersion: s.trainerVersion}
	for _, sample := range fetched.Samples {
		request.Samples = append(request.Samples, sample.ID)
	}
	var response api.AckResponse
	_ = s.client.sendOnce(ctx, http.MethodPost, "/ack", request, &response)
}

func sleepContext(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (s *submitters) all() []porcupine.Operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]porcupine.Operation(nil), s.operations...)
}

// waitAccepted waits until that many more steps were accepted under an epoch above the given one, and returns the
// highest epoch.
func (s *submitters) waitAccepted(t *testing.T, more int, above int64) int64 {
	t.Helper()
	before := len(s.all())
	var highest int64
	eventually(t, "steps to be accepted", func() error {
		count := 0
		for _, operation := range s.all()[before:] {
			if epoch := operation.Input.(history.OwnershipOperation).Epoch; epoch > above {
				count++
				highest = max(highest, epoch)
			}
		}
		if count < more {
			return errors.Errorf("%d of %d above epoch %d", count, more, above)
		}
		return nil
	})
	return highest
}

// claimsOf reads the winning claims from the log: those that name the epoch in force. When a claimant called is
// unknown, so each may take effect at any time.
func claimsOf(t *testing.T, deployment *topology.Deployment, stream string) []porcupine.Operation {
	t.Helper()
	service := logservice.NewHTTP("http://"+deployment.Platform.Log, &http.Client{})
	var claims []porcupine.Operation
	var epoch int64
	for next := int64(0); ; {
		batch, err := service.Read(waitContext(t), stream, next, 500, 0)
		assert.NilError(t, err)
		for _, entry := range batch.Entries {
			next = entry.Offset + 1
			record, err := logrecord.Decode(entry.Data)
			assert.NilError(t, err)
			var claim logrecord.Claim
			if record.Kind != logrecord.KindClaim || logrecord.DecodeBody(record, &claim) != nil || claim.PreviousEpoch != epoch {
				continue
			}
			epoch = logrecord.EpochOfClaim(entry.Offset)
			claims = append(claims, porcupine.Operation{
				Input:  history.OwnershipOperation{Claim: true, Previous: claim.PreviousEpoch, Epoch: epoch},
				Output: history.Accepted,
				Return: history.UnknownReturn,
			})
		}
		if next >= batch.End {
			return claims
		}
	}
}

// A record of a ledger takes effect only under the epoch in force, also when owners are frozen during a takeover,
// killed or cut off from the log, and when append responses are lost.
func TestLedgerOwnershipIsLinearizable(t *testing.T) {
	t.Parallel()
	deployment := deploy(t, func(config *topology.Config) {
		for i := range config.Nodes {
			config.Nodes[i].Zone = config.Nodes[0].Zone
		}
	})
	client := newTrainerClient(t, deployment)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	submitting := startSubmitters(t, ctx, client)
	epoch := submitting.waitAccepted(t, 10, 0)

	for round := range 2 {
		frozen := client.owner("n1-0-0")
		assert.NilError(t, frozen.Suspend())
		epoch = submitting.waitAccepted(t, 10, epoch)
		submitting.resumeFencedOwner(t, ctx, frozen, round)
		submitting.waitAccepted(t, 20, 0)
		assert.NilError(t, deployment.ControlLog(waitContext(t), standin.Control{LostResponseShare: 0.3, EffectDelayMS: 50}))
	}
	killed := client.owner("n1-0-0")
	killed.Kill()
	submitting.waitAccepted(t, 10, epoch)
	restart(t, killed)
	assert.NilError(t, deployment.ControlLog(waitContext(t), standin.Control{}))

	cut := client.owner("n1-0-0")
	cut.LogLink.Cut()
	sleepContext(ctx, logCutTime)
	assert.NilError(t, cut.LogLink.Restore())
	submitting.waitAccepted(t, 20, 0)
	cancel()
	submitting.running.Wait()

	claims := claimsOf(t, deployment, ledger.StreamName(trainerName))
	accepted := submitting.all()
	epochs := map[int64]bool{}
	for _, operation := range accepted {
		epochs[operation.Input.(history.OwnershipOperation).Epoch] = true
	}
	t.Logf("%d claims won, %d steps accepted under %d epochs", len(claims), len(accepted), len(epochs))
	assert.Assert(t, len(epochs) >= 4, "steps were accepted under %d epochs only, so the test covered too little",
		len(epochs))
	assert.Assert(t, history.Linearizable(history.OwnershipModel(), append(claims, accepted...)))
}

// logCutTime is how long a node stays cut off from the log.
const logCutTime = time.Second
