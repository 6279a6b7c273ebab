package batchrun

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// newMixedEnv returns an environment of two fast and six slow engines with one slot each, which run one item each.
func newMixedEnv(t *testing.T, log *bytes.Buffer) *testEnv {
	env := newTestEnv(t)
	env.mixed = true
	if log != nil {
		logger := zerolog.New(zerolog.SyncWriter(log))
		env.logger = &logger
	}
	for i := range 8 {
		id := fmt.Sprint("slow", i)
		env.engines.pause[id] = 40 * time.Millisecond
		if i < 2 {
			id = fmt.Sprint("fast", i)
			env.engines.pause[id] = 5 * time.Millisecond
		}
		env.engines.version[id] = 1
		engine := engineOf(id)
		engine.Slots = 1
		env.fleet.Put(engine)
	}
	return env
}

// submitMany submits a job whose items have a hint of one token per event.
func submitMany(env *testEnv, job string, count, events int) []string {
	var items []string
	record := batch.JobRecord{ID: job, Model: "m", MinVersion: 1}
	env.engines.mu.Lock()
	for i := range count {
		item := fmt.Sprint("item-", i, "-of-", job)
		env.engines.events[item] = events
		items = append(items, item)
		record.Items = append(record.Items, batch.ItemRecord{
			ID: item, Group: "group of " + job, Length: events, Tokens: events,
		})
	}
	env.engines.mu.Unlock()
	env.submitRecord(record, nil)
	return items
}

// Guards against items that stay on slow engines until they end while fast ones are idle, and against moves whose reason
// isn't told.
func TestItemsMoveToFastEngines(t *testing.T) {
	var log bytes.Buffer
	env := newMixedEnv(t, &log)
	env.route.ResultsDueAfter = 7500 * time.Millisecond
	r, stop := env.startRunner()
	items := submitMany(env, "j", 8, 150)
	env.awaitResults(8)
	submitMany(env, "j2", 1, 150) // 6 s at the median pace
	results := env.awaitResults(9)
	stop()
	moved := 0
	for i, item := range items {
		assert.Equal(t, string(results[fmt.Sprint("j/", i)].Text), fullText(item, 150))
		if _, ranOn := env.engines.callsOf(item); len(ranOn) > 1 {
			moved += len(ranOn) - 1
			assert.Assert(t, strings.HasPrefix(ranOn[len(ranOn)-1], "fast"), "%s ran on %v", item, ranOn)
		}
	}
	assert.Assert(t, moved > 0)
	assert.DeepEqual(t, env.moves, slices.Repeat([]MoveReason{MovedToFast}, moved))
	assert.DeepEqual(t, env.fastEngines, []int{2})
	assert.Equal(t, len(r.FastEngines()), 2)

	lines := map[string][]map[string]any{}
	for line := range strings.Lines(log.String()) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		message := fields["message"].(string)
		lines[message] = append(lines[message], fields)
	}
	assert.Equal(t, len(lines["engine speed classes changed"]), 1)
	change := lines["engine speed classes changed"][0]
	assert.Equal(t, change["fast"], 2.0)
	assert.Equal(t, change["others"], 6.0)
	assert.Assert(t, change["fast_pace_ms"].(float64) < change["other_pace_ms"].(float64))
	assert.Equal(t, len(lines["run ended early"]), moved)
	for _, line := range lines["run ended early"] {
		assert.Equal(t, line["move_reason"], "fast_engine")
		assert.Equal(t, line["fast"], false)
		assert.Assert(t, strings.HasPrefix(line["move_to"].(string), "fast"))
		assert.Assert(t, line["gain_ms"].(float64) > 500)
	}
	for _, line := range lines["item started"][8:] {
		assert.Equal(t, line["fast"], true)
	}
	assert.Equal(t, lines["item started"][len(lines["item started"])-1]["long"], true)
}

// Guards against classes with the setting uniform.
func TestUniformEnginesHaveNoClasses(t *testing.T) {
	env := newMixedEnv(t, nil)
	env.mixed = false
	r, stop := env.startRunner()
	submitMany(env, "j", 8, 60)
	env.awaitResults(8)
	stop()
	assert.Equal(t, len(r.FastEngines()), 0)
	assert.Equal(t, len(env.fastEngines), 0)
	assert.Assert(t, !slices.Contains(env.moves, MovedToFast))
}

// idleRunner returns a runner that hasn't been started. Engine i of its plan is fast if i < fast and runs an item that
// started 2 s ago; items have no hint and the given number of events. There are classes if fast > 0.
func idleRunner(env *testEnv, fast int, events []int64) *Runner {
	env.mixed = true
	r := New(Options{
		Fleet: env.fleet, Crashes: env.crashes, RouteOf: env.routeOf, HomesOf: env.homesOf, ConfigVersion: env.configVersion,
		EngineTokensOf: func(string) int { return env.engineTokens },
		LoadingModel:   func(incarnation.ID) string { return "" },
		LoadingModels:  func() map[incarnation.ID]string { return nil },
		Logger:         zerolog.Nop(), MixedEngines: true, OnMove: env.recordMove,
	})
	record := batch.JobRecord{ID: "j", Model: "m", MinVersion: 1, Items: make([]batch.ItemRecord, len(events))}
	r.jobs["j"] = &openJob{record: record, items: make([]batchitem.Item, len(events))}
	started := time.Now().Add(-2 * time.Second)
	var views []batchplan.Engine
	for i := range events {
		engine := engineOf(fmt.Sprint("e", i))
		env.fleet.Put(engine)
		views = append(views, batchplan.Engine{
			ID: engine.Incarnation(), Service: "s", Slots: 1, Versions: engine.Versions, Usable: true,
		})
		pace := 60 * time.Millisecond
		if i < fast {
			pace = 28 * time.Millisecond
		}
		r.plan.ObservePace(engine.Incarnation(), pace)
		r.plan.Add(batchplan.Item{Key: batchplan.Key{Job: "j", Item: i}, Service: "s", Model: "m", MinVersion: 1})
	}
	for _, each := range r.plan.Assign(started, views) {
		key := each.Item.Key
		r.runs[key] = &run{engine: each.Engine, started: started, cancel: func() {}}
		r.plan.RecordEvents(key, events[slices.IndexFunc(views, func(view batchplan.Engine) bool { return view.ID == each.Engine })])
	}
	for at := started; at.Before(started.Add(2 * time.Second)); at = at.Add(250 * time.Millisecond) {
		r.classifyEngines(at)
	}
	return r
}

