package hosted

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// The newer of two configurations must apply: that of the node that accepted the job, or that of this node.
func TestJobHomesUsesNewestConfiguration(t *testing.T) {
	north, south := homes.Of([]string{"north"}), homes.Of([]string{"south"})
	n := &node{state: newState(0)}
	job := &batch.JobRecord{Host: "h", Path: "/x/1", Homes: []string{"north"}, Config: 5}
	assert.Equal(t, n.jobHomes(job), north, "no configuration has been loaded")
	put := func(version int64, prefix string, regions ...string) {
		n.state.setTable(routes.NewTable(routes.Definition{
			Version: version, Routes: []routes.Route{{Name: "r", Host: "h", Prefix: prefix, Kind: routes.Batch, Homes: regions}},
		}))
	}
	put(4, "/x/")
	assert.Equal(t, n.jobHomes(job), north, "the configuration is older than the one that accepted the job")
	put(5, "/x/", "north")
	assert.Equal(t, n.jobHomes(job), north)
	put(6, "/x/", "south")
	assert.Equal(t, n.jobHomes(job), south, "the home regions have changed")
	put(7, "/y/", "south")
	assert.Equal(t, n.jobHomes(job), north, "the route has been removed")
	put(8, "/x/")
	assert.Equal(t, n.jobHomes(job), homes.Set{})
}
