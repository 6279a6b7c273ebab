package weights

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
	standinstore "github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

func row(version uint64, floor int) policy.Row {
	return policy.Row{Service: "s", Pool: "p", Model: "m", Version: version, Floor: floor}
}

func (w *world) publish(t *testing.T, version uint64) {
	t.Helper()
	assert.NilError(t, w.store.Publish("m", weightstore.PublishRequest{Version: version}))
}

func TestOwnerBringsEnginesToTheLatestVersionInWaves(t *testing.T) {
	w := newWorld(t, row(policy.VersionLatest, 50))
	w.setMembers("", "n1")
	w.publish(t, 2)
	w.node(t, "n1")
	w.waitVersion(t, 2)
	w.publish(t, 3)
	w.waitVersion(t, 3)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, directive := range w.received {
		assert.Assert(t, directive.Epoch > 0)
		assert.Assert(t, directive.Concurrent <= 1, "the floor of 2 of 3 engines allows one load: %+v", directive)
	}
}

func TestEnginesWithoutTheModelLoadInSpiteOfTheFloor(t *testing.T) {
	w := newWorld(t, row(2, 100))
	w.engines = []uint64{0, 0}
	w.setMembers("", "n1")
	w.node(t, "n1")
	w.waitVersion(t, 2)
}

func TestPinnedVersionsWinOverTheStoreAndGoBack(t *testing.T) {
	w := newWorld(t, row(5, 0))
	w.setMembers("", "n1")
	w.node(t, "n1")
	w.waitVersion(t, 5)
	w.setRows(row(4, 0))
	w.waitVersion(t, 4)
}

// TestARollbackRestsOnTheCellsOwnCounts: the digest lags, so it can tell neither
// that engines are above the pinned version nor that they no longer are.
func TestARollbackRestsOnTheCellsOwnCounts(t *testing.T) {
	w := newWorld(t, row(4, 0))
	w.engines = []uint64{4, 4, 4}
	w.lag()
	w.mu.Lock()
	w.engines = []uint64{5, 5, 4}
	w.mu.Unlock()
	w.setMembers("", "n1")
	w.node(t, "n1")
	w.waitVersion(t, 4)

	w.mu.Lock()
	w.engines = []uint64{5, 5, 5}
	w.lagging = nil
	w.mu.Unlock()
	w.lag()
	w.waitVersion(t, 4)
	for _, directive := range w.nextDirectives(t, 3) {
		assert.Equal(t, directive.Concurrent, 0, "nothing is left to load: %+v", directive)
	}
}

func TestAnOwnerGoesOnWhileTheLogAndTheStoreAreDown(t *testing.T) {
	w := newWorld(t, row(2, 0))
	w.setMembers("", "n1")
	coordinator := w.node(t, "n1")
	w.waitVersion(t, 2)
	w.logServer.CloseClientConnections()
	w.logServer.Close()
	down := true
	w.store.Control(standinstore.Control{Down: &down})
	w.setRows(row(3, 0))
	w.waitVersion(t, 3)
	assert.Equal(t, len(coordinator.Owned()), 1)
}

func TestDrainHandsOverAndTheOldEpochIsFenced(t *testing.T) {
	w := newWorld(t, row(2, 0))
	w.setMembers("", "n1")
	first := w.node(t, "n1")
	waitOwned(t, first, 1)
	before := first.Owned()[0].Epoch
	w.setMembers("n1", "n2")
	assert.NilError(t, first.Drain(t.Context()))
	assert.Equal(t, len(first.Owned()), 0)
	second := w.node(t, "n2")
	waitOwned(t, second, 1)
	assert.Assert(t, second.Owned()[0].Epoch > before)
}

// TestDrainGivesUpAllModelsTogetherWhileTheLogIsDown: the wait for releases is
// bounded for the node, not for each model.
func TestDrainGivesUpAllModelsTogetherWhileTheLogIsDown(t *testing.T) {
	var rows []policy.Row
	for number := range 12 {
		rows = append(rows, policy.Row{Service: fmt.Sprint("s", number), Pool: "p", Model: fmt.Sprint("m", number), Version: 2})
	}
	w := newWorld(t, rows...)
	w.setMembers("", "n1")
	coordinator := w.node(t, "n1")
	waitOwned(t, coordinator, len(rows))
	w.logServer.CloseClientConnections()
	w.logServer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*releaseTimeout)
	defer cancel()
	assert.NilError(t, coordinator.Drain(ctx))
	assert.Equal(t, len(coordinator.Owned()), 0)
}

func TestAReplacedOwnerLearnsItFromTheLog(t *testing.T) {
	w := newWorld(t, row(2, 0))
	w.setMembers("", "n1")
	first := w.node(t, "n1")
	waitOwned(t, first, 1)
	// n1 is taken for dead, but lives on.
	w.setMembers("n1", "n2")
	second := w.node(t, "n2")
	waitOwned(t, second, 1)
	waitOwned(t, first, 0)
}

func TestALiveOwnerIsLeftAlone(t *testing.T) {
	w := newWorld(t, row(2, 0))
	w.setMembers("other", "n1", "other")
	var preferred preference
	options := Options{NodeID: preferred.owner(w.Candidates(""), "orders/m"), View: w}
	view := newOwnership(options, &preferred, "m", zerolog.Nop())
	if view.options.NodeID == "other" {
		w.setMembers("n1", "n1", "other")
	}
	assert.Assert(t, !view.shouldClaim())
	w.setMembers("gone", "n1", "other")
	assert.Assert(t, view.shouldClaim())
}

func TestTargetsTakeTheHighestVersion(t *testing.T) {
	table := &policy.Table{Rows: []policy.Row{row(4, 10), row(6, 50), row(5, 20)}}
	wanted := targets(table, zerolog.Nop())["m"]
	assert.Equal(t, wanted.version, uint64(6))
	floor, used := wanted.floor(message.CellID{Pool: "p", Zone: "z"})
	assert.Assert(t, used)
	assert.Equal(t, floor, 50)
	_, used = wanted.floor(message.CellID{Pool: "q"})
	assert.Assert(t, !used)
	table.Rows = append(table.Rows, row(policy.VersionLatest, 0))
	assert.Equal(t, targets(table, zerolog.Nop())["m"].version, policy.VersionLatest)
}
