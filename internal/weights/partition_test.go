package weights

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

// Two nodes that share the log but do not see each other as members must not
// keep claiming the stream from each other.
func TestPartitionedNodesDoNotAlternateClaims(t *testing.T) {
	left, right := newTestCluster(t, row(2, 0)), newTestCluster(t, row(2, 0))
	right.log = left.log
	left.setMembers("", "n1")
	right.setMembers("", "n2")
	first := left.startNode(t, "n1")
	waitOwned(t, first, 1)
	second := right.startNode(t, "n2")
	waitOwned(t, second, 1)
	waitOwned(t, first, 0)

	// Each node checks ownership every 10 ms: without a delay they would alternate.
	const observed = 2 * time.Second
	time.Sleep(observed)
	log := logservice.NewHTTP(left.log, http.DefaultClient)
	batch, err := log.Read(context.Background(), StreamName("m"), 0, 1000, 0)
	assert.NilError(t, err)
	assert.Assert(t, batch.End < 10, "%d records", batch.End)
}
