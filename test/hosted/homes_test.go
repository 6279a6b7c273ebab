package hosted

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/settings"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	// dataTopicPrefix is the prefix of the topics with bodies and texts, one for each set of home regions.
	dataTopicPrefix = "corkpulley.data"
	directoryTopic  = "corkpulley.nodes"
)

// recordingLog is one node's proxy to the log. It records the calls to topics with bodies and texts.
type recordingLog struct {
	address string
	store   http.Handler

	mu    sync.Mutex
	calls []string
	// refused fails all calls of the node; directoryUnavailable fails its reads of the node directory.
	refused              bool
	directoryUnavailable bool
}

// ServeHTTP implements http.Handler.
func (l *recordingLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isData := strings.HasPrefix(r.URL.Query().Get("topic"), dataTopicPrefix)
	l.mu.Lock()
	if isData {
		l.calls = append(l.calls, r.URL.Path)
	}
	refused := l.refused || l.directoryUnavailable && r.URL.Query().Get("topic") == directoryTopic
	l.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.store.ServeHTTP(w, r)
}

// dataCalls returns the paths of the calls to topics with bodies and texts.
func (l *recordingLog) dataCalls() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.calls)
}

func (l *recordingLog) refuse(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = refused
}

// regionalNode is a node with its proxy to the log.
type regionalNode struct {
	*testNode
	proxy *recordingLog
}

// deployRegions returns a deployment with the regions north, south and west, each of one zone with one
// engine of each service.
func deployRegions(t *testing.T, eventTime time.Duration, events int) *deployment {
	t.Helper()
	d := deploy(t)
	d.zones = map[string]string{"n1": "north", "s1": "south", "w1": "west"}
	for zone, region := range d.zones {
		d.addEngine(standin.EngineOptions{ID: "desk-" + region, Service: "desk", Zone: zone})
		d.addEngine(standin.EngineOptions{
			ID: "llm-" + region, Service: "llm", Zone: zone, Versions: map[string]int64{model: 1},
			Events: func(string) int { return events }, EventTime: eventTime, LoadTime: 50 * time.Millisecond,
		})
	}
	return d
}

func (d *deployment) startInZone(id, zone string) regionalNode {
	d.t.Helper()
	return d.startWithRecordingLog(&recordingLog{store: d.store}, id, zone)
}

func (d *deployment) startWithRecordingLog(proxy *recordingLog, id, zone string) regionalNode {
	d.t.Helper()
	server := httptest.NewServer(proxy)
	d.t.Cleanup(server.Close)
	proxy.address = strings.TrimPrefix(server.URL, "http://")
	return regionalNode{d.startNode(settings.Node{ID: id, Zone: zone, Region: d.zones[zone]}, proxy.address), proxy}
}

func (n *testNode) metrics() string {
	response, err := http.Get(n.operatorURL + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(raw)
}

func (n *testNode) awaitMetric(t *testing.T, line string) {
	t.Helper()
	testwait.Until(t, "the metric "+line, func() bool { return strings.Contains(n.metrics(), line+"\n") })
}

// awaitKnownNodes waits until the node knows the given number of nodes, itself included.
func (n *testNode) awaitKnownNodes(t *testing.T, nodes int) {
	t.Helper()
	testwait.Until(t, "the nodes to know each other", func() bool {
		return strings.Contains(n.logs.String(), fmt.Sprintf(`"known":%d,`, nodes))
	})
}

const leadingMetric = "corkpulley_hosted_leading 1"

func runningHomesMetric(homes string) string {
	return fmt.Sprintf("corkpulley_hosted_running_homes{homes=%q} 1", homes)
}

// runRegions returns the regions of the engines that ran any of the requests, sorted.
func (d *deployment) runRegions(ids ...string) []string {
	regions := map[string]bool{}
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			if slices.Contains(ids, run.ID) {
				_, region, _ := strings.Cut(engine.ID(), "-")
				regions[region] = true
			}
		}
	}
	var found []string
	for region := range regions {
		found = append(found, region)
	}
	slices.Sort(found)
	return found
}

