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
	c := newTestCluster(t, row(policy.VersionLatest, 50))
	c.setMembers("", "n1")
	c.publish(t, 2)
	c.startNode(t, "n1")
	c.waitVersion(t, 2)
	c.publish(t, 3)
	c.waitVersion(t, 3)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, directive := range c.received {
		assert.Assert(t, directive.Epoch > 0)
		assert.Assert(t, directive.Concurrent <= 1, "the floor of 2 of 3 engines allows one load: %+v", directive)
	}
}

func TestEnginesWithoutModelLoadRegardlessOfFloor(t *testing.T) {
	c := newTestCluster(t, row(2, 100))
	c.engines = []uint64{0, 0}
	c.setMembers("", "n1")
	c.startNode(t, "n1")
	c.waitVersion(t, 2)
}

func TestPinnedVersionOverridesStoreAndRollsBack(t *testing.T) {
	c := newTestCluster(t, row(5, 0))
	c.setMembers("", "n1")
	c.startNode(t, "n1")
	c.waitVersion(t, 5)
	c.setRows(row(4, 0))
	c.waitVersion(t, 4)
}

// A rollback must rely on the counts in directive results: the digest lags, so it
// may miss engines above the pinned version or still list them.
func TestRollbackUsesCountsOfDirectiveResults(t *testing.T) {
	c := newTestCluster(t, row(4, 0))
	c.engines = []uint64{4, 4, 4}
	c.freezeDigest()
	c.mu.Lock()
	c.engines = []uint64{5, 5, 4}
	c.mu.Unlock()
	c.setMembers("", "n1")
	c.startNode(t, "n1")
	c.waitVersion(t, 4)

	c.mu.Lock()
	c.engines = []uint64{5, 5, 5}
	c.frozenDigest = nil
	c.mu.Unlock()
	c.freezeDigest()
	c.waitVersion(t, 4)
	for _, directive := range c.nextDirectives(t, 3) {
		assert.Equal(t, directive.Concurrent, 0, "all engines hold the version: %+v", directive)
	}
}

func TestOwnerContinuesWhileLogAndStoreAreUnavailable(t *testing.T) {
	c := newTestCluster(t, row(2, 0))
	c.setMembers("", "n1")
	coordinator := c.startNode(t, "n1")
	c.waitVersion(t, 2)
	c.logServer.CloseClientConnections()
	c.logServer.Close()
	down := true
	c.store.Control(standinstore.Control{Down: &down})
	c.setRows(row(3, 0))
	c.waitVersion(t, 3)
	assert.Equal(t, len(coordinator.Owned()), 1)
}

func TestOwnerAfterDrainHasHigherEpoch(t *testing.T) {
	c := newTestCluster(t, row(2, 0))
	c.setMembers("", "n1")
	first := c.startNode(t, "n1")
	waitOwned(t, first, 1)
	before := first.Owned()[0].Epoch
	c.setMembers("n1", "n2")
	assert.NilError(t, first.Drain(t.Context()))
	assert.Equal(t, len(first.Owned()), 0)
	second := c.startNode(t, "n2")
	waitOwned(t, second, 1)
	assert.Assert(t, second.Owned()[0].Epoch > before)
}

// Releases must time out concurrently, not one model after the other.
func TestDrainReleasesModelsConcurrentlyWhileLogIsUnavailable(t *testing.T) {
	var rows []policy.Row
	for number := range 12 {
		rows = append(rows, policy.Row{Service: fmt.Sprint("s", number), Pool: "p", Model: fmt.Sprint("m", number), Version: 2})
	}
	c := newTestCluster(t, rows...)
	c.setMembers("", "n1")
	coordinator := c.startNode(t, "n1")
	waitOwned(t, coordinator, len(rows))
	c.logServer.CloseClientConnections()
	c.logServer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*releaseTimeout)
	defer cancel()
	assert.NilError(t, coordinator.Drain(ctx))
	assert.Equal(t, len(coordinator.Owned()), 0)
}

func TestReplacedOwnerDetectsLossFromLog(t *testing.T) {
	c := newTestCluster(t, row(2, 0))
	c.setMembers("", "n1")
	first := c.startNode(t, "n1")
	waitOwned(t, first, 1)
	// n1 is removed from the membership but keeps running.
	c.setMembers("n1", "n2")
	second := c.startNode(t, "n2")
	waitOwned(t, second, 1)
	waitOwned(t, first, 0)
}

func TestStreamOfLiveOwnerIsNotClaimed(t *testing.T) {
	c := newTestCluster(t, row(2, 0))
	c.setMembers("other", "n1", "other")
	var selector ownerSelector
	options := Options{NodeID: selector.owner(c.Candidates(""), "orders/m"), View: c}
	stream := newOwnership(options, &selector, "m", zerolog.Nop())
	if stream.options.NodeID == "other" {
		c.setMembers("n1", "n1", "other")
	}
	assert.Assert(t, !stream.shouldClaim())
	c.setMembers("gone", "n1", "other")
	assert.Assert(t, stream.shouldClaim())
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
