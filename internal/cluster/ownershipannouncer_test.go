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

func (r *ownedRecorder) AnnounceOwnedStreams(owned []cluster.Ownership) { r.owned = owned }

func TestOwnershipAnnouncerMergesSources(t *testing.T) {
	recorder := &ownedRecorder{}
	announcer := cluster.NewOwnershipAnnouncer(recorder)
	first, second := announcer.Source(), announcer.Source()
	stepsOwned := cluster.Ownership{Stream: "steps/a", Epoch: 1}
	ordersOwned := cluster.Ownership{Stream: "orders/b", Epoch: 2}
	first.AnnounceOwnedStreams([]cluster.Ownership{stepsOwned})
	second.AnnounceOwnedStreams([]cluster.Ownership{ordersOwned})
	assert.DeepEqual(t, recorder.owned, []cluster.Ownership{stepsOwned, ordersOwned})
	first.AnnounceOwnedStreams(nil)
	assert.DeepEqual(t, recorder.owned, []cluster.Ownership{ordersOwned})
}
