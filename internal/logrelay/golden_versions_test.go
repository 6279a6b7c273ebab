package logrelay

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// TestVersionsOfEarlierBuilds guards against an earlier build being taken for one with another protocol version.
func TestVersionsOfEarlierBuilds(t *testing.T) {
	versions := map[string]clusterversion.Version{
		"843b092": clusterversion.Unversioned, "0fdc9d0": clusterversion.Homes, "34585b3": clusterversion.Homes,
	}
	for _, commit := range goldenrecord.Commits(t, "member") {
		var announced member
		assert.NilError(t, msgpack.Unmarshal(goldenrecord.Read(t, commit, "member"), &announced))
		assert.Equal(t, announced.version(), versions[commit], commit)
	}
}
