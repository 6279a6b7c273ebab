package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestALostZoneIsNoCandidate lets all nodes of a zone die at once. Nobody in
// the zone is left to tell that they are gone.
func TestALostZoneIsNoCandidate(t *testing.T) {
	near := startZone(t, "near", 2, nil)
	far := startZone(t, "far", 3, nil, near[0].Self().Address)
	all := append(append([]*testNode{}, near...), far...)
	eventually(t, "all have joined", allSee(all, len(all)))
	far[0].AnnounceOwned([]Ownership{{Stream: "steps/t", Epoch: 7}})
	eventually(t, "the owner is known", allHold(near, func(node *testNode) bool {
		_, _, known := node.Owner("steps/t")
		return known
	}))
	for _, node := range far {
		node.stop()
	}
	eventually(t, "the dead take no work and own nothing", allHold(near, func(node *testNode) bool {
		_, _, known := node.Owner("steps/t")
		return len(node.Candidates("")) == len(near) && len(node.Members()) == len(near) && !known
	}))
	for _, node := range near {
		reachable, known := node.Reachability()
		assert.Equal(t, reachable, len(near))
		assert.Equal(t, known, len(all)) // what can't be heard still counts
	}
}

// TestALostZoneComesBack cuts two zones from each other for a while.
func TestALostZoneComesBack(t *testing.T) {
	near := startZone(t, "near", 2, nil)
	far := startZone(t, "far", 2, nil, near[0].Self().Address)
	all := append(append([]*testNode{}, near...), far...)
	eventually(t, "all have joined", allSee(all, len(all)))
	cut := func(from, to []*testNode) {
		var addresses []string
		for _, node := range to {
			addresses = append(addresses, node.Self().Address)
		}
		for _, node := range from {
			node.gate.block(addresses...)
		}
	}
	cut(near, far)
	cut(far, near)
	alone := func(nodes []*testNode) func() bool {
		return allHold(nodes, func(node *testNode) bool { return len(node.Candidates("")) == len(nodes) })
	}
	eventually(t, "each side is alone", func() bool { return alone(near)() && alone(far)() })
	cut(near, nil)
	cut(far, nil)
	eventually(t, "all see all", allSee(all, len(all)))
}

// TestANodeThatLostTheLogAsksAllZones cuts a node off that does not come to ask
// the other zones by its turns.
func TestANodeThatLostTheLogAsksAllZones(t *testing.T) {
	// At this pace a zone that fell silent counts as heard for 45 s.
	const interval = 1500 * time.Millisecond
	node := startNode(t, testSettings{id: "near-n0", zone: "near", interval: interval})
	var rest []*testNode
	for _, zone := range []string{"b", "c", "d"} {
		rest = append(rest, startNode(t, testSettings{
			id: zone + "-n0", zone: zone, interval: interval, seeds: []string{node.Self().Address},
		}))
	}
	all := append([]*testNode{node}, rest...)
	eventually(t, "all have joined", allSee(all, len(all)))
	var addresses []string
	for _, other := range rest {
		addresses = append(addresses, other.Self().Address)
		other.gate.block(node.Self().Address)
	}
	node.gate.block(addresses...)
	node.mu.Lock()
	node.schedule.far = time.Now().Add(2 * testLimit)
	node.mu.Unlock()
	node.AnnounceLogContact(time.Now())
	eventually(t, "the node knows that it is alone", func() bool {
		reachable, known := node.Reachability()
		return reachable == 1 && known == len(all)
	})
}
