package hosted

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// evacuate writes the operator's evacuation record of a zone; cancelEvacuation deletes it.
func (d *deployment) evacuate(zone string) {
	d.store.Log.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
}

func (d *deployment) cancelEvacuation(zone string) {
	d.store.Log.Put("keyed.op", "evacuate/"+zone, nil)
}

// zone returns the status of a zone as the node reports it; false when it reports none.
func (n *testNode) zone(name string) (api.ZoneStatus, bool) {
	response, err := http.Get(n.operatorURL + "/v1/zones")
	if err != nil {
		return api.ZoneStatus{}, false
	}
	defer response.Body.Close()
	var zones api.Zones
	if json.NewDecoder(response.Body).Decode(&zones) != nil {
		return api.ZoneStatus{}, false
	}
	for _, zone := range zones.Zones {
		if zone.Zone == name {
			return zone, true
		}
	}
	return api.ZoneStatus{}, false
}

// awaitEvacuated waits until the nodes report the zone as evacuated or not.
func awaitEvacuated(t *testing.T, zone string, evacuated bool, nodes ...*testNode) {
	t.Helper()
	for _, node := range nodes {
		testwait.Until(t, fmt.Sprintf("zone %s evacuated: %t", zone, evacuated), func() bool {
			status, found := node.zone(zone)
			return found && status.Evacuated == evacuated
		})
	}
}

// addZoneEngines starts an engine of each service in a zone.
func (d *deployment) addZoneEngines(zone string) (desk, llm *standin.Engine) {
	desk = d.addEngine(standin.EngineOptions{ID: "desk-" + zone, Service: "desk", Zone: zone})
	llm = d.addEngine(standin.EngineOptions{
		ID: "llm-" + zone, Service: "llm", Zone: zone, Versions: map[string]int64{model: 1},
		LoadTime: 50 * time.Millisecond, CheckFences: true,
	})
	return desk, llm
}

// deployZones starts an engine of each service in each of two zones. Of the engines of a zone, the first is of the
// desk service and the second of the model service.
func deployZones(t *testing.T) (d *deployment, inA, inB []*standin.Engine) {
	d = deploy(t)
	deskA, llmA := d.addZoneEngines("za")
	deskB, llmB := d.addZoneEngines("zb")
	d.configure(safeRoute("/a/"), safeRoute("/scoring/"), batchRoute("/batch/"))
	return d, []*standin.Engine{deskA, llmA}, []*standin.Engine{deskB, llmB}
}

// totalRuns counts the runs that the engines have started.
func totalRuns(engines []*standin.Engine) int {
	count := 0
	for _, engine := range engines {
		count += len(engine.Runs())
	}
	return count
}

// runWorkload has each node serve live requests and a batch job with scoring calls.
func (d *deployment) runWorkload(t *testing.T, name string, nodes ...*testNode) {
	t.Helper()
	for number, node := range nodes {
		for request := range 20 {
			got := node.call(http.MethodPost, "/a/x", fmt.Sprint(name, number, "-", request), "body")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
		}
		var ids []string
		for item := range 10 {
			ids = append(ids, fmt.Sprint(name, number, "item", item))
		}
		id := fmt.Sprint(name, number)
		assert.Equal(t, node.call(http.MethodPost, "/batch/x", id, scoredJobBody(1, ids...)).status, http.StatusAccepted)
		assertAllCompleted(t, d.awaitResults(node, id, len(ids)), ids, 4)
	}
}

// Covers live requests, items, scoring calls and weight orders; all resume after the evacuation is canceled.
func TestEvacuatedZoneReceivesNoWork(t *testing.T) {
	t.Parallel()
	d, inA, inB := deployZones(t)
	nodes := []*testNode{d.start("n1"), d.start("n2")}
	d.evacuate("za")
	awaitEvacuated(t, "za", true, nodes...)
	d.runWorkload(t, "held", nodes...)
	assert.Equal(t, totalRuns(inA), 0)
	d.publishVersion(2)
	testwait.Until(t, "the engine of the other zone to load", func() bool { return inB[1].Version(model) == 2 })
	assert.Equal(t, len(inA[1].Orders()), 0)
	d.cancelEvacuation("za")
	awaitEvacuated(t, "za", false, nodes...)
	testwait.Until(t, "the engine of the zone to load", func() bool { return inA[1].Version(model) == 2 })
	round := 0
	testwait.Until(t, "work at both engines of the zone", func() bool {
		round++
		d.runWorkload(t, fmt.Sprint("back", round, "-"), nodes...)
		return len(inA[0].Runs()) > 0 && len(inA[1].Runs()) > 0
	})
}

// Rejections state that nothing ran and when to retry.
func TestAllZonesEvacuatedRejectsRequestsAndQueuesItems(t *testing.T) {
	t.Parallel()
	d, inA, inB := deployZones(t)
	node := d.start("n1")
	d.evacuate("za")
	d.evacuate("zb")
	awaitEvacuated(t, "za", true, node)
	awaitEvacuated(t, "zb", true, node)
	got := node.call(http.MethodPost, "/a/x", "refused", "body")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, "evacuated"), got.body)
	delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, delay > 0)
	ids := itemIDs(5)
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", jobBody(1, ids...)).status, http.StatusAccepted)
	assert.Equal(t, totalRuns(inA)+totalRuns(inB), 0)
	d.cancelEvacuation("zb")
	assertAllCompleted(t, d.awaitResults(node, "job1", len(ids)), ids, 4)
	assert.Equal(t, totalRuns(inA), 0)
}

