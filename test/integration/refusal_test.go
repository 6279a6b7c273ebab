package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/test/history"
)

// TestInvariantRefusalNotExecuted: no call that was refused as not run stands
// in any engine's history, under overload, a killed dispatcher, cuts while
// sending and a node that leaves.
func TestInvariantRefusalNotExecuted(t *testing.T) {
	deployment := deploy(t, func(config *topology.Config) {
		for i := range config.Engines {
			config.Engines[i].MaxBatch = 2
			config.Engines[i].TokenInterval = 5 * time.Millisecond
			config.Engines[i].Arguments = []string{"--max-waiting", "2"}
		}
	})
	ran := engineHistory{deployment: deployment}
	overload := lookups(deployment, 60, 60)
	overload.CallTimeout = 20 * time.Second
	load := startLoad(t, overload)
	single := permits(deployment, 20, 60)
	single.Keyed = false
	single.CallTimeout = 20 * time.Second
	unrepeatable := startLoad(t, single)
	load.waitOK(t, 10)

	killed := deployment.Node("n2")
	killed.Kill()
	load.waitOK(t, 10)
	restart(t, killed)
	for _, link := range []interface{ Reset() error }{
		deployment.Node("n1").PeerLink, deployment.Engine("e1").Link,
		deployment.Node("n3").PeerLink, deployment.Engine("e4").Link,
	} {
		assert.NilError(t, link.Reset())
		load.waitOK(t, 5)
	}
	leaving := deployment.Node("n3")
	code, err := leaving.Terminate(limit(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	load.waitOK(t, 10)

	outcomes := append(load.stop(t), unrepeatable.stop(t)...)
	executions := ran.executions(t)
	refusals := 0
	for i := range outcomes {
		if outcomes[i].Refused() {
			refusals++
		}
	}
	assert.Assert(t, refusals > 0, "nothing was refused, so nothing was proved")
	holds(t, history.CheckNotExecuted(outcomes, executions))
	holds(t, history.CheckComplete(outcomes, true))
}
