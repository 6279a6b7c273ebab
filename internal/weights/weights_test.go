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

func (c *testCluster) publish(t *testing.T, version uint64) {
	t.Helper()
	assert.NilError(t, c.store.Publish("m", weightstore.PublishRequest{Version: version}))
}

func TestOwnerRollsOutLatestVersionInWaves(t *testing.T) {
	w := newTestCluster(t, row(policy.VersionLatest, 50))
	w.setMembers("", "n1")
	w.publish(t, 2)
	w.startNode(t, "n1")
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

func TestEnginesWithoutModelLoadRegardlessOfFloor(t *testing.T) {
	w := newTestCluster(t, row(2, 100))
	w.engines = []uint64{0, 0}
	w.setMembers("", "n1")
	w.startNode(t, "n1")
	w.waitVersion(t, 2)
}

func TestPinnedVersionOverridesStoreAndRollsBack(t *testing.T) {
	w := newTestCluster(t, row(5, 0))
	w.setMembers("", "n1")
	w.startNode(t, "n1")
	w.waitVersion(t, 5)
	w.setRows(row(4, 0))
	w.waitVersion(t, 4)
}

// A rollback must rely on the counts in directive results: the digest lags, so it
// may miss engines above the pinned version or still list them.
func TestRollbackUsesCountsOfDirectiveResults(t *testing.T) {
	w := newTestCluster(t, row(4, 0))
	w.engines = []uint64{4, 4, 4}
	w.freezeDigest()
	w.mu.Lock()
	w.engines = []uint64{5, 5, 4}
	w.mu.Unlock()
	w.setMembers("", "n1")
	w.startNode(t, "n1")
	w.waitVersion(t, 4)

	w.mu.Lock()
	w.engines = []uint64{5, 5, 5}
	w.frozenDigest = nil
	w.mu.Unlock()
	w.freezeDigest()
	w.waitVersion(t, 4)
	for _, directive := range w.nextDirectives(t, 3) {
		assert.Equal(t, directive.Concurrent, 0, "all engines hold the version: %+v", directive)
	}
}

func TestOwnerContinuesWhileLogAndStoreAreUnavailable(t *testing.T) {
	w := newTestCluster(t, row(2, 0))
	w.setMembers("", "n1")
	coordinator := w.startNode(t, "n1")
	w.waitVersion(t, 2)
	w.logServer.CloseClientConnections()
	w.logServer.Close()
	down := true
	w.store.Control(standinstore.Control{Down: &down})
	w.setRows(row(3, 0))
	w.waitVersion(t, 3)
	assert.Equal(t, len(coordinator.Owned()), 1)
}

func TestOwnerAfterDrainHasHigherEpoch(t *testing.T) {
	w := newTestCluster(t, row(2, 0))
	w.setMembers("", "n1")
	first := w.startNode(t, "n1")
	waitOwned(t, first, 1)
	before := first.Owned()[0].Epoch
	w.setMembers("n1", "n2")
	assert.NilError(t, first.Drain(t.Context()))
	assert.Equal(t, len(first.Owned()), 0)
	second := w.startNode(t, "n2")
	waitOwned(t, second, 1)
	assert.Assert(t, second.Owned()[0].Epoch > before)
}

// Releases must time out concurrently, not one model after the other.
func TestDrainReleasesModelsConcurrentlyWhileLogIsUnavailable(t *testing.T) {
	var rows []policy.Row
	for number := range 12 {
		rows = append(rows, policy.Row{Service: fmt.Sprint("s", number), Pool: "p", Model: fmt.Sprint("m", number), Version: 2})
	}
	w := newTestCluster(t, rows...)
	w.setMembers("", "n1")
	coordinator := w.startNode(t, "n1")
	waitOwned(t, coordinator, len(rows))
	w.logServer.CloseClientConnections()
	w.logServer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*releaseTimeout)
	defer cancel()
	assert.NilError(t, coordinator.Drain(ctx))
	assert.Equal(t, len(coordinator.Owned()), 0)
}

func TestReplacedOwnerDetectsLossFromLog(t *testing.T) {
	w := newTestCluster(t, row(2, 0))
	w.setMembers("", "n1")
	first := w.startNode(t, "n1")
	waitOwned(t, first, 1)
	// n1 is removed from the membership but keeps running.
	w.setMembers("n1", "n2")
	second := w.startNode(t, "n2")
	waitOwned(t, second, 1)
	waitOwned(t, first, 0)
}

func TestStreamOfLiveOwnerIsNotClaimed(t *testing.T) {
	w := newTestCluster(t, row(2, 0))
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

func TestTargetsUseHighestVersion(t *testing.T) {
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
