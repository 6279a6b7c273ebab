package replicaset

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// cluster returns nodes in two zones; every eighth node of a zone has four times the processors of the others.
func cluster(nodes int) []Member {
	members := make([]Member, nodes)
	for i := range members {
		members[i] = Member{Node: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%2), Address: fmt.Sprint("a", i), Processors: 0.2}
		if i%16 < 2 {
			members[i].Processors = 0.8
		}
	}
	return members
}

func TestSmallClustersHaveNoReplicas(t *testing.T) {
	members := cluster(MinNodes - 1)
	assert.Equal(t, len(Replicas(members, "z0")), 0)
	assert.Equal(t, len(Sources(members, members[5], homes.Set{})), 0)
}

func TestReplicasAreTheLargestNodesOfTheZone(t *testing.T) {
	replicas := Replicas(cluster(320), "z1")
	assert.Equal(t, len(replicas), maxReplicas)
	for _, replica := range replicas {
		assert.Equal(t, replica.Zone, "z1")
		assert.Equal(t, replica.Processors, 0.8)
	}
}

func TestReadersAreSpreadAcrossReplicas(t *testing.T) {
	members := cluster(320)
	readers := make(map[string]int)
	for _, member := range members {
		sources := Sources(members, member, homes.Set{})
		if len(sources) == 0 {
			assert.Assert(t, slices.Contains(Replicas(members, member.Zone), member))
			continue
		}
		assert.Equal(t, len(sources), maxZoneSources+maxOtherSources)
		for position, source := range sources {
			assert.Equal(t, source.Zone == member.Zone, position < maxZoneSources)
		}
		readers[sources[0].Node]++
	}
	assert.Equal(t, len(readers), 2*maxReplicas)
	evenShare := len(members) / len(readers)
	for node, count := range readers {
		assert.Assert(t, count <= 2*evenShare, "replica %s has %d readers", node, count)
	}
}

// Guards against a number of log readers that grows with the cluster.
func TestLogReadersDoNotGrowWithTheCluster(t *testing.T) {
	readersOf := func(nodes int) (readers int) {
		members := cluster(nodes)
		for _, member := range members {
			if len(Sources(members, member, homes.Set{})) == 0 {
				readers++
			}
		}
		return readers
	}
	assert.Equal(t, readersOf(500), 2*maxReplicas)
	assert.Equal(t, readersOf(1000), 2*maxReplicas)
}

// Guards against a selection that depends on the order of members, or changes more than one replica per node removed.
func TestRemovingANodeChangesAtMostOneReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := cluster(rapid.IntRange(MinNodes+1, 300).Draw(t, "nodes"))
		before := Replicas(members, "z0")
		removed := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		remaining := rapid.Permutation(slices.Delete(slices.Clone(members), removed, removed+1)).Draw(t, "order")
		after := Replicas(remaining, "z0")
		kept := 0
		for _, replica := range after {
			if slices.Contains(before, replica) {
				kept++
			}
		}
		assert.Assert(t, kept >= len(before)-1, "%d of %d replicas kept", kept, len(before))
	})
}

// Guards against a zone's only node that reads from replicas of other zones rather than the log.
func TestOnlyNodeOfAZoneIsItsReplica(t *testing.T) {
	members := cluster(200)
	assert.Equal(t, len(Replicas(members, "elsewhere")), 0)
	alone := Member{Node: "alone", Zone: "elsewhere"}
	assert.Equal(t, len(Sources(append(members, alone), alone, homes.Set{})), 0)
}

// regionalCluster returns nodes in two regions of two zones each.
func regionalCluster(nodes int) []Member {
	members := make([]Member, nodes)
	for i := range members {
		zone := i % 4
		members[i] = Member{
			Node: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/2),
		}
	}
	return members
}

func TestSourcesOfTheOwnRegionComeFirst(t *testing.T) {
	members := regionalCluster(320)
	for _, member := range members {
		sources := Sources(members, member, homes.Set{})
		for position, source := range sources {
			assert.Equal(t, source.Zone == member.Zone, position < maxZoneSources)
			assert.Equal(t, source.Region, member.Region)
		}
	}
}

func TestSourcesLieWithinTheRegions(t *testing.T) {
	members := regionalCluster(320)
	for _, member := range members {
		inside := Sources(members, member, homes.Of([]string{member.Region}))
		assert.Equal(t, len(inside), len(Sources(members, member, homes.Set{})))
		if len(inside) == 0 {
			continue // the member is a replica
		}
		other := "r0"
		if member.Region == other {
			other = "r1"
		}
		sources := Sources(members, member, homes.Of([]string{other}))
		assert.Equal(t, len(sources), maxOtherSources)
		for _, source := range sources {
			assert.Equal(t, source.Region, other)
		}
		assert.Equal(t, len(Sources(members, member, homes.Of([]string{"r2"}))), 0)
	}
}

// Guards against a node outside a job's regions that reads it from the log of a small cluster.
func TestNodesOutsideTheRegionsReadFromNodesInsideInASmallCluster(t *testing.T) {
	members := regionalCluster(MinNodes - 1)
	within := homes.Of([]string{"r0"})
	for _, member := range members {
		sources := Sources(members, member, within)
		assert.Equal(t, ServesNodesOutside(members, member, within), member.Region == "r0")
		assert.Assert(t, !ServesNodesOutside(members, member, homes.Set{}))
		if member.Region == "r0" {
			assert.Equal(t, len(sources), 0, "nodes inside the regions read the log")
			continue
		}
		assert.Equal(t, len(sources), maxOtherSources)
		for _, source := range sources {
			assert.Equal(t, source.Region, "r0")
		}
	}
	assert.Assert(t, !ServesNodesOutside(regionalCluster(MinNodes), members[0], within), "large clusters have replicas")
}

// Guards against a replica outside a job's regions that reads it from the log.
func TestReplicasOutsideTheRegionsReadFromReplicasInside(t *testing.T) {
	members := regionalCluster(320)
	for _, zone := range otherZones(members, "") {
		for _, replica := range Replicas(members, zone) {
			if replica.Region != "r0" {
				assert.Equal(t, len(Sources(members, replica, homes.Of([]string{"r0"}))), maxOtherSources)
			}
		}
	}
}
