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
// the wanted one less the row's staleness. It returns 0, which accepts any,
// when the row sets no bound or no version is known.
func MinVersion(row policy.Row, digests []message.CellDigest) uint64 {
	if row.Staleness < 0 {
		return 0
	}
	wanted := WantedVersion(row, digests)
	staleness := uint64(row.Staleness)
	if staleness >= wanted {
		return 0
	}
	return wanted - staleness
}
