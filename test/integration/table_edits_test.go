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
	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/test/history"
)

// tableObserver polls every node for its table in force.
type tableObserver struct {
	deployment   *topology.Deployment
	mu           sync.Mutex
	observations []history.Observation
	cancel       context.CancelFunc
	nodes        sync.WaitGroup
}

// observeInterval is the time between polls of one node.
const observeInterval = 15 * time.Millisecond

func startObserver(t *testing.T, deployment *topology.Deployment) *tableObserver {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	observer := &tableObserver{deployment: deployment, cancel: cancel}
	for _, node := range deployment.Nodes() {
		observer.nodes.Go(func() { observer.poll(ctx, node) })
	}
	t.Cleanup(cancel)
	return observer
}

func (o *tableObserver) poll(ctx context.Context, node *topology.Node) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		started := time.Now()
		document, err := node.Table(ctx)
		if err == nil {
			o.add(history.Observation{Node: node.ID, Started: started, Ended: time.Now(), Revision: document.Revision})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (o *tableObserver) add(observation history.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations = append(o.observations, observation)
}

func (o *tableObserver) all() []history.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]history.Observation(nil), o.observations...)
}

// waitAfter waits until every node has answered a poll that started after the given time.
func (o *tableObserver) waitAfter(t *testing.T, after time.Time) {
	t.Helper()
	eventually(t, "an answer of every node after the convergence bound", func() error {
		answered := map[string]bool{}
		for _, observation := range o.all() {
			if observation.Started.After(after) {
				answered[observation.Node] = true
			}
		}
		for _, node := range o.deployment.Nodes() {
			if !answered[node.ID] {
				return errors.Errorf("none of %s", node.ID)
			}
		}
		return nil
	})
}

func (o *tableObserver) stop() []history.Observation {
	o.cancel()
	o.nodes.Wait()
	return o.all()
}

// tableEditors edit the table concurrently and record the outcome of each proposal.
type tableEditors struct {
	t  *testing.T
	mu sync.Mutex
	// share is the share of the lookup row in the latest edit; each edit raises it, so that all tables differ.
	share      int
	operations []porcupine.Operation
	accepted   []acceptedRevision
}

type acceptedRevision struct {
	revision int64
	at       time.Time
}

func (e *tableEditors) nextTable() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share++
	row := fmt.Sprintf("clerk-lookup,live,shared,clerk,latest,9,%d,-,-,yes,*,50", e.share)
	return table(row, defaultRows[1], defaultRows[2])
}

// edit proposes one change of the node's table in force and repeats the proposal until its outcome is known or ctx
// ends.
func (e *tableEditors) edit(ctx context.Context, node *topology.Node) {
	current, err := node.Table(ctx)
	if err != nil {
		return
	}
	proposal := api.TableProposal{
		BaseRevision: current.Revision,
		CSV:          e.nextTable(),
		Operator:     node.ID,
		ProposalID:   xid.New().String(),
	}
	operation := porcupine.Operation{
		Input:  history.TableOperation{Base: proposal.BaseRevision},
		Call:   time.Now().UnixNano(),
		Return: history.UnknownReturn,
		Output: history.TableResult{Outcome: history.Unknown},
	}
	for ctx.Err() == nil && !e.propose(ctx, node, proposal, &operation) {
		select {
		case <-ctx.Done():
		case <-time.After(observeInterval):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.operations = append(e.operations, operation)
}

// propose sends the proposal once and reports whether its outcome is known.
func (e *tableEditors) propose(
	ctx context.Context, node *topology.Node, proposal api.TableProposal, operation *porcupine.Operation,
) bool {
	accepted, err := node.ProposeTable(ctx, proposal)
	now := time.Now()
	if err == nil {
		operation.Return = now.UnixNano()
		operation.Output = history.TableResult{Outcome: history.Accepted, Revision: accepted.Revision}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.accepted = append(e.accepted, acceptedRevision{accepted.Revision, now})
		return true
	}
	var failure *topology.StatusError
	if !errors.As(err, &failure) || failure.Status != http.StatusConflict {
		return false
	}
	operation.Return = now.UnixNano()
	operation.Output = history.TableResult{Outcome: history.Refused}
	return true
}

// editConcurrently makes the given number of edits at each node, all nodes at once.
func (e *tableEditors) editConcurrently(edits int, nodes ...*topology.Node) {
	e.t.Helper()
	var racing sync.WaitGroup
	ctx := waitContext(e.t)
	for _, node := range nodes {
		racing.Go(func() {
			for range edits {
				e.edit(ctx, node)
			}
		})
	}
	racing.Wait()
}

// latestAccepted returns the highest accepted revision.
func (e *tableEditors) latestAccepted() acceptedRevision {
	e.mu.Lock()
	defer e.mu.Unlock()
	var highest acceptedRevision
	for _, accepted := range e.accepted {
		if accepted.revision > highest.revision {
			highest = accepted
		}
	}
	return highest
}
