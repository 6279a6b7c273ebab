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

// evacuate writes the operator's record for a zone, takeBack takes it away.
func (d *deployment) evacuate(zone string) {
	d.store.Log.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
}

func (d *deployment) takeBack(zone string) { d.store.Log.Put("keyed.op", "evacuate/"+zone, nil) }

// zone returns the node's view of a zone; false when it knows of none.
func (p *process) zone(name string) (api.ZoneStatus, bool) {
	response, err := http.Get(p.operators + "/v1/zones")
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

// awaitEvacuated waits until nodes have an evacuation in force, or have taken it back.
func awaitEvacuated(t *testing.T, zone string, evacuated bool, nodes ...*process) {
	t.Helper()
	for _, node := range nodes {
		testwait.Until(t, fmt.Sprintf("zone %s evacuated: %t", zone, evacuated), func() bool {
			status, found := node.zone(zone)
			return found && status.Evacuated == evacuated
		})
	}
}

// inZone starts engines of both services in a zone.
func (d *deployment) inZone(zone string) (lookups, models *standin.Engine) {
	lookups = d.addEngine(standin.EngineOptions{ID: "desk-" + zone, Service: "desk", Zone: zone})
	models = d.addEngine(standin.EngineOptions{
		ID: "llm-" + zone, Service: "llm", Zone: zone, Versions: map[string]int64{model: 1},
		LoadTime: 50 * time.Millisecond, CheckFences: true,
	})
	return lookups, models
}

// deployZones starts engines in two zones.
func deployZones(t *testing.T) (d *deployment, inA, inB []*standin.Engine) {
	d = deploy(t)
	lookupsA, modelsA := d.inZone("za")
	lookupsB, modelsB := d.inZone("zb")
	d.configure(safeRoute("/a/"), safeRoute("/scoring/"), batchRoute("/batch/"))
	return d, []*standin.Engine{lookupsA, modelsA}, []*standin.Engine{lookupsB, modelsB}
}

// runs counts what the engines have begun.
func runs(engines []*standin.Engine) int {
	count := 0
	for _, engine := range engines {
		count += len(engine.Runs())
	}
	return count
}

// work has each node serve live requests and a batch job with scoring calls.
func (d *deployment) work(t *testing.T, name string, nodes ...*process) {
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
		assert.Equal(t, node.call(http.MethodPost, "/batch/x", id, scoredJob(1, ids...)).status, http.StatusAccepted)
		checkWhole(t, d.awaitResults(node, id, len(ids)), ids, 4)
	}
}

// TestNothingIsSentToAnEvacuatedZone: no live request, item, scoring call or order of weights; and after
// the zone is taken back all of them.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	t.Parallel()
	d, inA, inB := deployZones(t)
	nodes := []*process{d.start("n1"), d.start("n2")}
	d.evacuate("za")
	awaitEvacuated(t, "za", true, nodes...)
	d.work(t, "held", nodes...)
	assert.Equal(t, runs(inA), 0)
	d.nameVersion(2)
	testwait.Until(t, "the engine of the other zone has loaded", func() bool { return inB[1].Version(model) == 2 })
	assert.Equal(t, len(inA[1].Orders()), 0)
	d.takeBack("za")
	awaitEvacuated(t, "za", false, nodes...)
	testwait.Until(t, "the engine of the zone has loaded", func() bool { return inA[1].Version(model) == 2 })
	round := 0
	testwait.Until(t, "work at both engines of the zone", func() bool {
		round++
		d.work(t, fmt.Sprint("back", round, "-"), nodes...)
		return len(inA[0].Runs()) > 0 && len(inA[1].Runs()) > 0
	})
}

// TestWithAllZonesEvacuatedRequestsAreRefusedAndItemsWait: the refusals say at once that nothing ran
// and when to come again.
func TestWithAllZonesEvacuatedRequestsAreRefusedAndItemsWait(t *testing.T) {
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
	assert.Equal(t, node.call(http.MethodPost, "/batch/x", "job1", job(1, ids...)).status, http.StatusAccepted)
	assert.Equal(t, runs(inA)+runs(inB), 0)
	d.takeBack("zb")
	checkWhole(t, d.awaitResults(node, "job1", len(ids)), ids, 4)
	assert.Equal(t, runs(inA), 0)
}

// TestANodeThatStartsKnowsTheEvacuationsBeforeItServes.
func TestANodeThatStartsKnowsTheEvacuationsBeforeItServes(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	d.evacuate("za")
	node := d.start("n1")
	d.work(t, "first", node)
	assert.Equal(t, runs(inA), 0)
	status, _ := node.zone("za")
	assert.Assert(t, status.Evacuated)
}

