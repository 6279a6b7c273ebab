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
	// firstStartMS is the first start of engines, in Unix milliseconds.
	firstStartMS = 1_700_000_000_000
	// restartTime is the down time of an engine; entryTTL is long enough for its entry to stay listed meanwhile.
	restartTime = 100 * time.Millisecond
	entryTTL    = time.Minute
)

// addRestartingHost starts an engine that restarts under the same ID and address.
func (d *deployment) addRestartingHost(options standin.EngineOptions) *standin.EngineHost {
	d.t.Helper()
	address, err := benchprocess.FreeAddress()
	assert.NilError(d.t, err)
	options.StartMillis, options.Zone, options.Slots = firstStartMS, "z1", 8
	host, err := standin.NewEngineHost(d.store, address, options, restartTime, entryTTL)
	assert.NilError(d.t, err)
	d.t.Cleanup(host.Close)
	return host
}

// currentEngine returns the latest incarnation of a host's engine.
func currentEngine(host *standin.EngineHost) *standin.Engine {
	engines := host.Engines()
	return engines[len(engines)-1]
}

// A new incarnation has its initial weights, although its address is the same and its entry never expired.
func TestRestartedEngineLoadsWeightsAndRunsItems(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	host := d.addRestartingHost(standin.EngineOptions{
		ID: "llm-1", Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 4 },
		LoadTime: 50 * time.Millisecond,
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	d.publishVersion(2)
	testwait.Until(t, "the first incarnation to have version 2", func() bool {
		return currentEngine(host).Version(model) == 2
	})
	for starts := 2; starts <= 3; starts++ {
		id := fmt.Sprint("job", starts)
		host.Crash()
		testwait.Until(t, "another incarnation", func() bool { return len(host.Engines()) == starts })
		testwait.Until(t, "the next incarnation to have version 2", func() bool {
			return currentEngine(host).Version(model) == 2
		})
		assert.Equal(t, node.call(http.MethodPost, "/batch/x", id, jobBody(2, "a"+id, "b"+id)).status, http.StatusAccepted)
		for _, result := range d.awaitResults(node, id, 2).Results {
			assert.Equal(t, result.State, "completed")
			assert.DeepEqual(t, result.Versions, []int64{2})
		}
		assert.Equal(t, currentEngine(host).ID(), "llm-1")
		assert.Equal(t, len(currentEngine(host).OrderHolders()), 1, "one order for each incarnation")
	}
	assert.Assert(t, strings.Contains(node.logs.String(), "engine restarted"))
	assert.Assert(t, !strings.Contains(node.logs.String(), "engine removed"))
}

// The next incarnation of the only engine resumes the items.
func TestItemsResumeAfterEngineRestart(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	host := d.addRestartingHost(standin.EngineOptions{
		ID: "llm-1", Service: "llm", Versions: map[string]int64{model: 1}, Events: func(string) int { return 30 },
		EventTime: 20 * time.Millisecond,
	})
	d.configure(batchRoute("/batch/"))
	node := d.start("n1")
	ids := []string{"a", "b", "c"}
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "items to run", func() bool { return len(currentEngine(host).Runs()) == len(ids) })
	host.Crash()
	for _, result := range d.awaitResults(node, "job1", len(ids)).Results {
		assert.Equal(t, result.State, "completed")
		assert.Equal(t, result.Text, standin.ItemText(result.ID, 30))
	}
}

// Crashes count per incarnation even though the engine's entry never expires.
func TestCrashingRequestIsQuarantinedAtSoleEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	host := d.addRestartingHost(standin.EngineOptions{ID: "desk-1", Service: "desk", CrashesOn: isCrashRun})
	d.configure(safeRoute("/a/"))
	nodes := []*testNode{d.start("n1"), d.start("n2")}
	sendCrashRequests(t, nodes, "/a/", 4*time.Second)
	assertCrashesBounded(t, []*standin.EngineHost{host})
	assert.Assert(t, len(host.Crashes()) >= 2, "%d crashes", len(host.Crashes()))
	for i, node := range nodes {
		testwait.Until(t, "other requests to be served", func() bool {
			return node.call(http.MethodPost, "/a/other", fmt.Sprintf("other-%d", i), "").status == http.StatusOK
		})
	}
}

// addDeskIncarnation starts and lists an engine with the given ID and start time at a new address.
func (d *deployment) addDeskIncarnation(id string, startMillis int64) *standin.Engine {
	d.t.Helper()
	return d.addEngine(standin.EngineOptions{ID: id, Service: "desk", StartMillis: startMillis})
}