func TestStartingNodeReadsEvacuationsBeforeServing(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	d.evacuate("za")
	node := d.start("n1")
	d.runWorkload(t, "first", node)
	assert.Equal(t, totalRuns(inA), 0)
	status, _ := node.zone("za")
	assert.Assert(t, status.Evacuated)
}

// cuttableLog is a node's proxy to the log, which can be cut off.
type cuttableLog struct {
	address string
	cut     atomic.Bool
}

func (d *deployment) newCuttableLog(t *testing.T) *cuttableLog {
	t.Helper()
	proxy := &cuttableLog{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := httptest.NewRecorder()
		if !proxy.cut.Load() {
			d.store.ServeHTTP(response, r)
		}
		// Long polls that were waiting at the log fail, too.
		if proxy.cut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		maps.Copy(w.Header(), response.Header())
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	proxy.address = strings.TrimPrefix(server.URL, "http://")
	return proxy
}

// Guards against a node that keeps sending to an evacuated zone because it cannot read the log.
func TestNodeCutOffFromLogLearnsEvacuationsFromPeers(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	d.start("n1")
	proxy := d.newCuttableLog(t)
	node := d.startWithLog("n2", proxy.address)
	testwait.Until(t, "the node to know its peer", func() bool { return strings.Contains(node.logs.String(), `"listed":2`) })
	proxy.cut.Store(true)
	d.evacuate("za")
	awaitEvacuated(t, "za", true, node)
	d.runWorkload(t, "held", node)
	assert.Equal(t, totalRuns(inA), 0)
	d.cancelEvacuation("za")
	awaitEvacuated(t, "za", false, node)
}

// In a large cluster most nodes follow the log through replicas.
func TestReplicaReadersLearnOfEvacuations(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	d.listRemoteNodes()
	nodes := []*testNode{d.start("n1"), d.start("n2"), d.start("n3")}
	_, others := awaitReplica(t, nodes)
	d.evacuate("za")
	awaitEvacuated(t, "za", true, nodes...)
	for request := range 20 {
		got := others[0].call(http.MethodPost, "/a/x", fmt.Sprint("r", request), "body")
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, totalRuns(inA), 0)
	d.cancelEvacuation("za")
	awaitEvacuated(t, "za", false, nodes...)
}

// The first leader loses its lease because it is cut off from the log.
func TestNewLeaderKeepsEvacuation(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	proxy := d.newCuttableLog(t)
	leader := d.startWithLog("n1", proxy.address)
	testwait.Until(t, "a leader", func() bool { return strings.Contains(leader.logs.String(), "leadership gained") })
	next := d.start("n2")
	d.evacuate("za")
	awaitEvacuated(t, "za", true, leader, next)
	proxy.cut.Store(true)
	testwait.Until(t, "another leader", func() bool { return strings.Contains(next.logs.String(), "leadership gained") })
	d.runWorkload(t, "next", next)
	assert.Equal(t, totalRuns(inA), 0)
}

// Both changes may arrive in one read of the log.
func TestZoneEvacuatedAgainRightAfterCancelStaysEvacuated(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	node := d.start("n1")
	for range 5 {
		d.evacuate("za")
		d.cancelEvacuation("za")
	}
	d.evacuate("za")
	d.evacuate("nowhere")
	awaitEvacuated(t, "nowhere", true, node)
	awaitEvacuated(t, "za", true, node)
	status, _ := node.zone("nowhere")
	assert.Equal(t, status.Engines, 0)
	d.runWorkload(t, "held", node)
	assert.Equal(t, totalRuns(inA), 0)
}

// requestEvacuation calls a node's evacuation API for a zone and returns the status and the error code.
func (n *testNode) requestEvacuation(t *testing.T, method, zone string) (status int, code string) {
	t.Helper()
	request, err := http.NewRequest(method, n.operatorURL+"/v1/zones/"+zone+"/evacuation", nil)
	assert.NilError(t, err)
	got := send(request)
	assert.NilError(t, got.err)
	var body api.ErrorBody
	_ = json.Unmarshal([]byte(got.body), &body)
	return got.status, body.Error.Code
}

// Invalid zone names are rejected, and so are all calls while the log is down.
func TestEvacuationAPIWorksAtAnyNode(t *testing.T) {
	t.Parallel()
	d, _, _ := deployZones(t)
	nodes := []*testNode{d.start("n1"), d.start("n2")}
	status, _ := nodes[0].requestEvacuation(t, http.MethodPut, "za")
	assert.Equal(t, status, http.StatusOK)
	awaitEvacuated(t, "za", true, nodes...)
	status, _ = nodes[1].requestEvacuation(t, http.MethodDelete, "za")
	assert.Equal(t, status, http.StatusOK)
	awaitEvacuated(t, "za", false, nodes...)
	status, code := nodes[0].requestEvacuation(t, http.MethodPut, "z%20a")
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, code, "invalid_request")
	d.store.SetRefusal(func(*http.Request) int { return http.StatusServiceUnavailable })
	status, code = nodes[0].requestEvacuation(t, http.MethodPut, "zb")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, code, "log_unavailable")
}
