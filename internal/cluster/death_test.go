package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestADeathIsToldToOtherZones lets a node die while the other zone never
// pulls, so that it can learn of the death only by being told.
func TestADeathIsToldToOtherZones(t *testing.T) {
	near := startZone(t, "near", 3, nil)
	far := startZone(t, "far", 3, nil, near[0].Self().Address)
	all := append(append([]*testNode{}, near...), far...)
	eventually(t, "all have joined", allSee(all, len(all)))
	for _, node := range near {
		node.mu.Lock()
		node.schedule.far = time.Now().Add(2 * testLimit)
		node.mu.Unlock()
	}
	dead := far[2].Self().ID
	far[2].stop()
	eventually(t, "the other zone drops the dead node", allHold(near, func(node *testNode) bool {
		return node.stateOf(dead) == StateDead
	}))
}

func TestWhatOthersSayOfThisZoneDoesNotCount(t *testing.T) {
	nodes := startZone(t, "near", 2, nil)
	eventually(t, "both have joined", allSee(nodes, 2))
	node, other := nodes[0], nodes[1].Self()
	node.mu.Lock()
	told := []death{{Zone: "near", Key: keyOf(other.ID, other.Writer)}, {Zone: "unknown", Key: 1}}
	news := node.takeDeaths(told, time.Now())
	node.mu.Unlock()
	assert.Equal(t, len(news), 0)
	assert.Equal(t, node.stateOf(other.ID), StateAlive)
}
