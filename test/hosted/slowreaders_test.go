package hosted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/settings"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	// smallestMemoryMB is the memory of a small machine; a node may hold a sixth of it for slow clients.
	smallestMemoryMB = 112
	stalledReaders   = 1000
)

// metricValue returns the value of a metric at the node; zero for none.
func (n *testNode) metricValue(name string) float64 {
	response, err := http.Get(n.operatorURL + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			number, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return number
		}
	}
	return 0
}

// openStalledReader requests the results of a job and reads none of the response.
func (n *testNode) openStalledReader(t *testing.T, job string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(n.callerURL, "http://"))
	assert.NilError(t, err)
	assert.NilError(t, connection.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = fmt.Fprintf(connection, "GET /lots/%s HTTP/1.1\r\nHost: %s\r\n\r\n", job, host)
	assert.NilError(t, err)
	return connection
}

// The node keeps serving others and rejects readers beyond the memory limit with Retry-After.
func TestStalledReadersStayWithinMemoryShare(t *testing.T) {
	d := deploy(t)
	addDesk(d, "desk1")
	d.addEngine(standin.EngineOptions{
		ID: "e1", Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 4 },
		Data: func(string, int, int64) string { return strings.Repeat("x", 40<<10) },
	})
	d.configure(safeRoute("/lookup/"), batchRoute("/batch/"))
	node := d.startNode(settings.Node{ID: "n1", Zone: "z1", Region: "r1", MemoryMB: smallestMemoryMB}, d.address)
	ids := itemIDs(5)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	d.awaitResults(node, "job1", len(ids))
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var readers []net.Conn
	for range stalledReaders {
		readers = append(readers, node.openStalledReader(t, "job1"))
	}
	refusedMetric := `corkpulley_hosted_memory_refused_total{kind="results"}`
	testwait.Until(t, "most readers to be refused", func() bool { return node.metricValue(refusedMetric) > 0.9*stalledReaders })
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := node.metricValue(`corkpulley_hosted_held_bytes{kind="results"}`)
	assert.Assert(t, held > 0 && held <= smallestMemoryMB<<20/6, "%v bytes", held)
	t.Logf("heap in use: %d MB before, %d MB with %d stalled readers",
		before.HeapInuse>>20, after.HeapInuse>>20, stalledReaders)
	assert.Assert(t, after.HeapInuse < before.HeapInuse+smallestMemoryMB<<20)
	for number := range 20 {
		assert.Equal(t, node.call(http.MethodGet, "/lookup/x", fmt.Sprint("live", number), "").status, http.StatusOK)
	}
	var rejected callResult
	testwait.Until(t, "a reader to be refused for lack of memory", func() bool {
		// Memory may have been freed since the first readers were refused, so this adds more.
		readers = append(readers, node.openStalledReader(t, "job1"))
		rejected = node.call(http.MethodGet, "/lots/job1", "", "")
		return rejected.status == http.StatusServiceUnavailable
	})
	assert.Assert(t, rejected.header.Get("Retry-After") != "")
	for _, reader := range readers {
		_ = reader.Close()
	}
	testwait.Until(t, "results after the readers have closed", func() bool {
		return node.call(http.MethodGet, "/lots/job1", "", "").status == http.StatusOK
	})
}
