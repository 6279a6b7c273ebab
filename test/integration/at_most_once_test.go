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

// permitDesk sends keyed calls the way an anxious caller does: twice at once to
// different nodes, then again on the next node until answered.
type permitDesk struct {
	addresses []string
	client    *live.Client
	recorder  *live.Recorder
}

const (
	deskTries       = 8
	deskCallTimeout = 10 * time.Second
)

func (d *permitDesk) issue(number int) {
	call := live.Call{
		Service: permitService, MaxTokens: 64, Stream: number%2 == 0,
		Prompt:         fmt.Sprintf("issue permit %d [tokens=12]", number),
		IdempotencyKey: fmt.Sprintf("permit-%d", number),
	}
	var racing sync.WaitGroup
	for racer := range 2 {
		racing.Go(func() { d.insist(call, number+racer) })
	}
	racing.Wait()
}

func (d *permitDesk) insist(call live.Call, first int) {
	for try := range deskTries {
		call.Address = d.addresses[(first+try)%len(d.addresses)]
		ctx, cancel := context.WithTimeout(context.Background(), deskCallTimeout)
		outcome := d.client.Send(ctx, call)
		cancel()
		d.recorder.Add(outcome)
		if outcome.OK() {
			return
		}
	}
}

// run issues permits, one after the other, until the context ends.
func (d *permitDesk) run(ctx context.Context, desk int) {
	const perDesk = 100_000
	for number := desk * perDesk; ctx.Err() == nil; number++ {
		d.issue(number)
	}
}

// TestInvariantAtMostOnce: a request that is not repeatable runs at most once
// over all engines, when callers race and retry on other nodes, a gateway is
// killed, a node is frozen and woken, and appends' answers are lost.
func TestInvariantAtMostOnce(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	desk := &permitDesk{addresses: deployment.CallerAddresses(), client: live.NewSingleUseClient(), recorder: live.NewRecorder()}
	defer desk.client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var desks sync.WaitGroup
	for number := range 4 {
		desks.Go(func() { desk.run(ctx, number) })
	}
	issued := &runningLoad{recorder: desk.recorder}

	issued.waitOK(t, 20)
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{LoseAnswers: 0.3, LateMS: 50}))
	issued.waitOK(t, 20)
	// Each node in turn, so that every role is hit: gateway, owner of a key's
	// shard, dispatcher of the engines' cells.
	for _, node := range deployment.Nodes() {
		killAndRestart(t, node, issued)
		freezeAndThaw(t, node, issued)
	}
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{}))
	issued.waitOK(t, 10)
	cancel()
	desks.Wait()

	outcomes := history.Outcomes(desk.recorder.Outcomes())
	t.Logf("callers: %+v", desk.recorder.Summary())
	executions := executionsOf(t, deployment)
	holds(t, history.CheckAtMostOnce(promptsOf(outcomes), executions))
	checkAnswers(t, outcomes, executions, true)
	assert.Assert(t, history.Linearizable(history.KeyedModel(), history.KeyedOperations(outcomes)))
}

func killAndRestart(t *testing.T, node *topology.Node, load *runningLoad) {
	t.Helper()
	node.Kill()
	load.waitOK(t, 10)
	restart(t, node)
}

func freezeAndThaw(t *testing.T, node *topology.Node, load *runningLoad) {
	t.Helper()
	assert.NilError(t, node.Freeze())
	load.waitOK(t, 10)
	assert.NilError(t, node.Thaw())
	load.waitOK(t, 10)
}
