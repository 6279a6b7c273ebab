package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// keptCaller is a client that sends all of its requests on one connection.
type keptCaller struct {
	connection net.Conn
	source     *bufio.Reader
}

func (n *testNode) openCaller(t *testing.T) *keptCaller {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(n.callerURL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return &keptCaller{connection: connection, source: bufio.NewReader(connection)}
}

// post sends a request and reads the whole response. An error means that there is no complete one.
func (c *keptCaller) post(path, id string, headers ...string) callResult {
	var extra strings.Builder
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&extra, "%s: %s\r\n", headers[i], headers[i+1])
	}
	if _, err := fmt.Fprintf(c.connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Corkpulley-Attempt-Id: %s\r\n%sContent-Length: 2\r\n\r\n{}",
		path, host, id, extra.String()); err != nil {
		return callResult{err: err}
	}
	response, err := http.ReadResponse(c.source, nil)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// stopBesideLongStream starts a node with a stream that outlasts its planned stop, an unsafe and a safe route whose engine
// needs plainTime. prepare runs before the stop begins. It returns the node and when the stop began.
func stopBesideLongStream(
	t *testing.T, plainTime time.Duration, prepare func(d *deployment, node *testNode),
) (d *deployment, node *testNode, began time.Time) {
	t.Helper()
	d = deploy(t)
	d.addEngine(standin.EngineOptions{
		ID: "e1", Service: "llm", Versions: map[string]int64{model: 1}, EventTime: 100 * time.Millisecond,
		Events: func(string) int { return 600 },
	})
	d.addEngine(standin.EngineOptions{ID: "d1", Service: "desk", Slots: 64, PlainTime: plainTime})
	unsafeRoute, safe := safeRoute("/unsafe/"), safeRoute("/safe/")
	unsafeRoute["routeKind"], unsafeRoute["timeoutMs"] = "unsafe", 20_000
	d.configure(liveModelRoute("/s/"), unsafeRoute, safe)
	node = d.start("n1")
	go node.openCaller(t).post("/s/x", "long")
	testwait.Until(t, "the stream to run", func() bool { return d.runCount("long") == 1 })
	if prepare != nil {
		prepare(d, node)
	}
	began = time.Now()
	node.cancel()
	return d, node, began
}

// Guards against requests that a node takes late in a planned stop, sends to an engine and then cuts.
func TestPlannedStopAnswersOrRefusesLateRequests(t *testing.T) {
	t.Parallel()
	const callers, interval = 30, 100 * time.Millisecond
	kept := make([]*keptCaller, callers)
	d, node, began := stopBesideLongStream(t, 300*time.Millisecond, func(_ *deployment, node *testNode) {
		for i := range kept {
			kept[i] = node.openCaller(t)
			assert.Equal(t, kept[i].post("/unsafe/x", fmt.Sprintf("before-%d", i)).status, http.StatusOK)
		}
	})
	results := make([]callResult, callers)
	var sent sync.WaitGroup
	for i, caller := range kept {
		sent.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
			results[i] = caller.post("/unsafe/x", fmt.Sprintf("late-%d", i))
		})
	}
	sent.Wait()
	<-node.done
	answered := 0
	for i, got := range results {
		ran := d.runCount(fmt.Sprintf("late-%d", i)) > 0
		if ran {
			assert.Check(t, got.err == nil && got.status != http.StatusServiceUnavailable, "late-%d ran and got %+v", i, got)
		}
		if got.err == nil && got.status == http.StatusOK {
			answered++
		}
	}
	assert.Check(t, answered >= 10, "%d requests were answered", answered)
}

// Guards against kept connections that stay open in a planned stop until they are cut.
func TestPlannedStopClosesIdleConnections(t *testing.T) {
	t.Parallel()
	var kept *keptCaller
	_, node, began := stopBesideLongStream(t, 0, func(_ *deployment, node *testNode) {
		kept = node.openCaller(t)
		assert.Equal(t, kept.post("/unsafe/x", "before").status, http.StatusOK)
	})
	assert.NilError(t, kept.connection.SetReadDeadline(began.Add(2*time.Second)))
	_, err := kept.source.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, node.status("/metrics") == http.StatusOK, "the node has ended, so that it closed all connections")
}

// Guards against refusing what surely ends in time, and against refusals that lead callers back to the node.
func TestPlannedStopServesNewConnectionsWhileItCan(t *testing.T) {
	t.Parallel()
	d, node, began := stopBesideLongStream(t, 50*time.Millisecond, nil)
	time.Sleep(time.Until(began.Add(1600 * time.Millisecond)))
	assert.Equal(t, node.openCaller(t).post("/safe/x", "safe").status, http.StatusOK)
	assert.Equal(t, node.openCaller(t).post("/unsafe/x", "brief", "X-Corkpulley-Deadline-Ms", "200").status, http.StatusOK)
	refused := node.openCaller(t).post("/unsafe/x", "unsafe")
	assert.NilError(t, refused.err)
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.header.Get("Connection"), "close")
	delay, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, delay < 0.5, "%f", delay)
	assert.Equal(t, d.runCount("unsafe"), 0)
}

// Guards against callers that get no answer at all when a planned stop ends before their engine answers.
func TestPlannedStopAnswersRequestsInHandAtItsEnd(t *testing.T) {
	t.Parallel()
	var waiting sync.WaitGroup
	var got callResult
	d, node, _ := stopBesideLongStream(t, 20*time.Second, func(d *deployment, node *testNode) {
		caller := node.openCaller(t)
		waiting.Go(func() { got = caller.post("/unsafe/x", "held") })
		testwait.Until(t, "the engine to run the request", func() bool { return d.runCount("held") == 1 })
	})
	waiting.Wait()
	<-node.done
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, d.runCount("held"), 1)
}

// Guards against trainers whose calls are cut by a planned stop: a query that waits, and a job that comes when there is no
// time left to accept it.
func TestPlannedStopAnswersTrainers(t *testing.T) {
	t.Parallel()
	_, node, began := stopBesideLongStream(t, 0, func(d *deployment, node *testNode) {
		d.configure(batchRoute("/batch/"), liveModelRoute("/s/"))
		testwait.Until(t, "the job to be accepted", func() bool {
			return node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "i0")).status == http.StatusAccepted
		})
	})
	var waiting sync.WaitGroup
	var polled, late callResult
	waiting.Go(func() {
		polled = node.call(http.MethodGet, "/lots/job1?afterRev=1", "", "", "X-Corkpulley-Wait-Ms", "5000")
	})
	time.Sleep(time.Until(began.Add(1800 * time.Millisecond)))
	waiting.Go(func() { late = node.call(http.MethodPost, "/batch/x", "job2", jobBody(1, "i1")) })
	waiting.Wait()
	assert.NilError(t, polled.err)
	assert.Equal(t, polled.status, http.StatusOK, polled.body)
	assert.NilError(t, late.err)
	assert.Equal(t, late.status, http.StatusServiceUnavailable)
}