// withHomes sets a route's home regions.
func withHomes(base route, regions ...string) route {
	base["homeRegions"] = regions
	return base
}

func TestRegionBoundWorkStaysInRegionUnderRemoteLeader(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(withHomes(safeRoute("/desk/"), "north"), withHomes(batchRoute("/batch/"), "north", "west"))
	south := d.startInZone("south", "s1")
	south.awaitMetric(t, leadingMetric)
	north, west := d.startInZone("north", "n1"), d.startInZone("west", "w1")
	var live []string
	for i := range 20 {
		id := fmt.Sprint("live", i)
		live = append(live, id)
		for _, node := range []regionalNode{south, north, west} {
			assert.Equal(t, node.call(http.MethodGet, "/desk/x", id, "").status, http.StatusOK)
		}
	}
	assert.DeepEqual(t, d.runRegions(live...), []string{"north"})

	ids := itemIDs(20)
	assert.Equal(t, north.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(west.testNode, "job1", len(ids)), ids, 4)
	for _, region := range d.runRegions(ids...) {
		assert.Assert(t, region != "south", "an item ran outside the home regions")
	}
	assert.Equal(t, len(south.proxy.dataCalls()), 0, "the leader read or wrote bodies or texts: %v", south.proxy.dataCalls())
	assert.Equal(t, south.call(http.MethodGet, "/lots/none", "", "").status, http.StatusNotFound)
	south.awaitMetric(t, leadingMetric)

	// A node outside the home regions accepts and answers the job once it knows the others.
	south.awaitKnownNodes(t, 3)
	assert.Equal(t, south.call(http.MethodPost, "/batch/x", "job2", jobBody(1, "other")).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(south.testNode, "job2", 1), []string{"other"}, 4)
	for _, region := range d.runRegions("other") {
		assert.Assert(t, region != "south", "an item ran outside the home regions")
	}
}

// The leader orders engines in the home region although it must not send them items.
func TestRemoteLeaderOrdersWeightsForRegionBoundJobs(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(withHomes(batchRoute("/batch/"), "north"))
	south := d.startInZone("south", "s1")
	south.awaitMetric(t, leadingMetric)
	north := d.startInZone("north", "n1")
	d.publishVersion(2)
	assert.Equal(t, north.call(http.MethodPost, "/batch/x", "job1", jobBody(2, "a", "b")).status, http.StatusAccepted)
	for _, engine := range d.engines {
		if engine.ID() == "llm-north" {
			testwait.Until(t, "the engine to load version 2", func() bool { return engine.Version(model) == 2 })
			d.listEngine(engine)
		}
	}
	got := d.awaitResults(north.testNode, "job1", 2)
	for _, result := range got.Results {
		assert.DeepEqual(t, result.Versions, []int64{2})
	}
	assert.DeepEqual(t, d.runRegions("a", "b"), []string{"north"})
}

func TestRegionalFailoverAfterPlannedStop(t *testing.T) {
	t.Parallel()
	const events = 150
	d := deployRegions(t, 20*time.Millisecond, events)
	d.configure(withHomes(batchRoute("/batch/"), "north"))
	south := d.startInZone("south", "s1")
	first := d.startInZone("north1", "n1")
	first.awaitMetric(t, runningHomesMetric("north"))
	second := d.startInZone("north2", "n1")
	ids := itemIDs(4)
	assert.Equal(t, second.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "all items to run", func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool { return d.runCount(id) == 0 })
	})
	first.cancel()
	second.awaitMetric(t, runningHomesMetric("north"))
	assertAllCompleted(t, d.awaitResults(second.testNode, "job1", len(ids)), ids, events)
	assert.DeepEqual(t, d.runRegions(ids...), []string{"north"})
	assert.Equal(t, len(south.proxy.dataCalls()), 0)
}

