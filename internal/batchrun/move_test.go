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
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/testwait"
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

func submitMany(env *testEnv, count, events int) []string {
	var items []string
	record := batch.JobRecord{ID: "j", Model: "m", MinVersion: 1}
	for i := range count {
		item := fmt.Sprint("i", i)
		env.engines.events[item] = events
		items = append(items, item)
	}
	env.submitRecord(record, items)
	return items
}

// Guards against items without a hint that stay on slow engines until they end while fast ones are idle, and against
// moves whose reason isn't told.
func TestItemsMoveToFastEngines(t *testing.T) {
	var log bytes.Buffer
	env := newMixedEnv(t, &log)
	r, stop := env.startRunner()
	items := submitMany(env, 8, 150)
	results := env.awaitResults(8)
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
}

// Guards against classes with the setting uniform.
func TestUniformEnginesHaveNoClasses(t *testing.T) {
	env := newMixedEnv(t, nil)
	env.mixed = false
	r, stop := env.startRunner()
	submitMany(env, 8, 60)
	env.awaitResults(8)
	stop()
	assert.Equal(t, len(r.FastEngines()), 0)
	assert.Equal(t, len(env.fastEngines), 0)
	assert.Assert(t, !slices.Contains(env.moves, MovedToFast))
}

// Guards against items that stay on a draining engine because engines have classes: their gain would be too small.
func TestItemsMoveFromDrainingEngineWithClasses(t *testing.T) {
	env := newMixedEnv(t, nil)
	r, _ := env.startRunner()
	submitMany(env, 8, 60)
	testwait.Until(t, "there are classes", func() bool { return len(r.FastEngines()) == 2 })
	draining := engineOf("slow7")
	draining.Slots, draining.Draining = 1, true
	env.fleet.Put(draining)
	env.awaitResults(8)
	env.mu.Lock()
	defer env.mu.Unlock()
	assert.Assert(t, slices.Contains(env.moves, MovedFromDraining), "%v", env.moves)
	assert.Assert(t, !slices.Contains(env.moves, MovedFromSlow), "%v", env.moves)
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Assert(t, r.plan.Pace(incarnation.ID{Engine: "slow7"}) > 0)
}
