package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/test/history"
)

// permitCallers send keyed calls and retry aggressively: two calls at once to different nodes, each retried at
// the next node until answered.
type permitCallers struct {
	addresses []string
	client    *live.Client
	recorder  *live.Recorder
}

const (
	permitMaxTries    = 8
	permitCallTimeout = 10 * time.Second
)

func (c *permitCallers) issue(number int) {
	call := live.Call{
		Service: permitService, MaxTokens: 64, Stream: number%2 == 0,
		Prompt:         fmt.Sprintf("issue permit %d [tokens=12]", number),
		IdempotencyKey: fmt.Sprintf("permit-%d", number),
	}
	var racing sync.WaitGroup
	for racer := range 2 {
		racing.Go(func() { c.retryUntilOK(call, number+racer) })
	}
	racing.Wait()
}

func (c *permitCallers) retryUntilOK(call live.Call, first int) {
	for try := range permitMaxTries {
		call.Address = c.addresses[(first+try)%len(c.addresses)]
		ctx, cancel := context.WithTimeout(context.Background(), permitCallTimeout)
		outcome := c.client.Send(ctx, call)
		cancel()
		c.recorder.Add(outcome)
		if outcome.OK() {
			return
		}
	}
}

// run issues permits one after another until the context ends.
func (c *permitCallers) run(ctx context.Context, caller int) {
	const permitsPerCaller = 100_000
	for number := caller * permitsPerCaller; ctx.Err() == nil; number++ {
		c.issue(number)
	}
}

// A non-repeatable request runs at most once over all engines when callers race and retry, nodes are killed or
// frozen, and append responses are lost.
func TestInvariantAtMostOnce(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	callers := &permitCallers{
		addresses: deployment.CallerAddresses(), client: live.NewSingleUseClient(), recorder: live.NewRecorder(),
	}
	defer callers.client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	for number := range 4 {
		group.Go(func() { callers.run(ctx, number) })
	}
	load := &runningLoad{recorder: callers.recorder}

	load.waitOK(t, 20)
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{LostResponseShare: 0.3, EffectDelayMS: 50}))
	load.waitOK(t, 20)
	// Each node in turn, so that the fault affects every role: gateway, owner of a key's shard, dispatcher of a cell.
	for _, node := range deployment.Nodes() {
		killAndRestart(t, node, load)
		freezeAndResume(t, node, load)
	}
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{}))
	load.waitOK(t, 10)
	cancel()
	group.Wait()

	outcomes := history.Outcomes(callers.recorder.Outcomes())
	t.Logf("callers: %+v", callers.recorder.Summary())
	executions := executionsOf(t, deployment)
	assertNoViolations(t, history.CheckAtMostOnce(promptsOf(outcomes), executions))
	checkAnswers(t, outcomes, executions, true)
	assert.Assert(t, history.Linearizable(history.KeyedModel(), history.KeyedOperations(outcomes)))
}

func killAndRestart(t *testing.T, node *topology.Node, load *runningLoad) {
	t.Helper()
	node.Kill()
	load.waitOK(t, 10)
	restart(t, node)
}

func freezeAndResume(t *testing.T, node *topology.Node, load *runningLoad) {
	t.Helper()
	assert.NilError(t, node.Suspend())
	load.waitOK(t, 10)
	assert.NilError(t, node.Resume())
	load.waitOK(t, 10)
}