// The first node is cut off from the log and keeps running its items for a while, as a leader does.
func TestRegionalFailoverAfterLogPartition(t *testing.T) {
	t.Parallel()
	const events = 150
	d := deployRegions(t, 20*time.Millisecond, events)
	d.configure(withHomes(batchRoute("/batch/"), "north"))
	south := d.startInZone("south", "s1")
	first := d.startWithRecordingLog(&recordingLog{store: d.store, directoryUnavailable: true}, "north1", "n1")
	first.awaitMetric(t, runningHomesMetric("north"))
	second := d.startInZone("north2", "n1")
	ids := itemIDs(4)
	assert.Equal(t, second.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "all items to run", func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool { return d.runCount(id) == 0 })
	})
	first.proxy.refuse(true)
	second.awaitMetric(t, runningHomesMetric("north"))
	assertAllCompleted(t, d.awaitResults(second.testNode, "job1", len(ids)), ids, events)
	assert.DeepEqual(t, d.runRegions(ids...), []string{"north"})
	assert.Equal(t, len(south.proxy.dataCalls()), 0)
	first.proxy.refuse(false)
	second.awaitMetric(t, runningHomesMetric("north"))
}

func TestHomeRegionChangeMovesRunningItems(t *testing.T) {
	t.Parallel()
	const events = 150
	d := deployRegions(t, 20*time.Millisecond, events)
	d.configure(withHomes(batchRoute("/batch/"), "north"))
	south := d.startInZone("south", "s1")
	south.awaitMetric(t, leadingMetric)
	north, west := d.startInZone("north", "n1"), d.startInZone("west", "w1")
	north.awaitMetric(t, runningHomesMetric("north"))
	ids := itemIDs(4)
	assert.Equal(t, north.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "all items to run", func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool { return d.runCount(id) == 0 })
	})
	assert.Equal(t, len(west.proxy.dataCalls()), 0)
	d.configure(withHomes(batchRoute("/batch/"), "west"))
	west.awaitMetric(t, runningHomesMetric("west"))
	assertAllCompleted(t, d.awaitResults(west.testNode, "job1", len(ids)), ids, events)
	assert.DeepEqual(t, d.runRegions(ids...), []string{"north", "west"})
	assert.Equal(t, len(south.proxy.dataCalls()), 0)
}

func TestTenantHomeRegionsApplyToItsRequestsOnly(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.tenants = []tenant{{"free", []string{"key-free"}}, {"bound", []string{"key-bound"}}, {"lost", []string{"key-lost"}}}
	d.tenantHomes = map[string][]string{"bound": {"west"}, "lost": {"east"}}
	d.configure(safeRoute("/desk/"), batchRoute("/batch/"), withHomes(safeRoute("/north/"), "north"))
	south := d.startInZone("south", "s1")
	south.awaitMetric(t, leadingMetric)
	west := d.startInZone("west", "w1")
	assert.Equal(t, south.call(http.MethodGet, "/desk/x", "a", "", "Authorization", bearer("key-free")).status, http.StatusOK)
	assert.Equal(t, south.call(http.MethodGet, "/desk/x", "b", "", "Authorization", bearer("key-bound")).status, http.StatusOK)
	assert.DeepEqual(t, d.runRegions("a"), []string{"south"})
	assert.DeepEqual(t, d.runRegions("b"), []string{"west"})

	ids := itemIDs(10)
	accepted := west.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...), "Authorization", bearer("key-bound"))
	assert.Equal(t, accepted.status, http.StatusAccepted)
	testwait.Until(t, "the results of the job", func() bool {
		got := west.call(http.MethodGet, "/lots/job1?afterRev=0", "", "", "Authorization", bearer("key-bound"))
		return strings.Count(got.body, `"completed"`) == len(ids)
	})
	assert.DeepEqual(t, d.runRegions(ids...), []string{"west"})
	assert.Equal(t, len(south.proxy.dataCalls()), 0)

	// No engine may serve these, so they are rejected at once.
	for path, key := range map[string]string{"/desk/x": "key-lost", "/north/x": "key-bound"} {
		got := south.call(http.MethodGet, path, "c", "", "Authorization", bearer(key))
		assert.Equal(t, got.status, http.StatusServiceUnavailable, path)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	got := south.call(http.MethodPost, "/batch/x", "job2", jobBody(1, "lost"), "Authorization", bearer("key-lost"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, "outside_homes"), got.body)
	assert.Equal(t, len(d.runRegions("c", "lost")), 0)
}

