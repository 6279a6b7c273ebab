package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against lost death notices. Pulls are disabled, so that only a notice can remove the node in the other zone.
func TestDeathNoticeReachesOtherZones(t *testing.T) {
	local := startZone(t, "near", 3, nil)
	remote := startZone(t, "far", 3, nil, local[0].Self().Address)
	all := append(append([]*testNode{}, local...), remote...)
	eventually(t, "all have joined", allSeeAlive(all, len(all)))
	for _, node := range local {
		node.mu.Lock()
		node.schedule.remote = time.Now().Add(2 * testTimeout)
		node.mu.Unlock()
	}
	dead := remote[2].Self().ID
	remote[2].stop()
	eventually(t, "the other zone drops the dead node", allSatisfy(local, func(node *testNode) bool {
		return node.stateOf(dead) == StateDead
	}))
}

func TestDeathNoticesForOwnOrUnknownZoneAreIgnored(t *testing.T) {
	nodes := startZone(t, "near", 2, nil)
	eventually(t, "both have joined", allSeeAlive(nodes, 2))
	node, other := nodes[0], nodes[1].Self()
	node.mu.Lock()
	notices := []deathNotice{{Zone: "near", Key: keyOf(other.ID, other.Writer)}, {Zone: "unknown", Key: 1}}
	accepted := node.applyDeaths(notices, time.Now())
	node.mu.Unlock()
	assert.Equal(t, len(accepted), 0)
	assert.Equal(t, node.stateOf(other.ID), StateAlive)
}
