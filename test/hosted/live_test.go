package hosted

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

func desk(d *deployment, id string) *standin.Engine {
	return d.addEngine(standin.EngineOptions{ID: id, Service: "desk"})
}

func TestLiveRequestGetsItsWholeAnswerUnaltered(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	engine := desk(d, "e1")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	got := node.call(http.MethodPost, "/a/x%20y?k=1&k=2", "id1", "the body", "X-Own", "kept")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, standin.Answer("id1"))
	assert.Equal(t, got.header.Get("X-Corkpulley-Server-Stamp"), "stamp-id1")
	runs := engine.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Path, "/a/x y")
	assert.Equal(t, runs[0].Query, "k=1&k=2")
	assert.Equal(t, runs[0].Body, "the body")
	assert.Equal(t, runs[0].Host, host)
}

func TestNoRouteIs404AndTooLongABodyIs413(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	engine := desk(d, "e1")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	assert.Equal(t, node.call(http.MethodPost, "/b/x", "id1", "").status, http.StatusNotFound)
	tooLong := strings.Repeat("x", 1<<20+1)
	assert.Equal(t, node.call(http.MethodPost, "/a/x", "id2", tooLong).status, http.StatusRequestEntityTooLarge)
	large := node.call(http.MethodPost, "/a/x", "id3", "", "X-Large", strings.Repeat("x", 17000))
	assert.Equal(t, large.status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, len(engine.Runs()), 0)
}

// TestFaultyAnswersOfSafeRequestsAreAskedForAgain tries each fault of the first
// engine that is asked.
func TestFaultyAnswersOfSafeRequestsAreAskedForAgain(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.EngineFault{
		"full": standin.Full, "fails": standin.Fails, "cut off": standin.CutOff,
		"silent": standin.Silent, "answer lost": standin.AnswerLost, "foreign": standin.Foreign,
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			var asked atomic.Int64
			once := func(string) standin.EngineFault {
				if asked.Add(1) == 1 {
					return fault
				}
				return standin.Works
			}
			desk(d, "e1").SetFault(once)
			desk(d, "e2").SetFault(once)
			d.configure(safeRoute("/a/"))
			node := d.start("n1")
			got := node.call(http.MethodPost, "/a/x", "id1", "")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, standin.Answer("id1"))
		})
	}
}

// TestUnsafeRequestRunsAtMostOnce: whatever may have run is never sent again, and
// never answered with a status that says it has not run.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.EngineFault{
		"cut off": standin.CutOff, "answer lost": standin.AnswerLost, "foreign": standin.Foreign,
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			broken := func(string) standin.EngineFault { return fault }
			desk(d, "e1").SetFault(broken)
			desk(d, "e2").SetFault(broken)
			unsafe := safeRoute("/a/")
			unsafe["routeKind"] = "unsafe"
			d.configure(unsafe)
			node := d.start("n1")
			got := node.call(http.MethodPost, "/a/x", "id1", "")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, d.runsOf("id1"), 1)
		})
	}
}

func TestUnsafeRequestRefusedByAnEngineIsTriedAtAnother(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	desk(d, "e1").SetFault(func(string) standin.EngineFault { return standin.Full })
	desk(d, "e2")
	unsafe := safeRoute("/a/")
	unsafe["routeKind"] = "unsafe"
	d.configure(unsafe)
	node := d.start("n1")
	for range 4 {
		assert.Equal(t, node.call(http.MethodPost, "/a/x", "id1", "").status, http.StatusOK)
	}
}

func TestRefusalSaysWhenToComeBackAndNothingRan(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	engine := desk(d, "e1")
	engine.SetFault(func(string) standin.EngineFault { return standin.Full })
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	got := node.call(http.MethodPost, "/a/x", "id1", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(engine.Runs()), 0)
}

// TestSurplusAnswerBelongsToNoRequest: the second answer on a connection is not
// given to the request that uses the connection next.
func TestSurplusAnswerBelongsToNoRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	desk(d, "e1").SetFault(func(id string) standin.EngineFault {
		if strings.HasPrefix(id, "odd") {
			return standin.Surplus
		}
		return standin.Works
	})
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	for _, id := range []string{"odd1", "even1", "odd2", "even2"} {
		got := node.call(http.MethodPost, "/a/x", id, "")
		if got.status == http.StatusOK {
			assert.Equal(t, got.body, standin.Answer(id))
		}
	}
}

func TestConfigurationIsFollowedAndNeverReverts(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	desk(d, "e1")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	d.configure(safeRoute("/a/"), safeRoute("/new/"))
	testwait.Until(t, "the new route", func() bool {
		return node.call(http.MethodPost, "/new/x", "id1", "").status == http.StatusOK
	})
	// An older version that comes later is not put in force.
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

func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	leaving := desk(d, "e1")
	staying := desk(d, "e2")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	d.store.Log.Put("keyed.servers", "e1", leaving.Entry("127.0.0.1:1", "draining"))
	testwait.Until(t, "the entry is known", func() bool {
		return strings.Contains(node.logs.String(), `"draining":true`)
	})
	before := len(leaving.Runs())
	for range 10 {
		assert.Equal(t, node.call(http.MethodPost, "/a/x", "id1", "").status, http.StatusOK)
	}
	assert.Equal(t, len(leaving.Runs()), before)
	assert.Assert(t, len(staying.Runs()) >= 10)
}

// TestPlannedStopAnswersWhatItHas: a request in hand when the stop begins gets
// its answer, and the node is no longer ready.
func TestPlannedStopAnswersWhatItHas(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{
		ID: "e1", Service: "llm", Versions: map[string]int64{model: 1}, EventTime: 100_000_000,
	})
	streaming := batchRoute("/s/")
	streaming["routeKind"] = "streaming"
	d.configure(streaming)
	node := d.start("n1")
	answers := make(chan answer)
	go func() { answers <- node.call(http.MethodPost, "/s/x", "id1", "") }()
	testwait.Until(t, "the engine runs it", func() bool { return d.runsOf("id1") == 1 })
	node.cancel()
	testwait.Until(t, "the node is not ready", func() bool { return node.status("/readyz") != http.StatusOK })
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, strings.Count(got.body, "data: "), 4)
	<-node.done
}

// TestBrokenStreamContinuesAtAnotherEngine: every piece once, in one answer.
func TestBrokenStreamContinuesAtAnotherEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	var asked atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.addEngine(standin.EngineOptions{
			ID: id, Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 6 },
		}).SetFault(func(string) standin.EngineFault {
			if asked.Add(1) == 1 {
				return standin.CutOff
			}
			return standin.Works
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
	assert.Equal(t, d.runsOf("id1"), 2)
}
