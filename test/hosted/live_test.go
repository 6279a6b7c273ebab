package hosted

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
	"github.com/corkpulley/corkpulley/platform"
)

func addDesk(d *deployment, id string) *standin.Engine {
	return d.addEngine(standin.EngineOptions{ID: id, Service: "desk"})
}

func TestLiveResponseIsPassedThroughUnaltered(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	engine := addDesk(d, "e1")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	got := node.call(http.MethodPost, "/a/x%20y?k=1&k=2", "id1", "the body", "X-Own", "kept")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, standin.PlainBody("id1"))
	assert.Equal(t, got.header.Get("X-Corkpulley-Server-Stamp"), "stamp-id1")
	runs := engine.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Path, "/a/x y")
	assert.Equal(t, runs[0].Query, "k=1&k=2")
	assert.Equal(t, runs[0].Body, "the body")
	assert.Equal(t, runs[0].Host, host)
}

func TestUnroutedAndOversizedRequestsAreRejected(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	engine := addDesk(d, "e1")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/b/x", "id1", "").status, http.StatusNotFound)
	tooLong := strings.Repeat("x", 1<<20+1)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "id2", tooLong).status, http.StatusRequestEntityTooLarge)
	large := node.call(http.MethodPost, "/a/x", "id3", "", "X-Large", strings.Repeat("x", 17000))
	assert.Equal(t, large.status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, len(engine.Runs()), 0)
}

// The first engine tried has each fault in turn.
func TestSafeRequestIsRetriedAfterFaultyResponse(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.EngineFault{
		"full": standin.RefusesFull, "fails": standin.RespondsError, "cut off": standin.TruncatesResponse,
		"silent": standin.NeverResponds, "answer lost": standin.DropsResponse, "foreign": standin.RespondsWrongID,
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			var asked atomic.Int64
			once := func(string) standin.EngineFault {
				if asked.Add(1) == 1 {
					return fault
				}
				return standin.NoFault
			}
			addDesk(d, "e1").SetFault(once)
			addDesk(d, "e2").SetFault(once)
			d.configure(safeRoute("/a/"))
			node := d.start("n1")
			got := node.call(http.MethodPost, "/a/x", "id1", "")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, standin.PlainBody("id1"))
		})
	}
}

// A request that may have run is neither retried nor reported as not run.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.EngineFault{
		"cut off": standin.TruncatesResponse, "answer lost": standin.DropsResponse, "foreign": standin.RespondsWrongID,
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			broken := func(string) standin.EngineFault { return fault }
			addDesk(d, "e1").SetFault(broken)
			addDesk(d, "e2").SetFault(broken)
			unsafe := safeRoute("/a/")
			unsafe["routeKind"] = "unsafe"
			d.configure(unsafe)
			node := d.start("n1")
			got := node.call(http.MethodPost, "/a/x", "id1", "")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, d.runCount("id1"), 1)
		})
	}
}

func TestUnsafeRequestRefusedByEngineIsRetriedAtAnother(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	addDesk(d, "e1").SetFault(func(string) standin.EngineFault { return standin.RefusesFull })
	addDesk(d, "e2")
	unsafe := safeRoute("/a/")
	unsafe["routeKind"] = "unsafe"
	d.configure(unsafe)
	node := d.start("n1")
	for range 4 {
		assert.Equal(t, node.call(http.MethodPost, "/a/x", "id1", "").status, http.StatusOK)
	}
}

func TestRejectionHasRetryAfterAndNothingRuns(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	engine := addDesk(d, "e1")
	engine.SetFault(func(string) standin.EngineFault { return standin.RefusesFull })
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	got := node.call(http.MethodPost, "/a/x", "id1", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(engine.Runs()), 0)
}

// A second response on a connection must not reach the next request on it.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	addDesk(d, "e1").SetFault(func(id string) standin.EngineFault {
		if strings.HasPrefix(id, "odd") {
			return standin.DuplicatesResponse
		}
		return standin.NoFault
	})
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	for _, id := range []string{"odd1", "even1", "odd2", "even2"} {
		got := node.call(http.MethodPost, "/a/x", id, "")
		if got.status == http.StatusOK {
			assert.Equal(t, got.body, standin.PlainBody(id))
		}
	}
}

