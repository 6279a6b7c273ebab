package jobrelay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// homesRecorder records the homes of each query.
type homesRecorder struct {
	fakeJobs
	within []homes.Set
}

func (h *homesRecorder) Results(
	ctx context.Context, jobID string, from int, wait time.Duration,
) (batchjobs.Results, error) {
	h.within = append(h.within, homes.FromContext(ctx))
	return h.fakeJobs.Results(ctx, jobID, from, wait)
}

func (h *homesRecorder) Body(ctx context.Context, jobID, itemID string) ([]byte, error) {
	h.within = append(h.within, homes.FromContext(ctx))
	return h.fakeJobs.Body(ctx, jobID, itemID)
}

// Guards against sending a bound query to a nearer replica outside the home regions.
func TestBoundQueriesGoOnlyToReplicasInHomes(t *testing.T) {
	north := homes.Of([]string{"north"})
	own := &homesRecorder{fakeJobs: fakeJobs{name: "own"}}
	outside, atHome := &homesRecorder{fakeJobs: fakeJobs{name: "outside"}},
		&homesRecorder{fakeJobs: fakeJobs{name: "home"}}
	addressOf := map[string]string{"south": startServer(t, outside, always), "north": startServer(t, atHome, always)}
	directoryRead := make(chan struct{})
	close(directoryRead)
	relay := NewRelay(own, func(within homes.Set) []string {
		var addresses []string
		for _, region := range []string{"south", "north"} {
			if within.Allows(region) {
				addresses = append(addresses, addressOf[region])
			}
		}
		return addresses
	}, directoryRead, &http.Client{}, zerolog.Nop())

	bound := homes.NewContext(t.Context(), north)
	body, err := relay.Body(bound, "job", "item")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "home")
	results, err := relay.Results(bound, "job", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(results.Results[0].Text), "home")
	assert.Equal(t, len(atHome.within), 2)
	for _, within := range atHome.within {
		assert.Equal(t, within, north, "the replica's own reads of the log are bound to the homes as well")
	}

	// Without a replica in the home regions, the node answers locally.
	boundElsewhere := homes.NewContext(t.Context(), homes.Of([]string{"west"}))
	body, err = relay.Body(boundElsewhere, "job", "item")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "own")
	assert.Equal(t, outside.queries.Load(), int64(0))

	body, err = relay.Body(t.Context(), "job", "item")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "outside", "the preferred replica of an unbound query")
}
