package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/test/history"
)

// convergenceBound is how soon an accepted revision is in force on all nodes.
const convergenceBound = 5 * time.Second

// slowLog is the latency, one way, of a node's slow link to the log.
const slowLog = 2500 * time.Millisecond

// TestInvariantConfigConvergence: an accepted revision is in force on all nodes
// within the bound and no node ever answers under a lower one again, with
// operators racing, lost append answers, a node restarted, the log down after
// acceptance, a node cut from the log only, and one with a slow link to it.
func TestInvariantConfigConvergence(t *testing.T) {
	deployment := deploy(t)
	initial, err := deployment.Node("n1").Table(limit(t))
	assert.NilError(t, err)
	watching := startObserver(t, deployment)
	editing := &operators{t: t, share: 200}
	first, second, third := deployment.Node("n1"), deployment.Node("n2"), deployment.Node("n3")

	editing.race(4, first, second, third)
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{LoseAnswers: 0.4, LateMS: 40}))
	editing.race(4, first, second)
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{}))

	third.Kill()
	editing.race(2, first, second)
	restart(t, third)

	second.LogLink.Cut()
	editing.race(2, first, third)
	converges(t, editing, watching, func() { assert.NilError(t, second.LogLink.Restore()) })

	// This node gets each revision from its peers first and from the log later,
	// when a higher one is in force already.
	assert.NilError(t, second.LogLink.SetLatency(slowLog))
	editing.race(6, first, third)
	converges(t, editing, watching, func() { assert.NilError(t, second.LogLink.SetLatency(0)) })

	editing.race(1, first)
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{Down: true}))
	// A peer in its zone holds the table, so this node may start without the log.
	second.Kill()
	restart(t, second)
	converges(t, editing, watching, func() {
		assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{}))
	})

	editing.race(2, first, second, third)
	watching.waitAfter(t, editing.last().at.Add(convergenceBound))
	observations := watching.stop()
	t.Logf("%d proposals, %d accepted, %d observations", len(editing.operations), len(editing.accepted), len(observations))
	holds(t, history.CheckMonotonic(observations))
	nodes := []string{"n1", "n2", "n3"}
	for _, accepted := range editing.accepted {
		holds(t, history.CheckConvergence(accepted.revision, accepted.at, convergenceBound, nodes, observations))
	}
	holds(t, history.CheckOneSuccessor(editing.operations))
	assert.Assert(t, history.Linearizable(history.TableModel(initial.Revision), editing.operations))
}

// converges waits past the bound of the last accepted revision before a fault
// ends, so that the revision has to spread during the fault.
func converges(t *testing.T, editing *operators, watching *observer, endFault func()) {
	t.Helper()
	watching.waitAfter(t, editing.last().at.Add(convergenceBound))
	endFault()
}
