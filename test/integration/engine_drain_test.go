package integration

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
	"github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/test/history"
)

// drainGrace is how long after it is leaving an engine may still get new work.
const drainGrace = 3 * time.Second

// TestInvariantEngineDrain: a leaving engine gets no new work after the grace,
// whether the engine says so, only the machine list does, or the log is down.
func TestInvariantEngineDrain(t *testing.T) {
	deployment := deploy(t, func(config *topology.Config) {
		// No heartbeat overwrites what the test writes into the machine list.
		config.PlatformArguments = map[string][]string{topology.KindMachines: {"--expiry", "1h"}}
		for i := range config.Engines {
			config.Engines[i].Arguments = append(config.Engines[i].Arguments, "--heartbeat", "1h")
		}
	})
	load := startLoad(t, lookups(deployment, 40, 20))
	load.waitOK(t, 20)
	leavings := map[string]time.Time{}

	drain := true
	leavings["e1"] = time.Now()
	assert.NilError(t, deployment.Engine("e1").Control(limit(t), standin.Control{Drain: &drain}))
	load.waitStartedAfter(t, leavings["e1"].Add(drainGrace))

	leavings["e2"] = listAsLeaving(t, deployment, "e2")
	load.waitStartedAfter(t, leavings["e2"].Add(drainGrace))

	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{Down: true}))
	leavings["e3"] = listAsLeaving(t, deployment, "e3")
	load.waitStartedAfter(t, leavings["e3"].Add(drainGrace))
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{}))

	outcomes := load.stop(t)
	executions := executionsOf(t, deployment)
	for id, leaving := range leavings {
		holds(t, history.CheckDrain(id, leaving, drainGrace, executions))
	}
	checkAnswers(t, outcomes, executions, false)
}

func listAsLeaving(t *testing.T, deployment *topology.Deployment, id string) time.Time {
	t.Helper()
	entry := deployment.Engine(id).Machine(machines.StateLeaving)
	assert.NilError(t, deployment.ListMachine(limit(t), entry))
	return time.Now()
}

// callsAfter is how many calls must be answered to show where work goes.
const callsAfter = 40

// waitStartedAfter waits until enough calls that began after the time were
// answered whole.
func (r *runningLoad) waitStartedAfter(t *testing.T, after time.Time) {
	t.Helper()
	eventually(t, "calls after the grace", func() error {
		count := 0
		for _, outcome := range r.recorder.Outcomes() {
			if outcome.OK() && outcome.Started > after.UnixNano() {
				count++
			}
		}
		if count < callsAfter {
			return errors.Errorf("%d of %d", count, callsAfter)
		}
		return nil
	})
}
