package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against listing the nodes of a zone that failed as a whole, which leaves no node to send death notices.
func TestLostZoneHasNoCandidatesOrOwners(t *testing.T) {
	local := startZone(t, "near", 2, nil)
	remote := startZone(t, "far", 3, nil, local[0].Self().Address)
	all := append(append([]*testNode{}, local...), remote...)
	eventually(t, "all have joined", allSeeAlive(all, len(all)))
	remote[0].AnnounceOwnedStreams([]Ownership{{Stream: "steps/t", Epoch: 7}})
	eventually(t, "the owner is known", allSatisfy(local, func(node *testNode) bool {
		_, _, known := node.Owner("steps/t")
		return known
	}))
	for _, node := range remote {
		node.stop()
	}
	eventually(t, "dead nodes are neither candidates nor owners", allSatisfy(local, func(node *testNode) bool {
		_, _, known := node.Owner("steps/t")
		return len(node.Candidates("")) == len(local) && len(node.Members()) == len(local) && !known
	}))
	for _, node := range local {
		reachable, known := node.Reachability()
		assert.Equal(t, reachable, len(local))
		assert.Equal(t, known, len(all)) // unreachable nodes still count as known
	}
}

func TestZoneRejoinsAfterPartition(t *testing.T) {
	local := startZone(t, "near", 2, nil)
	remote := startZone(t, "far", 2, nil, local[0].Self().Address)
	all := append(append([]*testNode{}, local...), remote...)
	eventually(t, "all have joined", allSeeAlive(all, len(all)))
	blockCalls := func(from, to []*testNode) {
		var addresses []string
		for _, node := range to {
			addresses = append(addresses, node.Self().Address)
		}
		for _, node := range from {
			node.faults.block(addresses...)
		}
	}
	blockCalls(local, remote)
	blockCalls(remote, local)
	seesOnlyItself := func(nodes []*testNode) func() bool {
		return allSatisfy(nodes, func(node *testNode) bool { return len(node.Candidates("")) == len(nodes) })
	}
	eventually(t, "each zone sees only itself", func() bool { return seesOnlyItself(local)() && seesOnlyItself(remote)() })
	blockCalls(local, nil)
	blockCalls(remote, nil)
	eventually(t, "all nodes see each other", allSeeAlive(all, len(all)))
}

// Guards against detecting a partition too late to reject new work. Remote pulls are disabled, so that only the zone
// check can detect it.
func TestStaleLogContactTriggersZoneCheck(t *testing.T) {
	// With this interval a zone counts as reachable for 45 s after its last contact.
	const interval = 1500 * time.Millisecond
	node := startNode(t, testSettings{id: "near-n0", zone: "near", interval: interval})
	var rest []*testNode
	for _, zone := range []string{"b", "c", "d"} {
		rest = append(rest, startNode(t, testSettings{
			id: zone + "-n0", zone: zone, interval: interval, seeds: []string{node.Self().Address},
		}))
	}
	all := append([]*testNode{node}, rest...)
	eventually(t, "all have joined", allSeeAlive(all, len(all)))
	var addresses []string
	for _, other := range rest {
		addresses = append(addresses, other.Self().Address)
		other.faults.block(node.Self().Address)
	}
	node.faults.block(addresses...)
	node.mu.Lock()
	node.schedule.remote = time.Now().Add(2 * testTimeout)
	node.mu.Unlock()
	node.AnnounceLogContact(time.Now())
	eventually(t, "the node sees only itself as reachable", func() bool {
		reachable, known := node.Reachability()
		return reachable == 1 && known == len(all)
	})
}
