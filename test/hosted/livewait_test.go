package hosted

import (
	"fmt"
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

// Guards against requests of a burst that an engine refuses although it can run them one after the other.
func TestBurstWaitsForTheSlotsOfAnEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.liveWait = 2 * time.Second
	// CrashesOn is called during each run, and so sets its duration.
	engine := d.addEngine(standin.EngineOptions{ID: "e1", Service: "desk", Slots: 1, CrashesOn: func(standin.Run) bool {
		time.Sleep(10 * time.Millisecond)
		return false
	}})
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	const requests = 20
	results := make([]callResult, requests)
	var callers sync.WaitGroup
	for i := range requests {
		callers.Go(func() { results[i] = node.call(http.MethodPost, "/a/x", fmt.Sprint("id", i), "") })
	}
	callers.Wait()
	for i, got := range results {
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, "request %d", i)
	}
	assert.Equal(t, len(engine.Runs()), requests)
	assert.Assert(t, strings.Contains(node.logs.String(), "live request waited for a slot"))
	assert.Assert(t, strings.Contains(node.metrics(), `corkpulley_hosted_live_queue_decisions_total{decision="waited"}`))
	assert.Assert(t, strings.Contains(node.metrics(), "corkpulley_hosted_live_queue_requests 0"))
}

// Guards against a refused request that reached an engine, and against a refusal without a time to return.
func TestRequestIsRefusedAfterTheLongestWait(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.liveWait = 300 * time.Millisecond
	engine := d.addEngine(standin.EngineOptions{ID: "e1", Service: "desk", Slots: 1})
	engine.SetFault(func(string) standin.EngineFault { return standin.NeverResponds })
	held := safeRoute("/a/")
	held["routeKind"] = "unsafe"
	d.configure(held)
	node := d.start("n1")
	var callers sync.WaitGroup
	callers.Go(func() { node.call(http.MethodPost, "/a/x", "held", "") })
	testwait.Until(t, "the first request to run", func() bool { return len(engine.Runs()) == 1 })
	began := time.Now()
	got := node.call(http.MethodPost, "/a/x", "late", "")
	took := time.Since(began)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, took >= 250*time.Millisecond && took < 2*time.Second, "%s", took)
	delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, delay >= 0.1 && delay <= 10, "%f", delay)
	hopeless := node.call(http.MethodPost, "/a/x", "hopeless", "", "X-Corkpulley-Deadline-Ms", "40")
	assert.Equal(t, hopeless.status, http.StatusServiceUnavailable)
	callers.Wait()
	assert.Equal(t, len(engine.Runs()), 1)
}

// Guards against waiting callers that get no answer at a planned stop.
func TestPlannedStopAnswersWaitingRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.liveWait = 10 * time.Second
	engine := d.addEngine(standin.EngineOptions{ID: "e1", Service: "desk", Slots: 1})
	engine.SetFault(func(string) standin.EngineFault { return standin.NeverResponds })
	held := safeRoute("/a/")
	held["routeKind"], held["timeoutMs"] = "unsafe", 9000
	d.configure(held)
	node := d.start("n1")
	var callers sync.WaitGroup
	callers.Go(func() { node.call(http.MethodPost, "/a/x", "held", "") })
	testwait.Until(t, "the first request to run", func() bool { return len(engine.Runs()) == 1 })
	var waits callResult
	callers.Go(func() { waits = node.call(http.MethodPost, "/a/x", "waits", "") })
	testwait.Until(t, "the second request to wait", func() bool {
		return strings.Contains(node.metrics(), "corkpulley_hosted_live_queue_requests 1")
	})
	node.cancel()
	callers.Wait()
	assert.NilError(t, waits.err)
	assert.Equal(t, waits.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(engine.Runs()), 1)
	<-node.done
}
