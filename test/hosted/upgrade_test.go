package hosted

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// announceOldBuild announces a node in the format of builds without home regions.
func (d *deployment) announceOldBuild(node string, ttl time.Duration) {
	d.t.Helper()
	raw, err := msgpack.Marshal(map[string]any{"n": node, "a": "127.0.0.1:9", "z": "n1", "l": int64(ttl)})
	assert.NilError(d.t, err)
	_, err = d.store.Log.Append(d.t.Context(), eventlog.Partition{Topic: directoryTopic}, [][]byte{raw})
	assert.NilError(d.t, err)
}

// Guards against an older build that runs a region-bound job outside its home regions.
func TestRegionBoundJobIsRejectedDuringUpgrade(t *testing.T) {
	t.Parallel()
	const announcementTTL = 4 * time.Second
	d := deployRegions(t, 0, 4)
	d.configure(withHomes(batchRoute("/batch/"), "north"), batchRoute("/free/"))
	d.announceOldBuild("old", announcementTTL)
	north := d.startInZone("north", "n1")
	got := north.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "a"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Assert(t, strings.Contains(got.body, "upgrade_in_progress"), got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, north.call(http.MethodPost, "/free/x", "job2", jobBody(1, "b")).status, http.StatusAccepted)

	testwait.Until(t, "the old node's announcement to expire", func() bool {
		return north.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "a")).status == http.StatusAccepted
	})
	assertAllCompleted(t, d.awaitResults(north.testNode, "job1", 1), []string{"a"}, 4)
	assert.DeepEqual(t, d.runRegions("a"), []string{"north"})
}