func TestConfigurationIsFollowedAndNeverReverts(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	addDesk(d, "e1")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	d.configure(safeRoute("/a/"), safeRoute("/new/"))
	testwait.Until(t, "the new route", func() bool {
		return node.call(http.MethodPost, "/new/x", "id1", "").status == http.StatusOK
	})
	// Writes an older version and an invalid configuration, which must not take effect.
	d.config -= 6
	d.configure(safeRoute("/old/"))
	d.store.Log.Put("keyed.op", "config", []byte("no configuration"))
	d.config += 6
	d.configure(safeRoute("/a/"), safeRoute("/new/"), safeRoute("/newest/"))
	testwait.Until(t, "the newest route", func() bool {
		return node.call(http.MethodPost, "/newest/x", "id2", "").status == http.StatusOK
	})
	assert.Equal(t, node.call(http.MethodPost, "/old/x", "id3", "").status, http.StatusNotFound)
}

func TestDrainingEngineGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	leaving := addDesk(d, "e1")
	staying := addDesk(d, "e2")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	d.store.Log.Put("keyed.servers", "e1", leaving.Entry("127.0.0.1:1", "draining"))
	testwait.Until(t, "the entry to be read", func() bool {
		return strings.Contains(node.logs.String(), `"draining":true`)
	})
	before := len(leaving.Runs())
	for range 10 {
		assert.Equal(t, node.call(http.MethodPost, "/a/x", "id1", "").status, http.StatusOK)
	}
	assert.Equal(t, len(leaving.Runs()), before)
	assert.Assert(t, len(staying.Runs()) >= 10)
}

// The node is no longer ready while it completes the request in flight.
func TestPlannedStopCompletesInFlightRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{
		ID: "e1", Service: "llm", Versions: map[string]int64{model: 1}, EventTime: 100_000_000,
	})
	streaming := batchRoute("/s/")
	streaming["routeKind"] = "streaming"
	d.configure(streaming)
	node := d.start("n1")
	answers := make(chan callResult)
	go func() { answers <- node.call(http.MethodPost, "/s/x", "id1", "") }()
	testwait.Until(t, "the engine to run the request", func() bool { return d.runCount("id1") == 1 })
	node.cancel()
	testwait.Until(t, "the node to be unready", func() bool { return node.status("/readyz") != http.StatusOK })
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, strings.Count(got.body, "data: "), 4)
	<-node.done
}

// Each event arrives exactly once, in one response.
func TestBrokenStreamResumesAtAnotherEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	var asked atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.addEngine(standin.EngineOptions{
			ID: id, Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 6 },
		}).SetFault(func(string) standin.EngineFault {
			if asked.Add(1) == 1 {
				return standin.TruncatesResponse
			}
			return standin.NoFault
		})
	}
	streaming := batchRoute("/s/")
	streaming["routeKind"] = "streaming"
	d.configure(streaming)
	node := d.start("n1")
	got := node.call(http.MethodPost, "/s/x", "id1", "", "X-Corkpulley-Model", model)
	assert.NilError(t, got.err)
	for number := 1; number <= 6; number++ {
		assert.Equal(t, strings.Count(got.body, "data: "+standin.EventData("id1", number)+"\n"), 1, got.body)
	}
	assert.Equal(t, d.runCount("id1"), 2)
}

// TestNodeIsReadyOnceTheEngineListIsRead guards against nodes that accept requests while they know only the first engines of
// the list, and fail a request for which another engine is listed.
func TestNodeIsReadyOnceTheEngineListIsRead(t *testing.T) {
	t.Parallel()
	const unusableEntries = 5000
	d := deploy(t)
	addDesk(d, "e1")
	topic := platform.New(d.address, "").EngineTopic()
	for number := range unusableEntries {
		d.store.Log.Put(topic, fmt.Sprintf("other-%05d", number), []byte("{}"))
	}
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	read := regexp.MustCompile(`"topic":"` + regexp.QuoteMeta(topic) + `".*first full read of the topic completed`)
	assert.Assert(t, read.MatchString(node.logs.String()))
}
