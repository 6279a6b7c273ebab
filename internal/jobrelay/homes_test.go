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

// boundJobs records the homes of each query that it answers.
type boundJobs struct {
	fakeJobs
	within []homes.Set
}

func (b *boundJobs) Results(
	ctx context.Context, jobID string, from int, wait time.Duration,
) (batchjobs.Results, error) {
	b.within = append(b.within, homes.FromContext(ctx))
	return b.fakeJobs.Results(ctx, jobID, from, wait)
}

func (b *boundJobs) Body(ctx context.Context, jobID, itemID string) ([]byte, error) {
	b.within = append(b.within, homes.FromContext(ctx))
	return b.fakeJobs.Body(ctx, jobID, itemID)
}

// TestBoundQuestionsAreAskedOnlyOfReplicasAtHome: the nearest replica is outside the homes.
func TestBoundQuestionsAreAskedOnlyOfReplicasAtHome(t *testing.T) {
	north := homes.Of([]string{"north"})
	own := &boundJobs{fakeJobs: fakeJobs{name: "own"}}
	outside, atHome := &boundJobs{fakeJobs: fakeJobs{name: "outside"}}, &boundJobs{fakeJobs: fakeJobs{name: "home"}}
	places := map[string]string{"south": serving(t, outside, always), "north": serving(t, atHome, always)}
	known := make(chan struct{})
	close(known)
	relay := NewRelay(own, func(within homes.Set) []string {
		var addresses []string
		for _, region := range []string{"south", "north"} {
			if within.Allows(region) {
				addresses = append(addresses, places[region])
			}
		}
		return addresses
	}, known, &http.Client{}, zerolog.Nop())

	bound := homes.NewContext(t.Context(), north)
	body, err := relay.Body(bound, "job", "item")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "home")
	results, err := relay.Results(bound, "job", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(results.Results[0].Text), "home")
	assert.Equal(t, len(atHome.within), 2)
	for _, within := range atHome.within {
		assert.Equal(t, within, north, "the replica's own reads of the log are bound as well")
	}

	// Without a replica at home the node reads the log itself.
	nowhere := homes.NewContext(t.Context(), homes.Of([]string{"west"}))
	body, err = relay.Body(nowhere, "job", "item")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "own")
	assert.Equal(t, outside.asked.Load(), int64(0))

	body, err = relay.Body(t.Context(), "job", "item")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "outside", "the first choice where nothing binds")
}
