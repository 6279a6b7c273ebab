package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// Indexes of engines in the history of addPlacement.
const (
	engineCold      = 1
	engineRestarted = 2
)

// addPlacement adds to a valid history zones, a restarted engine, cold engines, an evacuation, and
// requests that are pinned to regions.
func addPlacement(h *History) {
	homes := Homes{Route: []string{"r1", "r2"}, Tenant: []string{"r2", "r3"}, Trainer: []string{"r1"}}
	h.Configs[0].Homes = homes
	homes.Route = []string{"r2"}
	h.Configs = append(h.Configs, ConfigRecord{Version: 8, SentAt: at(149.9), AckedAt: at(150), Homes: homes})
	for _, call := range []LiveCall{
		{ID: "route", Path: prefixPinned + "route", SentAt: at(50)},
		{ID: "tenant", Path: standin.PrefixLookup + "tenant", SentAt: at(50), Tenant: tenantPinned},
		{ID: "both", Path: prefixPinned + "both", SentAt: at(50), Tenant: tenantPinned},
		{ID: "soon", Path: prefixPinned + "soon", SentAt: at(152)},
		{ID: "later", Path: prefixPinned + "later", SentAt: at(160)},
	} {
		call.Kind = standin.RouteSafe
		h.Calls = append(h.Calls, call)
	}
	h.Jobs = append(h.Jobs, &JobRecord{
		Job:    standin.Job{ID: "bound", Items: []standin.JobItem{{ID: "item-h", Body: pinnedBody("item-h"), ScoringID: "score-h"}}},
		Tenant: tenantOf(pinnedTrainer), SentAt: at(50), FirstRequestAt: map[int]time.Time{4: at(50)}, FailedReads: map[string]int{},
	})
	h.recordBodyReads(0, []byte("a record with "+pinnedBody("item-h")))
	h.recordBodyReads(4, []byte(pinnedBody("item-h")))
	for read := range h.BodyReads {
		h.BodyReads[read] = at(51)
	}
	h.Engines = append(h.Engines, EngineRecord{
		ID: "e3", Service: standin.ServiceDrafts, Restarted: true, Version: 1, StartedAt: at(40),
		Orders: []standin.ReceivedOrder{
			{Holder: "node-0-a", Fence: 9, Version: 5, At: at(41), ExpectedCount: 3, AcceptedCount: 0, Status: 409},
			{Holder: "node-0-a", Fence: 9, Version: 5, At: at(46), ExpectedCount: 0, AcceptedCount: 0, Status: statusAccepted},
		},
	})
	for i := range h.Engines {
		h.Engines[i].Zone, h.Engines[i].Region = zoneOf(i), regionOf(i)
	}
	addRun(h, engineCold, runOf("tenant", standin.PrefixLookup+"tenant", "", 60))
	h.Engines[engineCold].Runs[len(h.Engines[engineCold].Runs)-1].Tenant = tenantPinned
	h.Engines[engineCold].Cold = []ColdPeriod{{From: at(70), To: at(72)}, {From: at(80), To: at(83), Announced: true}}
	addArrival(h, 0, "route", 0, 50.1)
	addArrival(h, 0, "soon", 0, 152.1)
	addArrival(h, 0, "item-h", 0, 50.5)
	for _, id := range []string{"route", "tenant", "both"} {
		addArrival(h, engineCold, id, 0, 60)
	}
	addBurst(h, 69.5, 20)
	addBurst(h, 70.5, 8)
	addBurst(h, 80.1, 20)
	h.Engines[engineRestarted].EntryInvalid = []TimeSpan{{From: at(120), To: at(128)}}
	for _, seconds := range []float64{123.9, 128.1} {
		addArrival(h, engineRestarted, "tenant", 0, seconds)
	}
	h.Evacuations = []*EvacuationRecord{{Zone: zoneOf(engineCold), AckedAt: at(100), LiftedAt: at(110)}}
	addBurst(h, 104, 3)
	addBurst(h, 110.1, 3)
	addArrival(h, engineCold, "later", 0, 160.1)
}

