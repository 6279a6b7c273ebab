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

// submitters submit one small step after the other at every node and record
// under which epoch each was accepted.
type submitters struct {
	client *trainerClient
	// base is the version that each step names.
	base       uint64
	mu         sync.Mutex
	operations []porcupine.Operation
	running    sync.WaitGroup
}

const (
	// submittersPerNode call each node at once, so that calls lie in a frozen
	// node's sockets when it wakes up.
	submittersPerNode = 3
	submitInterval    = 30 * time.Millisecond
)

func startSubmitters(t *testing.T, ctx context.Context, client *trainerClient) *submitters {
	t.Helper()
	started := &submitters{client: client, base: client.version}
	for _, node := range client.deployment.Nodes() {
		for number := range submittersPerNode {
			started.running.Go(func() { started.submit(ctx, node, number) })
		}
	}
	started.running.Go(func() { started.use(ctx) })
	return started
}

func (s *submitters) submit(ctx context.Context, node *topology.Node, submitter int) {
	for number := 0; ctx.Err() == nil; number++ {
		step := fmt.Sprintf("%s-%d-%d", node.ID, submitter, number)
		s.submitOne(ctx, node, step)
		pause(ctx, submitInterval)
	}
}

// submitOne submits a step once. Only an accepted one tells something about
// ownership: a failed call may have had an effect or not, and changes no owner.
func (s *submitters) submitOne(ctx context.Context, node *topology.Node, step string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request := api.StepRequest{
		Prompts:          []api.StepPrompt{{Group: "ownership", Text: step + " [tokens=2]"}},
		SamplesPerPrompt: 1, MaxTokens: 8, TrainerVersion: s.base,
	}
	var status api.StepStatus
	called := time.Now().UnixNano()
	if s.client.tryAt(ctx, node.Callers, http.MethodPut, "/steps/"+step, request, &status) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations = append(s.operations, porcupine.Operation{
		Input: history.OwnershipOperation{Epoch: status.Epoch}, Output: history.Accepted,
		Call: called, Return: time.Now().UnixNano(),
	})
}

// lateSubmissions are the calls that a frozen owner finds when it wakes up.
const lateSubmissions = 8

// wake continues a frozen owner that another has replaced. Calls wait for it that
// were made after the other's steps were accepted, and its connections to the
// log are gone, so that it takes the calls before it can read that it is fenced.
func (s *submitters) wake(t *testing.T, ctx context.Context, frozen *topology.Node, round int) {
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
	pause(ctx, submitInterval) // lets the calls into the node's sockets; nothing hangs on it
	assert.NilError(t, frozen.Thaw())
}

// use fetches and acknowledges, so that steps end and others may begin.
func (s *submitters) use(ctx context.Context) {
	for ctx.Err() == nil {
		s.useOnce(ctx)
		pause(ctx, submitInterval)
	}
}

func (s *submitters) useOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var fetched api.FetchResponse
	fetch := api.FetchRequest{TrainerVersion: s.base, WaitMS: fetchWait.Milliseconds()}
	if s.client.try(ctx, http.MethodPost, "/fetch", fetch, &fetched) != nil || len(fetched.Samples) == 0 {
		return
	}
	request := api.AckRequest{Token: fetched.Token, TrainerVersion: s.base}
	for _, sample := range fetched.Samples {
		request.Samples = append(request.Samples, sample.ID)
	}
	var response api.AckResponse
	_ = s.client.try(ctx, http.MethodPost, "/ack", request, &response)
}

func pause(ctx context.Context, duration time.Duration) {
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

// waitAccepted waits until that many more steps were accepted under an epoch
// above the given one and returns the highest epoch.
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

// claimsOf reads the claims that won from the log, by the rule that a claim wins
// when it names the epoch in force. Nobody outside knows when a claimant called.
func claimsOf(t *testing.T, deployment *topology.Deployment, stream string) []porcupine.Operation {
	t.Helper()
	service := logservice.NewHTTP("http://"+deployment.Platform.Log, &http.Client{})
	var claims []porcupine.Operation
	var epoch int64
	for next := int64(0); ; {
		batch, err := service.Read(limit(t), stream, next, 500, 0)
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

// TestLedgerOwnershipIsLinearizable: a record of a ledger counts only under the
// epoch in force, with owners frozen past the takeover and woken, killed, and
// cut from the log, and append answers lost.
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
		assert.NilError(t, frozen.Freeze())
		epoch = submitting.waitAccepted(t, 10, epoch)
		submitting.wake(t, ctx, frozen, round)
		submitting.waitAccepted(t, 20, 0)
		assert.NilError(t, deployment.ControlLog(limit(t), standin.Control{LoseAnswers: 0.3, LateMS: 50}))
	}
	killed := client.owner("n1-0-0")
	killed.Kill()
	submitting.waitAccepted(t, 10, epoch)
	restart(t, killed)
	assert.NilError(t, deployment.ControlLog(limit(t), standin.Control{}))

	cut := client.owner("n1-0-0")
	cut.LogLink.Cut()
	pause(ctx, cutTime)
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
	assert.Assert(t, len(epochs) >= 4, "steps were accepted under %d epochs only, so too little was proved", len(epochs))
	assert.Assert(t, history.Linearizable(history.OwnershipModel(), append(claims, accepted...)))
}

// cutTime is how long a node stays cut from the log; nothing hangs on it.
const cutTime = time.Second
