package routing

import (
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
)

// NewestVersion returns the newest version of the model that an engine in
// service holds by the digests; 0 when none holds the model.
func NewestVersion(model string, digests []message.CellDigest) uint64 {
	newest := uint64(0)
	for index := range digests {
		for _, count := range digests[index].Models {
			if count.Model == model && count.Engines > 0 {
				newest = max(newest, count.Version)
			}
		}
	}
	return newest
}

// WantedVersion returns the version that the row asks for: the pinned one, or
// the newest that the digests tell of (0 when they tell of none).
func WantedVersion(row policy.Row, digests []message.CellDigest) uint64 {
	if row.Version != policy.VersionLatest {
		return row.Version
	}
	return NewestVersion(row.Model, digests)
}

// MinVersion returns the lowest version that may run a request of a live row:
// the one in force in the row's pool less the row's staleness. It returns 0,
// which accepts any, when the row sets no bound or no version is known.
func MinVersion(row policy.Row, digests []message.CellDigest) uint64 {
	if row.Staleness < 0 {
		return 0
	}
	inForce := VersionInForce(row, digests)
	staleness := uint64(row.Staleness)
	if staleness >= inForce {
		return 0
	}
	return inForce - staleness
}

// VersionInForce returns the newest version, up to the wanted one, that enough
// of the pool's engines hold or have passed: the row's floor, and at least one.
// While weights change, the first engines at a new version would else get all
// requests of a row without slack, and the others none. When no version has
// enough engines, as most of them load or failed, it is the oldest one held; 0
// when the digests tell of none.
func VersionInForce(row policy.Row, digests []message.CellDigest) uint64 {
	held := newHeldVersions(row, digests)
	enough := max(1, (held.engines*row.Floor+wholePercent-1)/wholePercent)
	wanted := WantedVersion(row, digests)
	inForce, oldest := uint64(0), uint64(0)
	for version := range held.enginesAt {
		if oldest == 0 || version < oldest {
			oldest = version
		}
		candidate := min(version, wanted)
		if candidate > inForce && held.atLeast(candidate) >= enough {
			inForce = candidate
		}
	}
	if inForce == 0 {
		return min(oldest, wanted)
	}
	return inForce
}

const wholePercent = 100

// heldVersions counts the engines that may run a row.
type heldVersions struct {
	// engines counts those in service, with or without the model.
	engines   int
	enginesAt map[uint64]int
}

func newHeldVersions(row policy.Row, digests []message.CellDigest) heldVersions {
	held := heldVersions{enginesAt: make(map[uint64]int)}
	for index := range digests {
		digest := &digests[index]
		if digest.Cell.Pool != row.Pool || !allowsZone(row.Zones, digest.Cell.Zone) {
			continue
		}
		held.engines += digest.Engines
		for _, count := range digest.Models {
			if count.Model == row.Model && count.Engines > 0 {
				held.enginesAt[count.Version] += count.Engines
			}
		}
	}
	return held
}

func (h *heldVersions) atLeast(version uint64) int {
	engines := 0
	for at, count := range h.enginesAt {
		if at >= version {
			engines += count
		}
	}
	return engines
}