// addArrival adds an arrival at an engine.
func addArrival(h *History, engine int, id string, node int, seconds float64) {
	h.Engines[engine].Arrivals = append(h.Engines[engine].Arrivals, standin.Arrival{
		ID: id, At: at(seconds), From: fmt.Sprintf(nodeAddressFormat, node+1),
	})
}

// addBurst adds requests of several nodes to the cold engine within less than half a second.
func addBurst(h *History, seconds float64, requests int) {
	for i := range requests {
		addArrival(h, engineCold, "tenant", i%3, seconds+float64(i)/50)
	}
}

func disturb(h *History, node int, from, to float64) {
	h.Disturbances = append(h.Disturbances, &Disturbance{Node: node, From: at(from), To: at(to)})
}

// placementMutations each violate one invariant of the history of addPlacement.
var placementMutations = []mutation{
	{"request to an evacuated zone", "EVAC", func(h *History) { addArrival(h, engineCold, "tenant", 0, 106) }},
	{"request to a zone that stays evacuated", "EVAC", func(h *History) { h.Evacuations[0].LiftedAt = time.Time{} }},
	{"request to an evacuated zone while another node is disturbed", "EVAC", func(h *History) {
		addArrival(h, engineCold, "tenant", 0, 106)
		disturb(h, 1, 95, 120)
	}},
	{"request to an evacuated zone from a node that was disturbed long before", "EVAC", func(h *History) {
		addArrival(h, engineCold, "tenant", 0, 109)
		disturb(h, 0, 95, 104)
	}},
	{"cold engine gets one request too many", "COLD", func(h *History) { h.insertArrival(engineCold, 70.9) }},
	{"cold engine gets too many requests of disturbed nodes", "COLD", func(h *History) {
		h.insertArrival(engineCold, 70.9)
		disturb(h, anyNode, 60, 80)
	}},
	{"engine that turned cold gets too many requests", "COLD", func(h *History) { h.Engines[engineCold].Cold[1].From = at(79.5) }},
	{"cold engine gets too many requests across two calendar seconds", "COLD", func(h *History) {
		h.Engines[engineCold].Cold[0] = ColdPeriod{From: at(69.6), To: at(72)}
	}},
	{"pinned route at an engine in another region", "HOME", func(h *History) { addArrival(h, engineRestarted, "route", 0, 60) }},
	{"pinned tenant at an engine in another region", "HOME", func(h *History) { addArrival(h, 0, "tenant", 0, 60) }},
	{"route and tenant pinned, at an engine that satisfies only one", "HOME", func(h *History) { addArrival(h, engineRestarted, "both", 0, 60) }},
	{"item of a pinned job at an engine in another region", "HOME", func(h *History) { addArrival(h, engineRestarted, "item-h", 0, 60) }},
	{"scoring call of a pinned job at an engine in another region", "HOME", func(h *History) { addArrival(h, engineRestarted, "score-h", 0, 60) }},
	{"homes of a replaced configuration", "HOME", func(h *History) { addArrival(h, 0, "later", 0, 160.1) }},
	{"pinned request of a disturbed node at an engine in another region", "HOME", func(h *History) {
		addArrival(h, engineRestarted, "route", 0, 60)
		disturb(h, 0, 30, 70)
	}},
	{"node in another region reads a body", "HOME", func(h *History) { h.BodyReads[bodyRead{1, "item-h"}] = at(51) }},
	{"node in another region reads a body before it is asked", "HOME", func(h *History) { h.Jobs[len(h.Jobs)-1].FirstRequestAt[4] = at(52) }},
	{"order that counts those of the previous incarnation", "LIFE", func(h *History) { h.Engines[engineRestarted].Orders[1].ExpectedCount = 3 }},
	{"engine that lost its weights gets no order", "LIFE", func(h *History) { h.Engines[engineRestarted].Orders = nil }},
	{"engine with an invalid entry gets work", "ENTRY", func(h *History) { addArrival(h, engineRestarted, "tenant", 0, 125) }},
	{"call to the address of an invalid entry", "ENTRY", func(h *History) {
		h.InvalidEntryCalls = append(h.InvalidEntryCalls, InvalidEntryCall{Call: "POST /lookup/x", At: at(10)})
	}},
}