// movesByEngine returns the moves of stopped runs by the engine they leave.
func movesByEngine(r *Runner) map[string]move {
	moves := make(map[string]move)
	for _, each := range r.runs {
		if each.reason == stopMoved {
			moves[each.engine.Engine] = each.move
		}
	}
	return moves
}

// Guards against moves for which the plan doesn't know the engine chosen, and against the rule for engines without
// classes, by which all items of the slow engines would move.
func TestOnlyItemsThatGainMoveWithClasses(t *testing.T) {
	env := newTestEnv(t)
	r := idleRunner(env, 3, []int64{40, 40, 40, 10, 100, 10, 10, 40})
	assert.Equal(t, len(r.FastEngines()), 3)
	r.moveStragglers()
	moves := movesByEngine(r)
	assert.Equal(t, len(moves), 2, "%v", moves)
	for engine, wantedGain := range map[string]time.Duration{"e7": 20 * 32 * time.Millisecond, "e4": 50 * 32 * time.Millisecond} {
		assert.Equal(t, moves[engine].reason, MovedToFast)
		assert.Equal(t, moves[engine].gain, wantedGain)
		assert.Assert(t, r.FastEngines()[moves[engine].to])
	}
	for key, each := range r.runs {
		if each.reason != stopMoved {
			continue
		}
		r.plan.Ended(key)
		r.plan.Add(batchplan.Item{Key: key, Service: "s", Model: "m", MinVersion: 1, Group: fmt.Sprint(key.Item)})
	}
	for _, each := range r.plan.Assign(time.Now(), r.engineViews(time.Now())) {
		assert.Equal(t, each.Engine, r.runs[each.Item.Key].move.to)
	}
	// Each move to a fast engine has to pay for itself, so the limit doesn't count them.
	for i := range r.jobs["j"].items {
		assert.Equal(t, r.jobs["j"].items[i].Moves, 0)
	}
}

// Guards against items that stay on a draining engine because engines have classes and the gain is small.
func TestItemsMoveFromDrainingEngineWithClasses(t *testing.T) {
	env := newTestEnv(t)
	r := idleRunner(env, 2, []int64{10, 10, 10, 10, 10, 10, 10, 10})
	draining := engineOf("e7")
	draining.Draining = true
	env.fleet.Put(draining)
	r.moveStragglers()
	assert.DeepEqual(t, env.moves, []MoveReason{MovedFromDraining})
	assert.Equal(t, movesByEngine(r)["e7"].reason, MovedFromDraining)
}

// Guards against a plan that doesn't learn how far running items are: an item that outruns its hint wouldn't move.
func TestEventsOfRunningItemsReachThePlan(t *testing.T) {
	env := newTestEnv(t)
	r := idleRunner(env, 2, make([]int64, 8))
	r.moveStragglers()
	assert.Equal(t, len(movesByEngine(r)), 0)
	for key, each := range r.runs {
		if each.engine.Engine != "e7" {
			continue
		}
		for number := range int64(40) {
			event := Event{Number: number + 1, Data: []byte("x"), Version: 1}
			at := each.started.Add(time.Duration(number) * 60 * time.Millisecond)
			assert.NilError(t, r.addEvent(r.jobs["j"], key, each, event, at))
		}
	}
	r.moveStragglers()
	assert.Equal(t, movesByEngine(r)["e7"].reason, MovedToFast)
}

// Guards against an item that is moved for ever because the fast engines refuse it, for example as full of items that
// other runners started.
func TestRefusedMovesToFastEnginesAreBounded(t *testing.T) {
	env := newMixedEnv(t, nil)
	env.route.ResultsDueAfter = 7500 * time.Millisecond
	env.startRunner()
	submitMany(env, "j", 8, 40)
	env.awaitResults(8)
	env.engines.mu.Lock()
	env.engines.refuse = func(engine string, _ Call) *CallError {
		if strings.HasPrefix(engine, "fast") {
			return &CallError{Kind: NotExecuted, Detail: "full"}
		}
		return nil
	}
	env.engines.mu.Unlock()
	env.mu.Lock()
	before := len(env.moves)
	env.mu.Unlock()
	submitMany(env, "j2", 1, 150)
	env.awaitResults(9)
	env.mu.Lock()
	defer env.mu.Unlock()
	assert.Assert(t, len(env.moves)-before <= maxMovesToFast, "%d moves of one item", len(env.moves)-before)
}
