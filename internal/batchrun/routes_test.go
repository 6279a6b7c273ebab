package batchrun

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/routes"
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
	env.reconfigure(func(route *Route) { route.Parts = partsOf("t") })
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

// splitRoute returns parts of a canary with a tenth of the weight and of the main service.
func splitRoute() []routes.Part {
	return []routes.Part{{Service: "canary", Weight: 10}, {Service: "main", Weight: 90}}
}

// submitGroups submits a job of groups of four items each.
func (env *testEnv) submitGroups(id string, groups int) (items int) {
	record := batch.JobRecord{ID: id, Model: "m", MinVersion: 1}
	for i := range 4 * groups {
		item := batch.ItemRecord{ID: fmt.Sprintf("%s-%d", id, i), Group: fmt.Sprintf("%s-g%d", id, i/4)}
		env.engines.events[item.ID] = 2
		record.Items = append(record.Items, item)
	}
	env.jobs.apply(batch.Record{Job: &record})
	return 4 * groups
}

// callsByService counts the calls of each service, by the name of the engine up to its last character.
func (env *testEnv) callsByService() map[string]int {
	env.engines.mu.Lock()
	defer env.engines.mu.Unlock()
	counts := make(map[string]int)
	for _, engine := range env.engines.ranOn {
		counts[engine[:len(engine)-1]]++
	}
	return counts
}

// Guards against items of a split route that all go to its first service, whatever the weights.
func TestItemsAreSplitByWeights(t *testing.T) {
	env := newTestEnv(t)
	env.addService("canary", "canary0", "canary1", "canary2", "canary3")
	env.addService("main", "main0", "main1", "main2", "main3")
	for i := range 4 {
		env.engines.pause[fmt.Sprintf("canary%d", i)] = time.Millisecond
		env.engines.pause[fmt.Sprintf("main%d", i)] = 4 * time.Millisecond
	}
	env.route.Parts = splitRoute()
	env.startRunner()
	items := env.submitGroups("j", 100)
	assert.Equal(t, len(env.awaitResults(items)), items)
	counts := env.callsByService()
	assert.Assert(t, counts["canary"] >= 28 && counts["canary"] <= 52, "%v of %d items, a tenth of them for the canary", counts, items)
	engines := make(map[string]map[string]bool)
	for i := range items {
		_, ranOn := env.engines.callsOf(fmt.Sprintf("j-%d", i))
		group := fmt.Sprint(i / 4)
		if engines[group] == nil {
			engines[group] = make(map[string]bool)
		}
		for _, engine := range ranOn {
			engines[group][engine[:len(engine)-1]] = true
		}
	}
	for group, services := range engines {
		assert.Equal(t, len(services), 1, "group %s ran at %v", group, services)
	}
}

// Guards against items that wait for a part of their route that has no engine.
func TestItemsLeavePartWithoutEngines(t *testing.T) {
	env := newTestEnv(t)
	env.addService("main", "main0")
	env.route.Parts = splitRoute()
	env.startRunner()
	items := env.submitGroups("j", 20)
	assert.Equal(t, len(env.awaitResults(items)), items)
}

// Guards against items that follow the former weights of a split after a change, and against items at a part whose weight
// became zero.
func TestWaitingItemsFollowWeights(t *testing.T) {
	env := newTestEnv(t)
	env.addService("canary", "canary0")
	env.addService("main", "main0")
	env.engines.pause["main0"] = 10 * time.Millisecond
	env.route.Parts = splitRoute()
	env.startRunner()
	items := env.submitGroups("j", 20)
	testwait.Until(t, "the first item to run", func() bool { return env.callsByService()["main"] > 0 })
	env.reconfigure(func(route *Route) {
		route.Parts = []routes.Part{{Service: "canary", Weight: 1}, {Service: "main", Weight: 0}}
	})
	assert.Equal(t, len(env.awaitResults(items)), items)
	counts := env.callsByService()
	assert.Assert(t, counts["main"] <= 8, "%v of %d items", counts, items)
}

func TestDistributeByWeights(t *testing.T) {
	for name, test := range map[string]struct {
		parts []routes.Part
		want  map[string]int
	}{
		"one part":       {[]routes.Part{{Service: "a"}}, map[string]int{"a": 7}},
		"two parts":      {[]routes.Part{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}}, map[string]int{"a": 2, "b": 5}},
		"without weight": {[]routes.Part{{Service: "a"}, {Service: "b", Weight: 2}}, map[string]int{"a": 0, "b": 7}},
	} {
		got := make(map[string]int)
		route := Route{Parts: test.parts}
		route.distribute(7, got)
		assert.Check(t, maps.Equal(got, test.want), "%s: %v", name, got)
	}
}