// listedEntry returns an engine's entry in the engine list.
func (d *deployment) listedEntry(id string) []byte {
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

// Guards against a delayed write that redirects requests to an ended incarnation.
func TestLateEntryOfEarlierIncarnationIsIgnored(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.configure(safeRoute("/a/"))
	d.addDeskIncarnation("e1", firstStartMS)
	later := d.addDeskIncarnation("e1", firstStartMS+1000)
	node := d.start("n1")
	entry := d.listedEntry("e1")
	earlier := d.addDeskIncarnation("e1", firstStartMS)
	testwait.Until(t, "the late entry to be read", func() bool {
		return strings.Contains(node.logs.String(), "engine entry of an earlier start deferred")
	})
	d.store.Log.Put(platform.New(d.address, "").EngineTopic(), "e1", entry)
	for i := range 10 {
		assert.Equal(t, node.call(http.MethodGet, "/a/x", fmt.Sprint("request", i), "").status, http.StatusOK)
	}
	assert.Equal(t, len(later.Runs()), 10)
	assert.Equal(t, len(earlier.Runs()), 0)
}

// An incarnation with an earlier start time is used unless the previous entry is written again.
func TestEngineWhoseClockJumpedBackIsUsed(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.configure(safeRoute("/a/"))
	d.addDeskIncarnation("e1", firstStartMS)
	node := d.start("n1")
	restarted := d.addDeskIncarnation("e1", firstStartMS-1000)
	number := 0
	testwait.Until(t, "the latest incarnation to be used", func() bool {
		number++
		node.call(http.MethodGet, "/a/x", fmt.Sprint("request", number), "")
		return len(restarted.Runs()) > 0
	})
	assert.Assert(t, strings.Contains(node.logs.String(), "engine restarted"))
}

// metricText returns the value of a metric at the node as text; empty for none.
func (n *testNode) metricText(name string) string {
	response, err := http.Get(n.operatorURL + "/metrics")
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

// unusableCount returns the number of unusable engine entries that the node has counted with the given fault.
func (n *testNode) unusableCount(fault string) string {
	return n.metricText(fmt.Sprintf("corkpulley_hosted_engine_entries_unusable_total{fault=%q}", fault))
}

// putUnusableEntries writes invalid entries to the engine list, one of them in place of the given engine's.
func (d *deployment) putUnusableEntries(replaced string) {
	topic := platform.New(d.address, "").EngineTopic()
	d.store.Log.Put(topic, "bytes", []byte("\x00\xff"))
	d.store.Log.Put(topic, "no name", d.listedEntry("e1"))
	d.store.Log.Put(topic, "elsewhere", []byte(`{"service":"nobody's","address":"127.0.0.1:9","zone":"z1","slots":8,"state":"ready"}`))
	_, err := d.store.Log.Append(d.t.Context(), eventlog.Partition{Topic: topic}, [][]byte{{200, 'c', 'u', 't'}})
	assert.NilError(d.t, err)
	d.store.Log.Put(topic, replaced, []byte(`{"service":"desk","address":"127.0.0.1:9","zone":"z1","slots":"8","state":"ready"}`))
}

// assertWithdrawn waits until a node has read the unusable entries and checks that it sends the withdrawn
// engine nothing.
func assertWithdrawn(t *testing.T, node *testNode, withdrawn *standin.Engine) {
	t.Helper()
	testwait.Until(t, "the engine's replaced entry to be read", func() bool {
		return strings.Contains(node.logs.String(), `"withdrawn":true`)
	})
	before := len(withdrawn.Runs())
	for i := range 20 {
		id := fmt.Sprint("request", i, node.callerURL)
		assert.Equal(t, node.call(http.MethodGet, "/a/x", id, "").status, http.StatusOK)
	}
	assert.Equal(t, len(withdrawn.Runs()), before)
}

// Other engines stay in use, and a valid entry restores the withdrawn engine.
func TestUnusableEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	addDesk(d, "e1")
	replaced := addDesk(d, "e2")
	validEntry := d.listedEntry("e2")
	d.configure(safeRoute("/a/"))
	node := d.start("n1")
	d.putUnusableEntries("e2")
	assertWithdrawn(t, node, replaced)
	testwait.Until(t, "each kind of fault to be counted", func() bool {
		return node.unusableCount("unreadable") == "1" && node.unusableCount("unknown_service") == "1" &&
			node.unusableCount("bad_name") != "" && node.unusableCount("wrong_type") == "1"
	})
	d.store.Log.Put(platform.New(d.address, "").EngineTopic(), "e2", validEntry)
	number := 0
	testwait.Until(t, "the engine to be used again", func() bool {
		number++
		node.call(http.MethodGet, "/a/x", fmt.Sprint("back", number), "")
		return len(replaced.Runs()) > 0
	})
	// A node that reads the whole list again skips the record without a key.
	lines := strings.Count(node.logs.String(), "engine entry unusable")
	assert.Assert(t, lines == 4 || lines == 5, "%d lines for four entries and a record without a key", lines)
}

// Covers nodes that read the engine list through a replica.
func TestUnusableEntriesAreIgnoredThroughReplicas(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	addDesk(d, "e1")
	replaced := addDesk(d, "e2")
	d.configure(safeRoute("/a/"))
	d.listRemoteNodes()
	nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3")}
	awaitReplica(t, nodes)
	d.putUnusableEntries("e2")
	for _, node := range nodes {
		assertWithdrawn(t, node, replaced)
	}
}

func TestNodeWithEnginesOfUnknownServicesOnlyIsNotReady(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.addEngine(standin.EngineOptions{ID: "e1", Service: "nobody's"})
	d.configure(safeRoute("/a/"))
	node := d.startUnready(settings.Node{ID: "n1", Zone: "z1", Region: "r1"}, d.address)
	testwait.Until(t, "configuration, engine list and crash records to be read", func() bool {
		logs := node.logs.String()
		return strings.Contains(logs, "configuration in force") && strings.Count(logs, "first full read of the topic completed") == 3
	})
	assert.Equal(t, node.status("/readyz"), http.StatusServiceUnavailable)
	addDesk(d, "e2")
	testwait.Until(t, "the node to be ready", func() bool { return node.status("/readyz") == http.StatusOK })
}