// cutLink is a node's way to the log, which can be cut.
type cutLink struct {
	address string
	cut     atomic.Bool
}

func (d *deployment) newCutLink(t *testing.T) *cutLink {
	t.Helper()
	link := &cutLink{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		if !link.cut.Load() {
			d.store.ServeHTTP(answer, r)
		}
		// A read that waited at the log is cut as well.
		if link.cut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	link.address = strings.TrimPrefix(server.URL, "http://")
	return link
}

// TestANodeThatTheLogTurnsAwayLearnsThroughOthers: of an evacuation, and that it was taken back.
func TestANodeThatTheLogTurnsAwayLearnsThroughOthers(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	d.start("n1")
	link := d.newCutLink(t)
	node := d.startThrough("n2", link.address)
	testwait.Until(t, "the node knows the other", func() bool { return strings.Contains(node.logs.String(), `"listed":2`) })
	link.cut.Store(true)
	d.evacuate("za")
	awaitEvacuated(t, "za", true, node)
	d.work(t, "held", node)
	assert.Equal(t, runs(inA), 0)
	d.takeBack("za")
	awaitEvacuated(t, "za", false, node)
}

// TestReadersOfReplicasLearnOfEvacuations: in a large cluster most nodes do not read the log.
func TestReadersOfReplicasLearnOfEvacuations(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	d.listDistantNodes()
	nodes := []*process{d.start("n1"), d.start("n2"), d.start("n3")}
	_, others := replicaOf(t, nodes)
	d.evacuate("za")
	awaitEvacuated(t, "za", true, nodes...)
	for request := range 20 {
		got := others[0].call(http.MethodPost, "/a/x", fmt.Sprint("r", request), "body")
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, runs(inA), 0)
	d.takeBack("za")
	awaitEvacuated(t, "za", false, nodes...)
}

// TestTheNextLeaderKeepsTheEvacuation: the one before loses the log, and its lease with it.
func TestTheNextLeaderKeepsTheEvacuation(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	link := d.newCutLink(t)
	leader := d.startThrough("n1", link.address)
	testwait.Until(t, "a leader", func() bool { return strings.Contains(leader.logs.String(), "leadership gained") })
	next := d.start("n2")
	d.evacuate("za")
	awaitEvacuated(t, "za", true, leader, next)
	link.cut.Store(true)
	testwait.Until(t, "another leader", func() bool { return strings.Contains(next.logs.String(), "leadership gained") })
	d.work(t, "next", next)
	assert.Equal(t, runs(inA), 0)
}

// TestAZoneEvacuatedAgainRightAfterItsReturnStaysEvacuated: also where both changes come in one read.
func TestAZoneEvacuatedAgainRightAfterItsReturnStaysEvacuated(t *testing.T) {
	t.Parallel()
	d, inA, _ := deployZones(t)
	node := d.start("n1")
	for range 5 {
		d.evacuate("za")
		d.takeBack("za")
	}
	d.evacuate("za")
	d.evacuate("nowhere")
	awaitEvacuated(t, "nowhere", true, node)
	awaitEvacuated(t, "za", true, node)
	status, _ := node.zone("nowhere")
	assert.Equal(t, status.Engines, 0)
	d.work(t, "held", node)
	assert.Equal(t, runs(inA), 0)
}

// order sends an operator's order about a zone to a node.
func (p *process) order(t *testing.T, method, zone string) (status int, code string) {
	t.Helper()
	request, err := http.NewRequest(method, p.operators+"/v1/zones/"+zone+"/evacuation", nil)
	assert.NilError(t, err)
	got := send(request)
	assert.NilError(t, got.err)
	var body api.ErrorBody
	_ = json.Unmarshal([]byte(got.body), &body)
	return got.status, body.Error.Code
}

// TestOperatorsEvacuateThroughAnyNode: all nodes have it in force then; a name that is none is refused,
// and so is everything while the log is away.
func TestOperatorsEvacuateThroughAnyNode(t *testing.T) {
	t.Parallel()
	d, _, _ := deployZones(t)
	nodes := []*process{d.start("n1"), d.start("n2")}
	status, _ := nodes[0].order(t, http.MethodPut, "za")
	assert.Equal(t, status, http.StatusOK)
	awaitEvacuated(t, "za", true, nodes...)
	status, _ = nodes[1].order(t, http.MethodDelete, "za")
	assert.Equal(t, status, http.StatusOK)
	awaitEvacuated(t, "za", false, nodes...)
	status, code := nodes[0].order(t, http.MethodPut, "z%20a")
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, code, "invalid_request")
	d.store.Refuse(func(*http.Request) int { return http.StatusServiceUnavailable })
	status, code = nodes[0].order(t, http.MethodPut, "zb")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, code, "log_unavailable")
}
