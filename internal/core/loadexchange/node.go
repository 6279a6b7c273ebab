package loadexchange

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Node is a live node of the cluster.
type Node struct {
	ID      string
	Zone    string
	Address string
}

// ExchangeNode returns the node that merges the load data of a zone, by rendezvous hashing; false if all nodes of the
// zone are skipped. Nodes with the same list choose the same one, and a node that leaves changes only the choice of
// those that had chosen it.
func ExchangeNode(nodes []Node, zone string, skipped func(node Node) bool) (Node, bool) {
	var chosen Node
	var highest uint64
	found := false
	for _, node := range nodes {
		if node.Zone != zone || skipped(node) {
			continue
		}
		weight := xxhash.Sum64String(zone + "/" + node.ID)
		if !found || weight > highest || weight == highest && strings.Compare(node.ID, chosen.ID) < 0 {
			chosen, highest, found = node, weight, true
		}
	}
	return chosen, found
}
