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

// drainGrace is the time after which a draining engine must get no new work.
const drainGrace = 3 * time.Second

// Drain is announced by the engine itself, by the machine list only, or during a log outage.
func TestInvariantEngineDrain(t *testing.T) {
	deployment := deploy(t, func(config *topology.Config) {
		// Keeps heartbeats from overwriting the machine list entries of the test.
		config.PlatformArguments = map[string][]string{topology.KindMachines: {"--expiry", "1h"}}
		for i := range config.Engines {
			config.Engines[i].Arguments = append(config.Engines[i].Arguments, "--heartbeat", "1h")
		}
	})
	load := startLoad(t, newLookupLoad(deployment, 40, 20))
	load.waitOK(t, 20)
	drainStarts := map[string]time.Time{}

	drain := true
	drainStarts["e1"] = time.Now()
	assert.NilError(t, deployment.Engine("e1").Control(waitContext(t), standin.Control{Drain: &drain}))
	load.waitStartedAfter(t, drainStarts["e1"].Add(drainGrace))

	drainStarts["e2"] = listAsLeaving(t, deployment, "e2")
	load.waitStartedAfter(t, drainStarts["e2"].Add(drainGrace))

	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{Down: true}))
	drainStarts["e3"] = listAsLeaving(t, deployment, "e3")
	load.waitStartedAfter(t, drainStarts["e3"].Add(drainGrace))
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{}))

	outcomes := load.stop(t)
	executions := executionsOf(t, deployment)
	for id, drainStart := range drainStarts {
		assertNoViolations(t, history.CheckDrain(id, drainStart, drainGrace, executions))
	}
	checkAnswers(t, outcomes, executions, false)
}

func listAsLeaving(t *testing.T, deployment *topology.Deployment, id string) time.Time {
	t.Helper()
	entry := deployment.Engine(id).MachineEntry(machines.StateLeaving)
	assert.NilError(t, deployment.PutMachine(waitContext(t), entry))
	return time.Now()
}

// callsAfterGrace is the number of calls after the grace period that must be answered before engines are checked.
const callsAfterGrace = 40

// waitStartedAfter waits until callsAfterGrace calls that started after the given time were answered completely.
func (r *runningLoad) waitStartedAfter(t *testing.T, after time.Time) {
	t.Helper()
	eventually(t, "calls after the grace period", func() error {
		count := 0
		for _, outcome := range r.recorder.Outcomes() {
			if outcome.OK() && outcome.Started > after.UnixNano() {
				count++
			}
		}
		if count < callsAfterGrace {
			return errors.Errorf("%d of %d", count, callsAfterGrace)
		}
		return nil
	})
}
