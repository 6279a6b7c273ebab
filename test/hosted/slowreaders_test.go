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
	// smallestMemoryMB is the memory of a small machine, of which a node may hold a sixth for others.
	smallestMemoryMB = 112
	stoppedReaders   = 1000
)

// gauge returns a value of the node's metrics; zero where it has none of the name.
func (p *process) gauge(name string) float64 {
	response, err := http.Get(p.operators + "/metrics")
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

// askAndStop asks for the results of a job and reads nothing of them.
func (p *process) askAndStop(t *testing.T, job string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(p.callers, "http://"))
	assert.NilError(t, err)
	assert.NilError(t, connection.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = fmt.Fprintf(connection, "GET /lots/%s HTTP/1.1\r\nHost: %s\r\n\r\n", job, host)
	assert.NilError(t, err)
	return connection
}

// TestAThousandReadersThatStopTakeNoMoreThanTheirShare: the node goes on serving others, and tells readers of
// results when to come back.
func TestAThousandReadersThatStopTakeNoMoreThanTheirShare(t *testing.T) {
	d := deploy(t)
	desk(d, "desk1")
	d.addEngine(standin.EngineOptions{
		ID: "e1", Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 4 },
		Data: func(string, int, int64) string { return strings.Repeat("x", 40<<10) },
	})
	d.configure(safeRoute("/lookup/"), batchRoute("/batch/"))
	node := d.startAt(settings.Node{ID: "n1", Zone: "z1", Region: "r1", MemoryMB: smallestMemoryMB}, d.address)
	ids := itemIDs(5)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	d.awaitResults(node, "job1", len(ids))
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var readers []net.Conn
	for range stoppedReaders {
		readers = append(readers, node.askAndStop(t, "job1"))
	}
	refused := `corkpulley_hosted_memory_refused_total{kind="results"}`
	testwait.Until(t, "refusals of most readers", func() bool { return node.gauge(refused) > 0.9*stoppedReaders })
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := node.gauge(`corkpulley_hosted_held_bytes{kind="results"}`)
	assert.Assert(t, held > 0 && held <= smallestMemoryMB<<20/6, "%v bytes", held)
	t.Logf("heap in use: %d MB before, %d MB beside %d readers", before.HeapInuse>>20, after.HeapInuse>>20, stoppedReaders)
	assert.Assert(t, after.HeapInuse < before.HeapInuse+smallestMemoryMB<<20)
	for number := range 20 {
		assert.Equal(t, node.call(http.MethodGet, "/lookup/x", fmt.Sprint("live", number), "").status, http.StatusOK)
	}
	var denied answer
	testwait.Until(t, "a reader for whom there is no memory", func() bool {
		// Of a thousand that came at once some were refused for what others held while they were read to.
		readers = append(readers, node.askAndStop(t, "job1"))
		denied = node.call(http.MethodGet, "/lots/job1", "", "")
		return denied.status == http.StatusServiceUnavailable
	})
	assert.Assert(t, denied.header.Get("Retry-After") != "")
	for _, reader := range readers {
		_ = reader.Close()
	}
	testwait.Until(t, "results once the readers have gone", func() bool {
		return node.call(http.MethodGet, "/lots/job1", "", "").status == http.StatusOK
	})
}
