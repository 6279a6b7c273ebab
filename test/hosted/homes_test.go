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
	// dataTopics begins the names of the topics with bodies and texts: one for each set of homes.
	dataTopics     = "corkpulley.data"
	directoryTopic = "corkpulley.nodes"
)

// dataLink is one node's way to the log. It notes which calls touch bodies and texts.
type dataLink struct {
	address string
	store   http.Handler

	mu    sync.Mutex
	calls []string
	// refused: the log takes no calls of this node. Alone: it never reads of other nodes.
	refused bool
	alone   bool
}

// ServeHTTP implements http.Handler.
func (l *dataLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ofData := strings.HasPrefix(r.URL.Query().Get("topic"), dataTopics)
	l.mu.Lock()
	if ofData {
		l.calls = append(l.calls, r.URL.Path)
	}
	refused := l.refused || l.alone && r.URL.Query().Get("topic") == directoryTopic
	l.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.store.ServeHTTP(w, r)
}

// touched returns the calls that touched bodies and texts.
func (l *dataLink) touched() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.calls)
}

func (l *dataLink) refuse(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = refused
}

// regional is a node with its way to the log.
type regional struct {
	*process
	link *dataLink
}

// deployRegions returns a deployment of three regions, north, south and west, of a zone each, with an
// engine of either service in each.
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

func (d *deployment) startIn(id, zone string) regional {
	d.t.Helper()
	return d.startBehind(&dataLink{store: d.store}, id, zone)
}

func (d *deployment) startBehind(link *dataLink, id, zone string) regional {
	d.t.Helper()
	server := httptest.NewServer(link)
	d.t.Cleanup(server.Close)
	link.address = strings.TrimPrefix(server.URL, "http://")
	return regional{d.startAt(settings.Node{ID: id, Zone: zone, Region: d.zones[zone]}, link.address), link}
}

