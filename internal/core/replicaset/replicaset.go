// Package replicaset selects the nodes of a large cluster that follow the log's compacted
// topics directly, the replicas, and the replicas that each other node reads from. It
// performs no I/O and reads no clock.
//
// If every node of a large cluster followed the topics, one configuration change would
// saturate the log's read bandwidth and delay all other reads. A few nodes of each zone
// read from the log and serve the rest.
package replicaset

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/topology"
)

const (
	// MinNodes is the cluster size from which there are replicas.
	MinNodes = 100
	// nodesPerReplica is the number of nodes of a zone per replica.
	nodesPerReplica = 16
	// maxReplicas bounds the replicas of a zone, and with them the readers of the log, whatever the cluster size.
	maxReplicas = 3
	// maxZoneSources bounds the replicas of its own zone that a node reads from.
	maxZoneSources = 2
	// maxOtherSources bounds the replicas of other zones, which are read after those of its own zone, since the
	// replicas of one zone may fail together.
	maxOtherSources = 2
)

// Member is a node of the cluster.
type Member struct {
	Node string
	Zone string
	// Region is empty when unknown.
	Region  string
	Address string
	// Processors is the number of processors available to it; zero when unknown, which counts as one.
	Processors float64
}

func (m Member) capacity() float64 {
	if m.Processors <= 0 {
		return 1
	}
	return m.Processors
}

// Replicas returns the replicas of a zone, chosen among the nodes with the most processors.
// Nodes with the same member list choose the same replicas. Adding or removing one member
// changes at most one of them, unless it changes the zone's highest number of processors or
// the cluster size crosses MinNodes.
func Replicas(members []Member, zone string) []Member {
	if len(members) < MinNodes {
		return nil
	}
	var candidates []Member
	zoneNodes, maxCapacity := 0, 0.0
	for _, member := range members {
		if member.Zone != zone {
			continue
		}
		zoneNodes++
		switch {
		case member.capacity() > maxCapacity:
			maxCapacity, candidates = member.capacity(), []Member{member}
		case member.capacity() == maxCapacity:
			candidates = append(candidates, member)
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int { return compareHashes(a.Node, b.Node, "") })
	return candidates[:min(len(candidates), maxReplicas, (zoneNodes+nodesPerReplica-1)/nodesPerReplica)]
}

// Sources returns the replicas that a node reads from, in order of preference: those of its zone, of its
// region, of other regions. All of them are within the given regions. The result is empty if the node
// reads the log itself. A node outside the regions does so only if no node inside them is known, since a
// read also returns records of other jobs.
func Sources(members []Member, self Member, within homes.Set) []Member {
	if !within.Allows(self.Region) {
		return preferred(servingNodes(members), self, maxOtherSources, within)
	}
	sameZone := Replicas(members, self.Zone)
	isSelf := func(member Member) bool { return member.Node == self.Node }
	if slices.ContainsFunc(sameZone, isSelf) {
		return nil
	}
	byDistance := make(map[topology.Distance][]Member)
	for _, zone := range otherZones(members, self.Zone) {
		for _, replica := range Replicas(members, zone) {
			distance := topology.Between(self.place(), replica.place())
			byDistance[distance] = append(byDistance[distance], replica)
		}
	}
	others := append(
		preferred(byDistance[topology.SameRegion], self, maxOtherSources, within),
		preferred(byDistance[topology.OtherRegion], self, maxOtherSources, within)...,
	)
	return append(preferred(sameZone, self, maxZoneSources, within), others[:min(len(others), maxOtherSources)]...)
}

// servingNodes returns the nodes that serve reads of other nodes: the replicas, or all nodes of a small cluster.
func servingNodes(members []Member) []Member {
	if len(members) < MinNodes {
		return slices.Clone(members)
	}
	var replicas []Member
	for _, zone := range otherZones(members, "") {
		replicas = append(replicas, Replicas(members, zone)...)
	}
	return replicas
}

// ServesNodesOutside reports whether a node serves reads of nodes outside the regions although it is no replica:
// in a small cluster, all nodes inside the regions do.
func ServesNodesOutside(members []Member, self Member, within homes.Set) bool {
	return within.IsRestricted() && within.Allows(self.Region) && len(members) < MinNodes
}

func (m Member) place() topology.Place { return topology.Place{Zone: m.Zone, Region: m.Region} }

// preferred returns at most limit replicas within the regions, in an order that differs between nodes.
func preferred(replicas []Member, self Member, limit int, within homes.Set) []Member {
	replicas = slices.DeleteFunc(replicas, func(replica Member) bool { return !within.Allows(replica.Region) })
	slices.SortFunc(replicas, func(a, b Member) int { return compareHashes(a.Node, b.Node, self.Node) })
	return replicas[:min(len(replicas), limit)]
}

func otherZones(members []Member, own string) []string {
	var zones []string
	for _, member := range members {
		if member.Zone != own && !slices.Contains(zones, member.Zone) {
			zones = append(zones, member.Zone)
		}
	}
	return zones
}

// compareHashes compares two nodes by the hash of the seed and their name.
func compareHashes(a, b, seed string) int {
	hashA, hashB := xxhash.Sum64String(seed+"/"+a), xxhash.Sum64String(seed+"/"+b)
	switch {
	case hashA < hashB:
		return -1
	case hashA > hashB:
		return 1
	default:
		return strings.Compare(a, b)
	}
}
