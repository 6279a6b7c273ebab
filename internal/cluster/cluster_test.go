package cluster

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

func TestZoneDetectsJoinDeathAndRestart(t *testing.T) {
	nodes := startZone(t, "a", 7, nil)
	eventually(t, "all have joined", allSeeAlive(nodes, 7))
	victim, rest := nodes[3], nodes[:3]
	address := victim.Self().Address
	victim.stop()
	eventually(t, "death is seen", allSatisfy(rest, func(n *testNode) bool { return n.stateOf("a-n3") == StateDead }))
	eventually(t, "reachability falls", allSatisfy(rest, func(n *testNode) bool {
		reachable, known := n.Reachability()
		return reachable == 6 && known == 7
	}))
	restarted := startNode(t, testSettings{
		id: "a-n3", zone: "a", writer: "w2-", address: address, seeds: []string{nodes[0].Self().Address},
	})
	nodes[3] = restarted
	eventually(t, "restart is seen", allSeeAlive(nodes, 7))
	eventually(t, "new process supersedes", allSatisfy(nodes, func(n *testNode) bool {
		for _, member := range n.Members() {
			if member.ID == "a-n3" {
				return member.Writer == "w2-a-n3"
			}
		}
		return false
	}))
}

func TestLeaveMarksNodeLeavingThenDead(t *testing.T) {
	nodes := startZone(t, "a", 5, nil)
	eventually(t, "all have joined", allSeeAlive(nodes, 5))
	leaver, rest := nodes[4], nodes[:4]
	leaver.AnnounceLeaving()
	assert.Equal(t, leaver.Self().State, StateLeaving)
	eventually(t, "leaving is seen", allSatisfy(rest, func(n *testNode) bool {
		return n.stateOf("a-n4") == StateLeaving && len(n.Candidates("a")) == 4
	}))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, leaver.Leave(ctx))
	for _, node := range rest {
		assert.Equal(t, node.stateOf("a-n4"), StateDead)
		reachable, known := node.Reachability()
		assert.Equal(t, reachable, 4)
		assert.Equal(t, known, 4)
	}
}

func TestPausedNodeIsDeclaredDeadAndRejoins(t *testing.T) {
	nodes := startZone(t, "a", 5, nil)
	eventually(t, "all have joined", allSeeAlive(nodes, 5))
	resume := nodes[2].faults.pause()
	rest := []*testNode{nodes[0], nodes[1], nodes[3], nodes[4]}
	eventually(t, "paused node is dead", allSatisfy(rest, func(n *testNode) bool { return n.stateOf("a-n2") == StateDead }))
	resume()
	eventually(t, "resumed node is alive", allSeeAlive(nodes, 5))
}

// Guards against separate memberships within a zone: nodes seeded only from another zone may at first know only
// some nodes of their own.
func TestNodesSeededFromOtherZoneFormOneZone(t *testing.T) {
	seed := startNode(t, testSettings{id: "s", zone: "s"})
	nodes := []*testNode{seed}
	for _, id := range []string{"n1", "n2", "n3", "n4", "n5", "n6"} {
		nodes = append(nodes, startNode(t, testSettings{id: id, zone: "a", seeds: []string{seed.Self().Address}}))
	}
	eventually(t, "all nodes see each other", allSeeAlive(nodes, 7))
}

func TestMembershipMergesAfterPartition(t *testing.T) {
	nodes := startZone(t, "a", 6, nil)
	eventually(t, "all have joined", allSeeAlive(nodes, 6))
	left, right := nodes[:2], nodes[2:]
	for _, node := range left {
		node.faults.block(addresses(right)...)
	}
	for _, node := range right {
		node.faults.block(addresses(left)...)
	}
	eventually(t, "left side sees only itself", allSeeAlive(left, 2))
	eventually(t, "right side sees only itself", allSeeAlive(right, 4))
	for _, node := range nodes {
		node.faults.block()
	}
	eventually(t, "all nodes see each other", allSeeAlive(nodes, 6))
}

func addresses(nodes []*testNode) []string {
	var all []string
	for _, node := range nodes {
		all = append(all, node.Self().Address)
	}
	return all
}

