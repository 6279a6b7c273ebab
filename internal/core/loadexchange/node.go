package loadexchange

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
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
	candidates := slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return node.Zone != zone || skipped(node) })
	if len(candidates) == 0 {
		return Node{}, false
	}
	slices.SortFunc(candidates, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	ids := make([]string, len(candidates))
	for i, node := range candidates {
		ids[i] = node.ID
	}
	chosen := rendezvous.New(ids, xxhash.Sum64String).Lookup(zone)
	return candidates[slices.Index(ids, chosen)], true
}
