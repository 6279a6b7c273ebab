package soak

import (
	"slices"
	"time"
)

// plan is the configuration of one soak.
type plan struct {
	seed         uint64
	nodes        int
	length       time.Duration
	faults       []Fault
	bounds       Bounds
	enginesFence bool
	schedule     string
	leftOut      []Family
	// otherDaemon is the path of another build of the daemon; empty for none.
	otherDaemon string
}

// hasPlacementFaults reports whether the schedule is of placement faults.
func (p plan) hasPlacementFaults() bool { return p.schedule == PlacementFaults }

// hasContention reports whether the schedule is of contention.
func (p plan) hasContention() bool { return p.schedule == Contention }

// hasOverlap reports whether callers keep their connections, and items are bound to one version and partly long.
func (p plan) hasOverlap() bool {
	return p.schedule == OverlappingFaults || p.schedule == CrashStorms || p.schedule == ClientCrowds
}

// memoryMB is the memory that nodes are told to have, and checked for; 0 for none.
func (p plan) memoryMB() int {
	if p.schedule == ClientCrowds {
		return crowdMemoryMB
	}
	return 0
}

// includes reports whether a family of faults is included.
func (p plan) includes(family Family) bool { return !slices.Contains(p.leftOut, family) }

// lookupEngineCount is the number of engines that get no orders, one in each zone under placement faults.
func (p plan) lookupEngineCount() int {
	switch p.schedule {
	case PlacementFaults:
		return zones
	case Contention:
		return contentionLookupEngines
	default:
		return lookupEngines
	}
}

// draftEngineCount is the number of engines that get orders.
func (p plan) draftEngineCount() int {
	switch p.schedule {
	case LeaderFaults:
		return leaderFaultDraftEngines
	case PlacementFaults:
		return zones
	case Contention:
		return contentionDraftEngines
	default:
		return draftEngines
	}
}
