// Package replicaset decides which nodes of a large cluster follow the log's compacted
// topics themselves, the replicas, and which of them each other node asks instead. It
// has no input, output or clock.
//
// A change of a compacted topic is read by every node that follows it: with hundreds of
// nodes, one large configuration takes all that the log serves for seconds, and what
// somebody waits for with it. So in each zone a few nodes read it, and pass it on.
package replicaset

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/topology"
)

const (
	// MinNodes is the number of nodes from which there are replicas. Below it, a change
	// of half a megabyte takes the log about half a second.
	MinNodes = 100
	// readersPerReplica is the number of nodes of a zone for each replica: a replica with
	// a link of 600 Mbit/s hands half a megabyte to them in about 0.1 s.
	readersPerReplica = 16
	// maxReplicas bounds the replicas of a zone: each reads the whole engine list from the log, 7 MB for 10,000
	// engines that start together. Of 62 such readers a log that gives 85 MB a second was busy for 5 s, reads of
	// the lease timed out behind theirs, and theirs began anew; 18 of them take it 1.5 s, however many nodes
	// there are. A replica with a link of 600 Mbit/s hands half a megabyte to 55 readers in 0.4 s.
	maxReplicas = 3
	// zoneSources is how many replicas of its zone a node asks, and otherSources how many
	// of other zones after these, those of its region first: those of one zone may fail together.
	zoneSources  = 2
	otherSources = 2
)

// Member is a node of the cluster.
type Member struct {
	Node string
	Zone string
	// Region is empty where it is not known.
	Region  string
	Address string
	// Processors is its share of processors; zero when unknown, which counts as one.
	Processors float64
}

func (m Member) capacity() float64 {
	if m.Processors <= 0 {
		return 1
	}
	return m.Processors
}

// Replicas returns the replicas of a zone: of its most able nodes as many as its size
// asks for. Nodes that see the same members choose the same ones, and one node more or
// less changes at most one of them.
func Replicas(members []Member, zone string) []Member {
	if len(members) < MinNodes {
		return nil
	}
	var able []Member
	size, best := 0, 0.0
	for _, member := range members {
		if member.Zone != zone {
			continue
		}
		size++
		switch {
		case member.capacity() > best:
			best, able = member.capacity(), []Member{member}
		case member.capacity() == best:
			able = append(able, member)
		}
	}
	slices.SortFunc(able, func(a, b Member) int { return compareHashes(a.Node, b.Node, "") })
	return able[:min(len(able), maxReplicas, (size+readersPerReplica-1)/readersPerReplica)]
}

// Sources returns the replicas within the regions that a node asks, the first choice first: those of
// its zone, of its region, of others. There are none when the node reads the log itself. A node outside of
// the regions does so only where no node is known there: a read brings records of other jobs along.
func Sources(members []Member, self Member, within homes.Set) []Member {
	if !within.Allows(self.Region) {
		return preferred(answering(members), self, otherSources, within)
	}
	near := Replicas(members, self.Zone)
	isSelf := func(member Member) bool { return member.Node == self.Node }
	if slices.ContainsFunc(near, isSelf) {
		return nil
	}
	far := make(map[topology.Distance][]Member)
	for _, zone := range otherZones(members, self.Zone) {
		for _, replica := range Replicas(members, zone) {
			distance := topology.Between(self.place(), replica.place())
			far[distance] = append(far[distance], replica)
		}
	}
	others := append(
		preferred(far[topology.SameRegion], self, otherSources, within),
		preferred(far[topology.OtherRegion], self, otherSources, within)...,
	)
	return append(preferred(near, self, zoneSources, within), others[:min(len(others), otherSources)]...)
}

// answering returns the nodes that answer for others: the replicas, or all nodes of a small cluster.
func answering(members []Member) []Member {
	if len(members) < MinNodes {
		return slices.Clone(members)
	}
	var replicas []Member
	for _, zone := range otherZones(members, "") {
		replicas = append(replicas, Replicas(members, zone)...)
	}
	return replicas
}

// Answers tells whether a node answers for others that lie outside of the regions.
func Answers(members []Member, self Member, within homes.Set) bool {
	return within.Bound() && within.Allows(self.Region) && len(members) < MinNodes
}

func (m Member) place() topology.Place { return topology.Place{Zone: m.Zone, Region: m.Region} }

// preferred returns the first few replicas within the regions, in the node's own order.
func preferred(replicas []Member, self Member, most int, within homes.Set) []Member {
	replicas = slices.DeleteFunc(replicas, func(replica Member) bool { return !within.Allows(replica.Region) })
	slices.SortFunc(replicas, func(a, b Member) int { return compareHashes(a.Node, b.Node, self.Node) })
	return replicas[:min(len(replicas), most)]
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

// compareHashes orders two nodes by the hash of their names and the seed, so that each
// seed orders them in a way of its own.
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