// insertArrival adds an arrival in order of time.
func (h *History) insertArrival(engine int, seconds float64) {
	before := h.Engines[engine].Arrivals
	h.Engines[engine].Arrivals = nil
	added := false
	for _, arrival := range before {
		if !added && arrival.At.After(at(seconds)) {
			addArrival(h, engine, "tenant", 0, seconds)
			added = true
		}
		h.Engines[engine].Arrivals = append(h.Engines[engine].Arrivals, arrival)
	}
}

// Guards against false positives of the placement checks.
func TestCheckPlacementAllowedHistories(t *testing.T) {
	for _, allowed := range []struct {
		name   string
		change func(h *History)
	}{
		{"a request of a disturbed node to an evacuated zone", func(h *History) {
			addArrival(h, engineCold, "tenant", 0, 106)
			disturb(h, 0, 95, 103)
		}},
		{"a request of a disturbed node to an engine with an invalid entry", func(h *History) {
			addArrival(h, engineRestarted, "tenant", 0, 125)
			disturb(h, 0, 118, 122)
		}},
		{"a request to another zone", func(h *History) { addArrival(h, engineRestarted, "tenant", 0, 106) }},
		{"homes that a disturbed node still has", func(h *History) {
			addArrival(h, 0, "later", 0, 160.1)
			disturb(h, 0, 140, 159)
		}},
		{"an engine that lost its weights in an evacuated zone", func(h *History) {
			h.Engines[engineRestarted].Orders = nil
			h.Evacuations = append(h.Evacuations, &EvacuationRecord{Zone: zoneOf(engineRestarted), AckedAt: at(39), LiftedAt: at(45)})
		}},
		{"an engine that restarts once more", func(h *History) {
			h.Engines[engineRestarted].Orders, h.Engines[engineRestarted].EndedAt = nil, at(45)
		}},
		{"an engine that has the newest weights", func(h *History) {
			h.Engines[engineRestarted].Orders, h.Engines[engineRestarted].Version = nil, 5
		}},
	} {
		t.Run(allowed.name, func(t *testing.T) {
			h := validHistory()
			allowed.change(h)
			assert.DeepEqual(t, Check(h, bounds), []Violation(nil))
		})
	}
}

// Every kind must be drawn, other faults only in disturbed phases; leaving out a family must not change
// other faults.
func TestDrawPlacementDeterministic(t *testing.T) {
	const length = 30 * time.Minute
	faults := DrawPlacement(7, length)
	assert.DeepEqual(t, DrawPlacement(7, length), faults)
	drawn := make(map[Kind]bool)
	for i, fault := range faults {
		drawn[fault.Kind] = true
		assert.Equal(t, fault.Number, i+1)
		assert.Assert(t, fault.At >= faultFreeStart && fault.At+fault.Duration <= length-faultFreeEnd)
		_, isPlacementFault := placementDurations[fault.Kind]
		assert.Assert(t, isPlacementFault || fault.At%disturbedPeriod < disturbedLength+maxSeriesStep, "%s", fault)
	}
	for _, each := range append(slices.Clone(placementWeights), concurrentWeights...) {
		assert.Assert(t, drawn[each.kind], "%s is never drawn", each.kind)
	}
	for _, family := range families {
		var kept []Fault
		for _, fault := range faults {
			if familyOf[fault.Kind] != family {
				kept = append(kept, fault)
			}
		}
		assert.DeepEqual(t, withoutFamilies(slices.Clone(faults), []Family{family}), kept)
	}
}

// Regression seeds must replay the faults under which they failed.
func TestDrawPlacementStableForSeed(t *testing.T) {
	var printed strings.Builder
	printSchedule(&printed, DrawPlacement(5, 12*time.Second))
	assert.Equal(t, printed.String(), `  1     2.92 s  for  0.19 s  engine-restarted       target 4065
  2     5.08 s  for  2.61 s  zone-evacuated         target 3193
  3     5.26 s  for  0.53 s  all-killed             target leader
  4     8.23 s  for  0.20 s  engine-restarted       target 40191
`)
}