// metrics returns the node's metrics.
func (p *process) metrics() string {
	response, err := http.Get(p.operators + "/metrics")
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

func (p *process) awaitMetric(t *testing.T, line string) {
	t.Helper()
	testwait.Until(t, "the metric "+line, func() bool { return strings.Contains(p.metrics(), line+"\n") })
}

// awaitOthers waits until the node has read of so many nodes, itself among them.
func (p *process) awaitOthers(t *testing.T, nodes int) {
	t.Helper()
	testwait.Until(t, "the nodes know each other", func() bool {
		return strings.Contains(p.logs.String(), fmt.Sprintf(`"known":%d,`, nodes))
	})
}

const leads = "corkpulley_hosted_leading 1"

func runsAt(homes string) string {
	return fmt.Sprintf("corkpulley_hosted_running_homes{homes=%q} 1", homes)
}

// regionsOfRuns returns the regions of the engines that ran any of the requests.
func (d *deployment) regionsOfRuns(ids ...string) []string {
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

// bound gives a route home regions.
func bound(to route, regions ...string) route {
	to["homeRegions"] = regions
	return to
}

func TestBoundWorkStaysAtHomeWhileTheLeaderIsElsewhere(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(bound(safeRoute("/desk/"), "north"), bound(batchRoute("/batch/"), "north", "west"))
	south := d.startIn("south", "s1")
	south.awaitMetric(t, leads)
	north, west := d.startIn("north", "n1"), d.startIn("west", "w1")
	var live []string
	for i := range 20 {
		id := fmt.Sprint("live", i)
		live = append(live, id)
		for _, node := range []regional{south, north, west} {
			assert.Equal(t, node.call(http.MethodGet, "/desk/x", id, "").status, http.StatusOK)
		}
	}
	assert.DeepEqual(t, d.regionsOfRuns(live...), []string{"north"})

	ids := itemIDs(20)
	assert.Equal(t, north.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	checkWhole(t, d.awaitResults(west.process, "job1", len(ids)), ids, 4)
	for _, region := range d.regionsOfRuns(ids...) {
		assert.Assert(t, region != "south", "an item ran at an engine outside")
	}
	assert.Equal(t, len(south.link.touched()), 0, "the leader read or wrote bodies or texts: %v", south.link.touched())
	assert.Equal(t, south.call(http.MethodGet, "/lots/none", "", "").status, http.StatusNotFound)
	south.awaitMetric(t, leads)

	// The node that a client has reached itself takes its job and answers it, once it knows of the others.
	south.awaitOthers(t, 3)
	assert.Equal(t, south.call(http.MethodPost, "/batch/x", "job2", job(1, "other")).status, http.StatusAccepted)
	checkWhole(t, d.awaitResults(south.process, "job2", 1), []string{"other"}, 4)
	for _, region := range d.regionsOfRuns("other") {
		assert.Assert(t, region != "south", "an item ran at an engine outside")
	}
}

// TestTheLeaderAsksForTheWeightsThatBoundJobsWant: it orders the engines at home, which it may not send items.
func TestTheLeaderAsksForTheWeightsThatBoundJobsWant(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(bound(batchRoute("/batch/"), "north"))
	south := d.startIn("south", "s1")
	south.awaitMetric(t, leads)
	north := d.startIn("north", "n1")
	d.nameVersion(2)
	assert.Equal(t, north.call(http.MethodPost, "/batch/x", "job1", job(2, "a", "b")).status, http.StatusAccepted)
	for _, engine := range d.engines {
		if engine.ID() == "llm-north" {
			testwait.Until(t, "the engine is ordered", func() bool { return engine.Version(model) == 2 })
			d.list(engine)
		}
	}
	got := d.awaitResults(north.process, "job1", 2)
	for _, result := range got.Results {
		assert.DeepEqual(t, result.Versions, []int64{2})
	}
	assert.DeepEqual(t, d.regionsOfRuns("a", "b"), []string{"north"})
}

func TestAnotherNodeAtHomeTakesUpTheItemsOfOneThatStops(t *testing.T) {
	t.Parallel()
	const events = 150
	d := deployRegions(t, 20*time.Millisecond, events)
	d.configure(bound(batchRoute("/batch/"), "north"))
	south := d.startIn("south", "s1")
	first := d.startIn("north1", "n1")
	first.awaitMetric(t, runsAt("north"))
	second := d.startIn("north2", "n1")
	ids := itemIDs(4)
	assert.Equal(t, second.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "all items run", func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool { return d.runsOf(id) == 0 })
	})
	first.cancel()
	second.awaitMetric(t, runsAt("north"))
	checkWhole(t, d.awaitResults(second.process, "job1", len(ids)), ids, events)
	assert.DeepEqual(t, d.regionsOfRuns(ids...), []string{"north"})
	assert.Equal(t, len(south.link.touched()), 0)
}

// TestAnotherNodeAtHomeTakesUpTheItemsOfOneThatIsCutOff: that one has no way to the log any more and goes
// on with its items for a while, as a leader does.
func TestAnotherNodeAtHomeTakesUpTheItemsOfOneThatIsCutOff(t *testing.T) {
	t.Parallel()
	const events = 150
	d := deployRegions(t, 20*time.Millisecond, events)
	d.configure(bound(batchRoute("/batch/"), "north"))
	south := d.startIn("south", "s1")
	first := d.startBehind(&dataLink{store: d.store, alone: true}, "north1", "n1")
	first.awaitMetric(t, runsAt("north"))
	second := d.startIn("north2", "n1")
	ids := itemIDs(4)
	assert.Equal(t, second.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "all items run", func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool { return d.runsOf(id) == 0 })
	})
	first.link.refuse(true)
	second.awaitMetric(t, runsAt("north"))
	checkWhole(t, d.awaitResults(second.process, "job1", len(ids)), ids, events)
	assert.DeepEqual(t, d.regionsOfRuns(ids...), []string{"north"})
	assert.Equal(t, len(south.link.touched()), 0)
	first.link.refuse(false)
	second.awaitMetric(t, runsAt("north"))
}

func TestHomesThatChangeMoveTheItemsUnderWay(t *testing.T) {
	t.Parallel()
	const events = 150
	d := deployRegions(t, 20*time.Millisecond, events)
	d.configure(bound(batchRoute("/batch/"), "north"))
	south := d.startIn("south", "s1")
	south.awaitMetric(t, leads)
	north, west := d.startIn("north", "n1"), d.startIn("west", "w1")
	north.awaitMetric(t, runsAt("north"))
	ids := itemIDs(4)
	assert.Equal(t, north.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	testwait.Until(t, "all items run", func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool { return d.runsOf(id) == 0 })
	})
	assert.Equal(t, len(west.link.touched()), 0)
	d.configure(bound(batchRoute("/batch/"), "west"))
	west.awaitMetric(t, runsAt("west"))
	checkWhole(t, d.awaitResults(west.process, "job1", len(ids)), ids, events)
	assert.DeepEqual(t, d.regionsOfRuns(ids...), []string{"north", "west"})
	assert.Equal(t, len(south.link.touched()), 0)
}

