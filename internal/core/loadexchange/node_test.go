package loadexchange

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func testNodes(count int) []Node {
	var nodes []Node
	for number := range count {
		nodes = append(nodes, Node{ID: fmt.Sprintf("n%03d", number), Zone: fmt.Sprint("z", number%4)})
	}
	return nodes
}

func noneSkipped(Node) bool { return false }

// Guards against nodes of a zone that choose different exchange nodes: each would then know a part of the load.
func TestExchangeNodeDoesNotDependOnTheOrderOfNodes(t *testing.T) {
	nodes := testNodes(87)
	chosen, found := ExchangeNode(nodes, "z1", noneSkipped)
	assert.Assert(t, found)
	assert.Equal(t, chosen.Zone, "z1")
	for rotation := range nodes {
		rotated := append(append([]Node{}, nodes[rotation:]...), nodes[:rotation]...)
		again, _ := ExchangeNode(rotated, "z1", noneSkipped)
		assert.Equal(t, again, chosen)
	}
}

// Guards against a choice that moves although the chosen node is still there, and against one that ends with the
// chosen node.
func TestLossOfANodeChangesOnlyTheChoiceOfThatNode(t *testing.T) {
	nodes := testNodes(87)
	chosen, _ := ExchangeNode(nodes, "z2", noneSkipped)
	next, found := ExchangeNode(nodes, "z2", func(node Node) bool { return node.ID == chosen.ID })
	assert.Assert(t, found)
	assert.Assert(t, next.ID != chosen.ID)
	for _, lost := range nodes {
		if lost.ID == chosen.ID {
			continue
		}
		again, _ := ExchangeNode(nodes, "z2", func(node Node) bool { return node.ID == lost.ID })
		assert.Equal(t, again, chosen)
	}
	_, found = ExchangeNode(nodes, "z2", func(Node) bool { return true })
	assert.Assert(t, !found)
	_, found = ExchangeNode(nodes, "no such zone", noneSkipped)
	assert.Assert(t, !found)
}
