package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

// poolDigest returns a cell of ten engines with the given number at each version.
func poolDigest(zone, pool string, atVersion map[uint64]int) message.CellDigest {
	digest := message.CellDigest{Cell: message.CellID{Zone: zone, Pool: pool}, Engines: 10}
	for version, engines := range atVersion {
		model := engine.ModelVersion{Model: "model", Version: version}
		digest.Models = append(digest.Models, message.ModelCount{ModelVersion: model, Engines: engines})
	}
	return digest
}

// Guards against all requests of a live row going to the first engines that were
// updated, before the row's floor has reached the new version.
func TestMinVersionDuringRollout(t *testing.T) {
	tests := []struct {
		name      string
		pinned    uint64
		staleness int
		floor     int
		atVersion map[uint64]int
		want      uint64
	}{
		{"one engine updated", policy.VersionLatest, 0, 50, map[uint64]int{7: 9, 8: 1}, 7},
		{"just below the floor", policy.VersionLatest, 0, 50, map[uint64]int{7: 6, 8: 4}, 7},
		{"at the floor", policy.VersionLatest, 0, 50, map[uint64]int{7: 5, 8: 5}, 8},
		{"the floor is rounded up", policy.VersionLatest, 0, 45, map[uint64]int{7: 6, 8: 4}, 7},
		{"loading engines count toward the pool size", policy.VersionLatest, 0, 50, map[uint64]int{7: 3, 8: 4}, 7},
		{"most engines loading", policy.VersionLatest, 0, 50, map[uint64]int{7: 1, 8: 3}, 7},
		{"no floor", policy.VersionLatest, 0, 0, map[uint64]int{7: 9, 8: 1}, 8},
		{"floor of the whole pool", policy.VersionLatest, 0, 100, map[uint64]int{7: 1, 8: 9}, 7},
		{"two rollouts at once", policy.VersionLatest, 0, 50, map[uint64]int{6: 4, 7: 3, 8: 3}, 7},
		{"staleness of one", policy.VersionLatest, 1, 50, map[uint64]int{7: 6, 8: 4}, 6},
		{"pinned, below the floor", 8, 0, 50, map[uint64]int{7: 9, 8: 1}, 7},
		{"pinned, at the floor", 8, 0, 50, map[uint64]int{7: 5, 8: 5}, 8},
		{"pinned to a lower version", 7, 0, 50, map[uint64]int{7: 2, 8: 8}, 7},
		{"no staleness bound", policy.VersionLatest, -1, 50, map[uint64]int{7: 5, 8: 5}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			digests := []message.CellDigest{
				poolDigest("a", "pool", test.atVersion),
				poolDigest("a", "other", map[uint64]int{9: 10}),
				poolDigest("far", "pool", map[uint64]int{9: 10}),
			}
			row := policy.Row{
				Pool: "pool", Model: "model", Zones: []string{"a"},
				Version: test.pinned, Staleness: test.staleness, Floor: test.floor,
			}
			assert.Equal(t, MinVersion(row, digests), test.want)
		})
	}
}