func TestATenantsHomesBindItsRequestsAlone(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.tenants = []tenant{{"free", []string{"key-free"}}, {"bound", []string{"key-bound"}}, {"lost", []string{"key-lost"}}}
	d.tenantHomes = map[string][]string{"bound": {"west"}, "lost": {"east"}}
	d.configure(safeRoute("/desk/"), batchRoute("/batch/"), bound(safeRoute("/north/"), "north"))
	south := d.startIn("south", "s1")
	south.awaitMetric(t, leads)
	west := d.startIn("west", "w1")
	assert.Equal(t, south.call(http.MethodGet, "/desk/x", "a", "", "Authorization", bearer("key-free")).status, http.StatusOK)
	assert.Equal(t, south.call(http.MethodGet, "/desk/x", "b", "", "Authorization", bearer("key-bound")).status, http.StatusOK)
	assert.DeepEqual(t, d.regionsOfRuns("a"), []string{"south"})
	assert.DeepEqual(t, d.regionsOfRuns("b"), []string{"west"})

	ids := itemIDs(10)
	taken := west.call(http.MethodPost, "/batch/x", "job1", job(1, ids...), "Authorization", bearer("key-bound"))
	assert.Equal(t, taken.status, http.StatusAccepted)
	testwait.Until(t, "its results", func() bool {
		got := west.call(http.MethodGet, "/lots/job1?afterRev=0", "", "", "Authorization", bearer("key-bound"))
		return strings.Count(got.body, `"completed"`) == len(ids)
	})
	assert.DeepEqual(t, d.regionsOfRuns(ids...), []string{"west"})
	assert.Equal(t, len(south.link.touched()), 0)

	// Nobody may serve these, which is said at once.
	for path, key := range map[string]string{"/desk/x": "key-lost", "/north/x": "key-bound"} {
		got := south.call(http.MethodGet, path, "c", "", "Authorization", bearer(key))
		assert.Equal(t, got.status, http.StatusServiceUnavailable, path)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	got := south.call(http.MethodPost, "/batch/x", "job2", job(1, "lost"), "Authorization", bearer("key-lost"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, "outside_homes"), got.body)
	assert.Equal(t, len(d.regionsOfRuns("c", "lost")), 0)
}

// TestAJobThatWasTakenIsNotRefusedWhenNoNodeIsAtHomeAnyMore: a refusal says that nothing of it runs.
func TestAJobThatWasTakenIsNotRefusedWhenNoNodeIsAtHomeAnyMore(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(batchRoute("/batch/"))
	south := d.startIn("south", "s1")
	assert.Equal(t, south.call(http.MethodPost, "/batch/x", "job1", job(1, "a")).status, http.StatusAccepted)
	checkWhole(t, d.awaitResults(south.process, "job1", 1), []string{"a"}, 4)
	d.configure(bound(batchRoute("/batch/"), "east"))
	testwait.Until(t, "the configuration is in force", func() bool {
		return strings.Contains(south.logs.String(), "home region without a zone")
	})
	assert.Equal(t, south.call(http.MethodPost, "/batch/x", "job2", job(1, "b")).status, http.StatusServiceUnavailable)
	assert.Equal(t, south.call(http.MethodPost, "/batch/x", "job1", job(1, "a")).status, http.StatusAccepted)
	assert.Equal(t, d.runsOf("b"), 0)
}

// TestANodeThatTheLogRefusesSendsBodiesOnlyByWayOfHome: the node in the south, which clients still reach,
// gets to the log through others, of which the nearest is no home.
func TestANodeThatTheLogRefusesSendsBodiesOnlyByWayOfHome(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(bound(batchRoute("/batch/"), "north"))
	south, north, near := d.startIn("south", "s1"), d.startIn("north", "n1"), d.startIn("south2", "s1")
	for _, node := range []regional{south, north, near} {
		node.awaitOthers(t, 3)
	}
	south.link.refuse(true)
	testwait.Until(t, "the node goes another way", func() bool {
		return strings.Contains(south.logs.String(), "way to the log changed")
	})
	var ids []string
	for i := range 10 {
		id := fmt.Sprint("item-of-", i)
		ids = append(ids, id)
		testwait.Until(t, "the job is taken", func() bool {
			return south.call(http.MethodPost, "/batch/x", fmt.Sprint("job", i), job(1, id)).status == http.StatusAccepted
		})
	}
	for i, id := range ids {
		checkWhole(t, d.awaitResults(north.process, fmt.Sprint("job", i), 1), []string{id}, 4)
	}
	assert.Assert(t, len(north.link.touched()) > 0)
	assert.Equal(t, len(near.link.touched()), 0, "bodies went by way of a node outside: %v", near.link.touched())
}

// TestANodeOutsideHasBoundJobsAnsweredAtHome: a read of the log would show it bodies and texts of other jobs.
func TestANodeOutsideHasBoundJobsAnsweredAtHome(t *testing.T) {
	t.Parallel()
	d := deployRegions(t, 0, 4)
	d.configure(bound(batchRoute("/batch/"), "north"))
	south, north := d.startIn("south", "s1"), d.startIn("north", "n1")
	for _, node := range []regional{south, north} {
		node.awaitOthers(t, 2)
	}
	ids := itemIDs(10)
	assert.Equal(t, north.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	checkWhole(t, d.awaitResults(south.process, "job1", len(ids)), ids, 4)
	body := south.call(http.MethodGet, "/items/job1?id="+ids[0], "", "")
	assert.Equal(t, body.status, http.StatusOK, body.body)
	assert.Equal(t, len(south.link.touched()), 0, "the node outside read bodies or texts: %v", south.link.touched())
}
