package batchrun

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// addService adds engines of a service to the fleet, with one slot each.
func (env *testEnv) addService(service string, engineIDs ...string) {
	for _, id := range engineIDs {
		env.engines.setVersion(id, 1)
		env.fleet.Put(fleet.Engine{ID: id, Service: service, Slots: 1, Versions: map[string]int64{"m": 1}})
	}
}

// reconfigure changes the route under the next version of the configuration.
func (env *testEnv) reconfigure(change func(route *Route)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	change(&env.route)
	env.config++
}

func itemNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("i%d", i)
	}
	return names
}

// Guards against waiting items that no engine gets any more, since they stay bound to a service that their route has
// left.
func TestWaitingItemsFollowTheirRoute(t *testing.T) {
	env := newTestEnv(t)
	env.addService("s", "old")
	env.addService("t", "new")
	env.engines.pause["old"] = 20 * time.Millisecond
	names := itemNames(8)
	for _, name := range names {
		env.engines.events[name] = 5
	}
	env.startRunner()
	env.submit("j", 1, names...)
	testwait.Until(t, "the first item to run", func() bool {
		env.engines.mu.Lock()
		defer env.engines.mu.Unlock()
		return len(env.engines.calls) > 0
	})
	env.reconfigure(func(route *Route) { route.Service = "t" })
	assert.Equal(t, len(env.awaitResults(len(names))), len(names))
	onNew := 0
	for _, name := range names {
		calls, ranOn := env.engines.callsOf(name)
		assert.Equal(t, len(calls), 1, "a run was cut by the change of the route")
		if ranOn[0] == "new" {
			onNew++
		}
	}
	assert.Assert(t, onNew >= len(names)-2, "%d items ran at the new service", onNew)
}

// Guards against a result of several versions on a route that has come to require a single one while the item ran.
func TestRunningItemFollowsSingleVersion(t *testing.T) {
	env := newTestEnv(t)
	env.addService("s", "e1")
	env.engines.pause["e1"] = 10 * time.Millisecond
	env.engines.events["i0"] = 40
	runner, _ := env.startRunner()
	env.submit("j", 1, "i0")
	versions := func() int {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		if job := runner.jobs["j"]; job != nil {
			return len(job.items[0].Output.Versions())
		}
		return 0
	}
	testwait.Until(t, "output of version 1", func() bool { return versions() == 1 })
	env.engines.setVersion("e1", 2)
	testwait.Until(t, "output of version 2", func() bool { return versions() == 2 })
	env.reconfigure(func(route *Route) { route.SingleVersion = true })
	assert.DeepEqual(t, env.awaitResults(1)["j/0"].Versions, []int64{2})
}