// A rejection would state that no item of the job runs.
func TestAcceptedJobStaysAcceptedWithoutNodesInHomeRegion(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(batchRoute("/batch/"))
	south := d.startInZone("south", "s1")
	assert.Equal(t, south.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "a")).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(south.testNode, "job1", 1), []string{"a"}, 4)
	d.configure(withHomes(batchRoute("/batch/"), "east"))
	testwait.Until(t, "the configuration to be in force", func() bool {
		return strings.Contains(south.logs.String(), "home region without a zone")
	})
	assert.Equal(t, south.call(http.MethodPost, "/batch/x", "job2", jobBody(1, "b")).status, http.StatusServiceUnavailable)
	assert.Equal(t, south.call(http.MethodPost, "/batch/x", "job1", jobBody(1, "a")).status, http.StatusAccepted)
	assert.Equal(t, d.runCount("b"), 0)
}

// A node that is cut off from the log must not relay bodies through its nearest peer outside the home region.
func TestBodiesAreRelayedOnlyThroughHomeRegion(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(withHomes(batchRoute("/batch/"), "north"))
	south, north, near := d.startInZone("south", "s1"), d.startInZone("north", "n1"), d.startInZone("south2", "s1")
	for _, node := range []regionalNode{south, north, near} {
		node.awaitKnownNodes(t, 3)
	}
	south.proxy.refuse(true)
	testwait.Until(t, "the node to change its path to the log", func() bool {
		return strings.Contains(south.logs.String(), "switched between direct and relayed log calls")
	})
	var ids []string
	for i := range 10 {
		id := fmt.Sprint("item-of-", i)
		ids = append(ids, id)
		testwait.Until(t, "the job to be accepted", func() bool {
			return south.call(http.MethodPost, "/batch/x", fmt.Sprint("job", i), jobBody(1, id)).status == http.StatusAccepted
		})
	}
	for i, id := range ids {
		assertAllCompleted(t, d.awaitResults(north.testNode, fmt.Sprint("job", i), 1), []string{id}, 4)
	}
	assert.Assert(t, len(north.proxy.dataCalls()) > 0)
	assert.Equal(t, len(near.proxy.dataCalls()), 0, "bodies were relayed by a node outside the home region: %v",
		near.proxy.dataCalls())
}

// A read of the log by a remote node would expose bodies and texts of other jobs to it.
func TestReadsOfRegionBoundJobsAreAnsweredInHomeRegion(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(withHomes(batchRoute("/batch/"), "north"))
	south, north := d.startInZone("south", "s1"), d.startInZone("north", "n1")
	for _, node := range []regionalNode{south, north} {
		node.awaitKnownNodes(t, 2)
	}
	ids := itemIDs(10)
	assert.Equal(t, north.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assertAllCompleted(t, d.awaitResults(south.testNode, "job1", len(ids)), ids, 4)
	body := south.call(http.MethodGet, "/items/job1?id="+ids[0], "", "")
	assert.Equal(t, body.status, http.StatusOK, body.body)
	assert.Equal(t, len(south.proxy.dataCalls()), 0, "the remote node read bodies or texts: %v", south.proxy.dataCalls())
}
