package cluster_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/cluster"
)

// ownedRecorder records the last announced list.
type ownedRecorder struct {
	cluster.Announcer
	owned []cluster.Ownership
}

func (r *ownedRecorder) AnnounceOwned(owned []cluster.Ownership) { r.owned = owned }

func TestOwnershipAnnouncerMergesSources(t *testing.T) {
	recorder := &ownedRecorder{}
	joined := cluster.NewOwnershipAnnouncer(recorder)
	trainers, orders := joined.Source(), joined.Source()
	steps := cluster.Ownership{Stream: "steps/a", Epoch: 1}
	weights := cluster.Ownership{Stream: "orders/b", Epoch: 2}
	trainers.AnnounceOwned([]cluster.Ownership{steps})
	orders.AnnounceOwned([]cluster.Ownership{weights})
	assert.DeepEqual(t, recorder.owned, []cluster.Ownership{steps, weights})
	trainers.AnnounceOwned(nil)
	assert.DeepEqual(t, recorder.owned, []cluster.Ownership{weights})
}
