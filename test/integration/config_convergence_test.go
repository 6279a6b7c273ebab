package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/test/history"
)

// convergenceBound is the maximum time until an accepted revision is in force on all nodes.
const convergenceBound = 5 * time.Second

// slowLogLatency is the one-way latency of a slow link to the log.
const slowLogLatency = 2500 * time.Millisecond

// Each accepted revision must be in force on all nodes within the bound and never be reverted, under concurrent
// edits, lost append responses, a restarted node, a log outage, and a node that is cut off from
// the log or has a slow link to it.
func TestInvariantConfigConvergence(t *testing.T) {
	deployment := deploy(t)
	initial, err := deployment.Node("n1").Table(waitContext(t))
	assert.NilError(t, err)
	observer := startObserver(t, deployment)
	editors := &tableEditors{t: t, share: 200}
	first, second, third := deployment.Node("n1"), deployment.Node("n2"), deployment.Node("n3")

	editors.editConcurrently(4, first, second, third)
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{LostResponseShare: 0.4, EffectDelayMS: 40}))
	editors.editConcurrently(4, first, second)
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{}))

	third.Kill()
	editors.editConcurrently(2, first, second)
	restart(t, third)

	second.LogLink.Cut()
	editors.editConcurrently(2, first, third)
	endFaultAfterConvergence(t, editors, observer, func() { assert.NilError(t, second.LogLink.Restore()) })

	// This node gets each revision from its peers before it reads it from the log.
	assert.NilError(t, second.LogLink.SetLatency(slowLogLatency))
	editors.editConcurrently(6, first, third)
	endFaultAfterConvergence(t, editors, observer, func() { assert.NilError(t, second.LogLink.SetLatency(0)) })

	editors.editConcurrently(1, first)
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{Down: true}))
	// A peer in its zone has the table, so this node can start without the log.
	second.Kill()
	restart(t, second)
	endFaultAfterConvergence(t, editors, observer, func() {
		assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{}))
	})

	editors.editConcurrently(2, first, second, third)
	observer.waitAfter(t, editors.latestAccepted().at.Add(convergenceBound))
	observations := observer.stop()
	t.Logf("%d proposals, %d accepted, %d observations", len(editors.operations), len(editors.accepted), len(observations))
	assertNoViolations(t, history.CheckMonotonic(observations))
	nodes := []string{"n1", "n2", "n3"}
	for _, accepted := range editors.accepted {
		assertNoViolations(t, history.CheckConvergence(accepted.revision, accepted.at, convergenceBound, nodes, observations))
	}
	assertNoViolations(t, history.CheckOneSuccessor(editors.operations))
	assert.Assert(t, history.Linearizable(history.TableModel(initial.Revision), editors.operations))
}

// endFaultAfterConvergence ends a fault only after the bound of the last accepted revision, so that the
// revision has to converge during the fault.
func endFaultAfterConvergence(t *testing.T, editors *tableEditors, observer *tableObserver, endFault func()) {
	t.Helper()
	observer.waitAfter(t, editors.latestAccepted().at.Add(convergenceBound))
	endFault()
}