func TestAnnouncementsReachAllZones(t *testing.T) {
	local := startZone(t, "a", 3, nil)
	remote := startZone(t, "b", 3, nil, local[0].Self().Address)
	third := startZone(t, "c", 2, nil, remote[1].Self().Address)
	nodes := append(append(local, remote...), third...)
	eventually(t, "all zones are known", allSeeAlive(nodes, 8))
	eventually(t, "all nodes are reachable", allSatisfy(nodes, func(n *testNode) bool {
		reachable, known := n.Reachability()
		return reachable == 8 && known == 8
	}))

	local[1].AnnounceOwnedStreams([]Ownership{{Stream: "steps/t", Epoch: 5}})
	remote[0].AnnounceOwnedStreams([]Ownership{{Stream: "steps/t", Epoch: 9}})
	local[2].AnnounceTableRevision(42)
	contact := time.Now().Add(-time.Minute)
	third[0].AnnounceLogContact(contact)
	digest := message.CellDigest{
		Cell: message.CellID{Zone: "b", Pool: "p", Index: 1}, Sequence: 1, Engines: 16, Slots: 64, Running: 3,
	}
	remote[2].AnnounceCell(digest)
	eventually(t, "owner is known", allSatisfy(nodes, func(n *testNode) bool {
		owner, epoch, known := n.Owner("steps/t")
		return known && epoch == 9 && owner.ID == "b-n0"
	}))
	eventually(t, "revision is known", allSatisfy(nodes, func(n *testNode) bool {
		for _, member := range n.Members() {
			if member.ID == "a-n2" {
				return member.TableRevision == 42
			}
		}
		return false
	}))
	eventually(t, "log contact is known", allSatisfy(nodes, func(n *testNode) bool { return !n.LogContact().IsZero() }))
	for _, node := range nodes {
		assert.Assert(t, !node.LogContact().After(contact))
	}
	eventually(t, "cell is known", allSatisfy(nodes, func(n *testNode) bool {
		cells := n.Cells()
		return len(cells) == 1 && cells[0].Node == "b-n2" && cells[0].Running == 3 && cells[0].Cell == digest.Cell
	}))
}

func TestUnreachableZoneStaysKnown(t *testing.T) {
	local := startZone(t, "a", 2, nil)
	remote := startZone(t, "b", 2, nil, local[0].Self().Address)
	nodes := append(local, remote...)
	eventually(t, "both zones are known", allSeeAlive(nodes, 4))
	for _, node := range remote {
		node.stop()
	}
	eventually(t, "other zone is unreachable", allSatisfy(local, func(n *testNode) bool {
		reachable, known := n.Reachability()
		return reachable == 2 && known == 4
	}))
}

func newEngine(id, zone string, state machines.State) machines.Machine {
	return machines.Machine{ID: id, Role: machines.RoleEngine, Address: id + ":80", Zone: zone, Pool: "p", State: state}
}

func TestEngineListPollingAndOutage(t *testing.T) {
	source := &fakeMachines{}
	live := newEngine("e1", "a", machines.StateLive)
	source.set(false, live, newEngine("e2", "a", machines.StateLive), newEngine("e3", "b", machines.StateLive))
	nodes := startZone(t, "a", 5, source)
	eventually(t, "all have joined", allSeeAlive(nodes, 5))
	eventually(t, "list is known", allSatisfy(nodes, func(n *testNode) bool { return len(n.Engines("a")) == 2 }))
	assert.Equal(t, len(nodes[0].Engines("b")), 0)

	source.set(false, live, newEngine("e2", "a", machines.StateLeaving))
	eventually(t, "leaving state is known", allSatisfy(nodes, func(n *testNode) bool { return n.Engines("")[1].Leaving }))
	eventually(t, "two nodes read the list", func() bool {
		pollers := 0
		for _, node := range nodes {
			node.mu.Lock()
			if node.isPoller() {
				pollers++
			}
			node.mu.Unlock()
		}
		return pollers == pollersPerZone
	})

	source.set(true)
	source.mu.Lock()
	before := source.reads
	source.mu.Unlock()
	eventually(t, "list was requested during the outage", func() bool {
		source.mu.Lock()
		defer source.mu.Unlock()
		return source.reads > before+5
	})
	for _, node := range nodes {
		assert.Equal(t, len(node.Engines("a")), 2)
	}
	source.set(false, live)
	eventually(t, "list is read again", allSatisfy(nodes, func(n *testNode) bool { return len(n.Engines("a")) == 1 }))
}

func TestJoinFromMachineListWithoutSeeds(t *testing.T) {
	source := &fakeMachines{}
	first := startNode(t, testSettings{id: "n1", zone: "a", machines: source})
	source.set(false, machines.Machine{
		ID: "n1", Role: machines.RoleNode, Address: first.Self().Address, Zone: "a", State: machines.StateLive,
	})
	second := startNode(t, testSettings{id: "n2", zone: "a", machines: source})
	other := startNode(t, testSettings{id: "n3", zone: "b", machines: source})
	eventually(t, "all are known", allSeeAlive([]*testNode{first, second, other}, 3))
}
