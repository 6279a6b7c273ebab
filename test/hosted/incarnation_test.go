package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	benchprocess "github.com/corkpulley/corkpulley/internal/bench/process"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/settings"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
	"github.com/corkpulley/corkpulley/platform"
)

const (
	// firstStart is when the engines of these tests start first, in milliseconds since 1970.
	firstStart = 1_700_000_000_000
	// restartTime is how long an engine is away, entryLife how long an entry stays: the list never misses it.
	restartTime = 100 * time.Millisecond
	entryLife   = time.Minute
)

// addRestarting starts an engine that starts again under its ID and at its address.
func (d *deployment) addRestarting(options standin.EngineOptions) *standin.EngineHost {
	d.t.Helper()
	address, err := benchprocess.FreeAddress()
	assert.NilError(d.t, err)
	options.Born, options.Zone, options.Slots = firstStart, "z1", 8
	host, err := standin.NewEngineHost(d.store, address, options, restartTime, entryLife)
	assert.NilError(d.t, err)
	d.t.Cleanup(host.Close)
	return host
}

// newestOf is the start of an engine that runs.
func newestOf(host *standin.EngineHost) *standin.Engine {
	engines := host.Engines()
	return engines[len(engines)-1]
}

// TestAnEngineThatStartsAgainIsOrderedAndUsedAnew: at the same address, with the first version again, and
// its entry was never missing.
func TestAnEngineThatStartsAgainIsOrderedAndUsedAnew(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	host := d.addRestarting(standin.EngineOptions{
		ID: "llm-1", Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 4 },
		LoadTime: 50 * time.Millisecond,
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.nameVersion(2)
	testwait.Until(t, "the first start has version 2", func() bool { return newestOf(host).Version(model) == 2 })
	for starts := 2; starts <= 3; starts++ {
		id := fmt.Sprint("job", starts)
		host.Crash()
		testwait.Until(t, "another start", func() bool { return len(host.Engines()) == starts })
		testwait.Until(t, "the next start has version 2", func() bool { return newestOf(host).Version(model) == 2 })
		assert.Equal(t, node.call(http.MethodPost, "/batch/x", id, job(2, "a"+id, "b"+id)).status, http.StatusAccepted)
		for _, result := range d.awaitResults(node, id, 2).Results {
			assert.Equal(t, result.State, "completed")
			assert.DeepEqual(t, result.Versions, []int64{2})
		}
		assert.Equal(t, newestOf(host).ID(), "llm-1")
		assert.Equal(t, len(newestOf(host).Holders()), 1, "one order for each start")
	}
	assert.Assert(t, strings.Contains(node.logs.String(), "engine started again"))
	assert.Assert(t, !strings.Contains(node.logs.String(), "engine gone"))
}

// TestItemsGoOnWhenTheirEngineStartsAgain: at the next start of the same engine, the only one.
func TestItemsGoOnWhenTheirEngineStartsAgain(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	host := d.addRestarting(standin.EngineOptions{
		ID: "llm-1", Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 30 },
		EventTime: 20 * time.Millisecond,
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	ids := []string{"a", "b", "c"}
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "items run", func() bool { return len(newestOf(host).Runs()) == len(ids) })
	host.Crash()
	for _, result := range d.awaitResults(node, "job1", len(ids)).Results {
		assert.Equal(t, result.State, "completed")
		assert.Equal(t, result.Text, standin.Text(result.ID, 30))
	}
}

// TestARequestThatEndsEachStartOfItsOnlyEngineIsNotSentOnAndOn: the next start listens soon after each end.
func TestARequestThatEndsEachStartOfItsOnlyEngineIsNotSentOnAndOn(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	host := d.addRestarting(standin.EngineOptions{ID: "desk-1", Service: "desk", EndsUnder: endsUnderCrashing})
	d.configure(safeRoute("/a/"))
	nodes := []*process{d.start("n1"), d.start("n2")}
	sendCrashing(t, nodes, "/a/", 4*time.Second)
	assertNotSentOnAndOn(t, []*standin.EngineHost{host})
	assert.Assert(t, len(host.Crashes()) >= 2, "%d ends", len(host.Crashes()))
	for i, node := range nodes {
		testwait.Until(t, "others are served", func() bool {
			return node.call(http.MethodPost, "/a/other", fmt.Sprintf("other-%d", i), "").status == http.StatusOK
		})
	}
}

// startElsewhere starts a plain engine under an ID at an address of its own, and lists it.
func (d *deployment) startElsewhere(id string, born int64) *standin.Engine {
	d.t.Helper()
	return d.addEngine(standin.EngineOptions{ID: id, Service: "desk", Born: born})
}

// entryOf is the entry of an engine in the list.
func (d *deployment) entryOf(id string) []byte {
	d.t.Helper()
	newest, err := d.store.Log.Newest(d.t.Context(), platform.New(d.address, "").EngineTopic())
	assert.NilError(d.t, err)
	for _, record := range newest.Records {
		if record.Key == id {
			return record.Value
		}
	}
	d.t.Fatalf("engine %s has no entry", id)
	return nil
}

// TestALateEntryOfAnEarlierStartMovesNothing: requests stay with the later start.
func TestALateEntryOfAnEarlierStartMovesNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.configure(safeRoute("/a/"))
	d.startElsewhere("e1", firstStart)
	later := d.startElsewhere("e1", firstStart+1000)
	node := d.start("n1")
	entry := d.entryOf("e1")
	earlier := d.startElsewhere("e1", firstStart)
	testwait.Until(t, "the late entry is read", func() bool {
		return strings.Contains(node.logs.String(), "engine entry of an earlier start")
	})
	d.store.Log.Put(platform.New(d.address, "").EngineTopic(), "e1", entry)
	for i := range 10 {
		assert.Equal(t, node.call(http.MethodGet, "/a/x", fmt.Sprint("request", i), "").status, http.StatusOK)
	}
	assert.Equal(t, len(later.Runs()), 10)
	assert.Equal(t, len(earlier.Runs()), 0)
}

