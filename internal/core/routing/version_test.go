package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

// poolDigest is a cell of ten engines, so many of them at each version.
func poolDigest(zone, pool string, atVersion map[uint64]int) message.CellDigest {
	digest := message.CellDigest{Cell: message.CellID{Zone: zone, Pool: pool}, Engines: 10}
	for version, engines := range atVersion {
		held := engine.ModelVersion{Model: "model", Version: version}
		digest.Models = append(digest.Models, message.ModelCount{ModelVersion: held, Engines: engines})
	}
	return digest
}

// TestLiveRequestsDoNotHerdDuringARollout: the floor of the row decides when the
// requests of a live row move to a new version.
func TestLiveRequestsDoNotHerdDuringARollout(t *testing.T) {
	tests := []struct {
		name      string
		pinned    uint64
		staleness int
		floor     int
		atVersion map[uint64]int
		want      uint64
	}{
		{"first engine has it", policy.VersionLatest, 0, 50, map[uint64]int{7: 9, 8: 1}, 7},
		{"just below the floor", policy.VersionLatest, 0, 50, map[uint64]int{7: 6, 8: 4}, 7},
		{"at the floor", policy.VersionLatest, 0, 50, map[uint64]int{7: 5, 8: 5}, 8},
		{"the floor is rounded up", policy.VersionLatest, 0, 45, map[uint64]int{7: 6, 8: 4}, 7},
		{"engines that load count as the pool's", policy.VersionLatest, 0, 50, map[uint64]int{7: 3, 8: 4}, 7},
		{"most engines load", policy.VersionLatest, 0, 50, map[uint64]int{7: 1, 8: 3}, 7},
		{"no floor", policy.VersionLatest, 0, 0, map[uint64]int{7: 9, 8: 1}, 8},
		{"whole pool wanted", policy.VersionLatest, 0, 100, map[uint64]int{7: 1, 8: 9}, 7},
		{"two rollouts at once", policy.VersionLatest, 0, 50, map[uint64]int{6: 4, 7: 3, 8: 3}, 7},
		{"bound of one", policy.VersionLatest, 1, 50, map[uint64]int{7: 6, 8: 4}, 6},
		{"pinned, not yet there", 8, 0, 50, map[uint64]int{7: 9, 8: 1}, 7},
		{"pinned, there", 8, 0, 50, map[uint64]int{7: 5, 8: 5}, 8},
		{"pinned back to a lower one", 7, 0, 50, map[uint64]int{7: 2, 8: 8}, 7},
		{"no bound", policy.VersionLatest, -1, 50, map[uint64]int{7: 5, 8: 5}, 0},
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
