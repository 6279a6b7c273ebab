package hosted

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// TestTheNewestKnowledgeOfAJobsHomesHolds: that of the node that took it, or of the configuration here.
func TestTheNewestKnowledgeOfAJobsHomesHolds(t *testing.T) {
	north, south := homes.Of([]string{"north"}), homes.Of([]string{"south"})
	n := &node{state: newState(0)}
	job := &batch.JobRecord{Host: "h", Path: "/x/1", Homes: []string{"north"}, Config: 5}
	assert.Equal(t, n.jobHomes(job), north, "no configuration is known yet")
	put := func(version int64, prefix string, regions ...string) {
		n.state.setTable(routes.NewTable(routes.Definition{
			Version: version, Routes: []routes.Route{{Name: "r", Host: "h", Prefix: prefix, Kind: routes.Batch, Homes: regions}},
		}))
	}
	put(4, "/x/")
	assert.Equal(t, n.jobHomes(job), north, "the configuration here is older than the one it was taken by")
	put(5, "/x/", "north")
	assert.Equal(t, n.jobHomes(job), north)
	put(6, "/x/", "south")
	assert.Equal(t, n.jobHomes(job), south, "its homes have changed")
	put(7, "/y/", "south")
	assert.Equal(t, n.jobHomes(job), north, "its route is gone")
	put(8, "/x/")
	assert.Equal(t, n.jobHomes(job), homes.Set{})
}
