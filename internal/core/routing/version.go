package routing

import (
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
)

// NewestVersion returns the newest version of the model on any engine in
// service according to the digests; 0 if no engine has the model.
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

// TargetVersion returns the row's pinned version or, for VersionLatest, the
// newest version in the digests (0 if there is none).
func TargetVersion(row policy.Row, digests []message.CellDigest) uint64 {
	if row.Version != policy.VersionLatest {
		return row.Version
	}
	return NewestVersion(row.Model, digests)
}

// MinVersion returns the lowest version that may run a request of a live row:
// the effective version minus the row's staleness bound. It returns 0, which
// accepts any version, if the row sets no bound or no version is known.
func MinVersion(row policy.Row, digests []message.CellDigest) uint64 {
	if row.Staleness < 0 {
		return 0
	}
	effective := EffectiveVersion(row, digests)
	staleness := uint64(row.Staleness)
	if staleness >= effective {
		return 0
	}
	return effective - staleness
}

// EffectiveVersion returns the newest version, up to the target, that the row's floor
// of the pool's engines (at least one) have reached, so that the first engines updated
// don't receive all requests of a row with zero staleness. If no version qualifies, it
// returns the oldest loaded version up to the target; 0 if none is loaded.
func EffectiveVersion(row policy.Row, digests []message.CellDigest) uint64 {
	counts := countEngineVersions(row, digests)
	quorum := max(1, (counts.engines*row.Floor+percentScale-1)/percentScale)
	target := TargetVersion(row, digests)
	effective, oldest := uint64(0), uint64(0)
	for version := range counts.byVersion {
		if oldest == 0 || version < oldest {
			oldest = version
		}
		candidate := min(version, target)
		if candidate > effective && counts.enginesAtLeast(candidate) >= quorum {
			effective = candidate
		}
	}
	if effective == 0 {
		return min(oldest, target)
	}
	return effective
}

const percentScale = 100

// engineVersions counts the engines that may run a row.
type engineVersions struct {
	// engines counts all engines in service, with or without the model.
	engines   int
	byVersion map[uint64]int
}

func countEngineVersions(row policy.Row, digests []message.CellDigest) engineVersions {
	counts := engineVersions{byVersion: make(map[uint64]int)}
	for index := range digests {
		digest := &digests[index]
		if digest.Cell.Pool != row.Pool || !allowsZone(row.Zones, digest.Cell.Zone) {
			continue
		}
		counts.engines += digest.Engines
		for _, count := range digest.Models {
			if count.Model == row.Model && count.Engines > 0 {
				counts.byVersion[count.Version] += count.Engines
			}
		}
	}
	return counts
}

func (e *engineVersions) enginesAtLeast(minimum uint64) int {
	engines := 0
	for version, count := range e.byVersion {
		if version >= minimum {
			engines += count
		}
	}
	return engines
}