// TestAnEngineWhoseClockJumpedBackIsUsed: the entry of the start before is never written again.
func TestAnEngineWhoseClockJumpedBackIsUsed(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.configure(safeRoute("/a/"))
	d.startElsewhere("e1", firstStart)
	node := d.start("n1")
	back := d.startElsewhere("e1", firstStart-1000)
	number := 0
	testwait.Until(t, "the engine that started last is used", func() bool {
		number++
		node.call(http.MethodGet, "/a/x", fmt.Sprint("request", number), "")
		return len(back.Runs()) > 0
	})
	assert.Assert(t, strings.Contains(node.logs.String(), "engine started again"))
}

// metric returns the value of a metric's line at a node; empty for none.
func (p *process) metric(name string) string {
	response, err := http.Get(p.operators + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// unusableCount is the number of entries that a node has counted as unusable by a fault.
func (p *process) unusableCount(fault string) string {
	return p.metric(fmt.Sprintf("corkpulley_hosted_engine_entries_unusable_total{fault=%q}", fault))
}

// putUnusable writes entries that name no engine to use beside those that do, and one in the place of an
// engine's own.
func (d *deployment) putUnusable(replaced string) {
	topic := platform.New(d.address, "").EngineTopic()
	d.store.Log.Put(topic, "bytes", []byte("\x00\xff"))
	d.store.Log.Put(topic, "no name", d.entryOf("e1"))
	d.store.Log.Put(topic, "elsewhere", []byte(`{"service":"nobody's","address":"127.0.0.1:9","zone":"z1","slots":8,"state":"ready"}`))
	_, err := d.store.Log.Append(d.t.Context(), eventlog.Partition{Topic: topic}, [][]byte{{200, 'c', 'u', 't'}})
	assert.NilError(d.t, err)
	d.store.Log.Put(topic, replaced, []byte(`{"service":"desk","address":"127.0.0.1:9","zone":"z1","slots":"8","state":"ready"}`))
}

// assertWithdrawn waits until a node has read the unusable entries, and checks that it sends to the others.
func assertWithdrawn(t *testing.T, node *process, withdrawn *standin.Engine) {
	t.Helper()
	testwait.Until(t, "the entry of the engine's own ID is read", func() bool {
		return strings.Contains(node.logs.String(), `"withdrawn":true`)
	})
	before := len(withdrawn.Runs())
	for i := range 20 {
		id := fmt.Sprint("request", i, node.callers)
		assert.Equal(t, node.call(http.MethodGet, "/a/x", id, "").status, http.StatusOK)
	}
	assert.Equal(t, len(withdrawn.Runs()), before)
}

// TestEntriesOfAnotherWriterNameNoEngine: all others hold, and a good entry puts an engine back.
func TestEntriesOfAnotherWriterNameNoEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	desk(d, "e1")
	replaced := desk(d, "e2")
	good := d.entryOf("e2")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	d.putUnusable("e2")
	assertWithdrawn(t, node, replaced)
	testwait.Until(t, "each kind is counted", func() bool {
		return node.unusableCount("unreadable") == "1" && node.unusableCount("unknown_service") == "1" &&
			node.unusableCount("bad_name") != "" && node.unusableCount("wrong_type") == "1"
	})
	d.store.Log.Put(platform.New(d.address, "").EngineTopic(), "e2", good)
	number := 0
	testwait.Until(t, "the engine is used again", func() bool {
		number++
		node.call(http.MethodGet, "/a/x", fmt.Sprint("back", number), "")
		return len(replaced.Runs()) > 0
	})
	// The record without a key is passed over by a node that reads the list whole just then.
	lines := strings.Count(node.logs.String(), "engine entry unusable")
	assert.Assert(t, lines == 4 || lines == 5, "%d lines of four entries and a record without a key", lines)
}

// TestEntriesOfAnotherWriterNameNoEngineThroughReplicas: nodes that read no list themselves know as much.
func TestEntriesOfAnotherWriterNameNoEngineThroughReplicas(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	desk(d, "e1")
	replaced := desk(d, "e2")
	d.configure(safeRoute("/a/"))
	d.listDistantNodes()
	nodes := []*process{d.start("n1"), d.start("n2"), d.start("n3")}
	replicaOf(t, nodes)
	d.putUnusable("e2")
	for _, node := range nodes {
		assertWithdrawn(t, node, replaced)
	}
}

// TestANodeThatKnowsEnginesOfUnknownServicesOnlyIsNotReady: it can serve nobody.
func TestANodeThatKnowsEnginesOfUnknownServicesOnlyIsNotReady(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "e1", Service: "nobody's"})
	d.configure(safeRoute("/a/"))
	node := d.startUnready(settings.Node{ID: "n1", Zone: "z1", Region: "r1"}, d.address)
	testwait.Until(t, "configuration, engine list and ends of engines are read", func() bool {
		logs := node.logs.String()
		return strings.Contains(logs, "configuration in force") && strings.Count(logs, "topic read whole") == 3
	})
	assert.Equal(t, node.status("/readyz"), http.StatusServiceUnavailable)
	desk(d, "e2")
	testwait.Until(t, "it is ready", func() bool { return node.status("/readyz") == http.StatusOK })
}
