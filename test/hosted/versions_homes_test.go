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

// announceUnversioned writes an announcement as builds wrote it that knew no home regions.
func (d *deployment) announceUnversioned(node string, lasts time.Duration) {
	d.t.Helper()
	raw, err := msgpack.Marshal(map[string]any{"n": node, "a": "127.0.0.1:9", "z": "n1", "l": int64(lasts)})
	assert.NilError(d.t, err)
	_, err = d.store.Log.Append(d.t.Context(), eventlog.Partition{Topic: directoryTopic}, [][]byte{raw})
	assert.NilError(d.t, err)
}

// Guards against a job that is bound to regions and that a node of an older build would run anywhere.
func TestABoundJobIsRefusedWhileANodeKnowsNoHomes(t *testing.T) {
	t.Parallel()
	const lasts = 4 * time.Second
	d := deployRegions(t, 0, 4)
	d.configure(bound(batchRoute("/batch/"), "north"), batchRoute("/free/"))
	d.announceUnversioned("old", lasts)
	north := d.startIn("north", "n1")
	got := north.call(http.MethodPost, "/batch/x", "job1", job(1, "a"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Assert(t, strings.Contains(got.body, "upgrade_in_progress"), got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, north.call(http.MethodPost, "/free/x", "job2", job(1, "b")).status, http.StatusAccepted)

	testwait.Until(t, "the old node is forgotten", func() bool {
		return north.call(http.MethodPost, "/batch/x", "job1", job(1, "a")).status == http.StatusAccepted
	})
	checkWhole(t, d.awaitResults(north.process, "job1", 1), []string{"a"}, 4)
	assert.DeepEqual(t, d.regionsOfRuns("a"), []string{"north"})
}
