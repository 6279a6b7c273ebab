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

// Places in the history of addPlacement.
const (
	engineCold      = 1
	engineRestarted = 2
)

// addPlacement adds to the sound history engines in zones, one of which has started again,
// cold engines, an evacuation, and requests that are bound to regions.
func addPlacement(h *History) {
	homes := Homes{Route: []string{"r1", "r2"}, Tenant: []string{"r2", "r3"}, Trainer: []string{"r1"}}
	h.Configs[0].Homes = homes
	homes.Route = []string{"r2"}
	h.Configs = append(h.Configs, ConfigSeen{Version: 8, SentAt: at(149.9), AckedAt: at(150), Homes: homes})
	for _, call := range []LiveCall{
		{ID: "route", Path: prefixHomed + "route", SentAt: at(50)},
		{ID: "tenant", Path: standin.PrefixLookup + "tenant", SentAt: at(50), Tenant: tenantHomed},
		{ID: "both", Path: prefixHomed + "both", SentAt: at(50), Tenant: tenantHomed},
		{ID: "soon", Path: prefixHomed + "soon", SentAt: at(152)},
		{ID: "later", Path: prefixHomed + "later", SentAt: at(160)},
	} {
		call.Kind = standin.RouteSafe
		h.Calls = append(h.Calls, call)
	}
	h.Jobs = append(h.Jobs, &JobSeen{
		Job:    standin.Job{ID: "bound", Items: []standin.JobItem{{ID: "item-h", Body: homedBody("item-h"), ScoringID: "score-h"}}},
		Tenant: tenantOf(homedTrainer), SentAt: at(50), Asked: map[int]time.Time{4: at(50)}, FinalStatus: map[string]int{},
	})
	h.addBodies(0, []byte("a record with "+homedBody("item-h")))
	h.addBodies(4, []byte(homedBody("item-h")))
	for read := range h.Bodies {
		h.Bodies[read] = at(51)
	}
	h.Engines = append(h.Engines, EngineSeen{
		ID: "e3", Service: standin.ServiceDrafts, Restarted: true, Version: 1, StartedAt: at(40),
		Orders: []standin.OrderSeen{
			{Holder: "node-0-a", Fence: 9, Version: 5, At: at(41), Expected: 3, Taken: 0, Status: 409},
			{Holder: "node-0-a", Fence: 9, Version: 5, At: at(46), Expected: 0, Taken: 0, Status: statusAccepted},
		},
	})
	for i := range h.Engines {
		h.Engines[i].Zone, h.Engines[i].Region = zoneOf(i), regionOf(i)
	}
	addRun(h, engineCold, runOf("tenant", standin.PrefixLookup+"tenant", "", 60))
	h.Engines[engineCold].Runs[len(h.Engines[engineCold].Runs)-1].Tenant = tenantHomed
	h.Engines[engineCold].Cold = []ColdSeen{{From: at(70), To: at(72)}, {From: at(80), To: at(83), Announced: true}}
	arrive(h, 0, "route", 0, 50.1)
	arrive(h, 0, "soon", 0, 152.1)
	arrive(h, 0, "item-h", 0, 50.5)
	for _, id := range []string{"route", "tenant", "both"} {
		arrive(h, engineCold, id, 0, 60)
	}
	addDense(h, 69.5, 20)
	addDense(h, 70.5, 8)
	addDense(h, 80.1, 20)
	h.Engines[engineRestarted].Spoiled = []TimeSpan{{From: at(120), To: at(128)}}
	for _, seconds := range []float64{123.9, 128.1} {
		arrive(h, engineRestarted, "tenant", 0, seconds)
	}
	h.Evacuations = []*EvacuationSeen{{Zone: zoneOf(engineCold), AckedAt: at(100), TakenBackAt: at(110)}}
	addDense(h, 104, 3)
	addDense(h, 110.1, 3)
	arrive(h, engineCold, "later", 0, 160.1)
}

// arrive adds an arrival at an engine.
func arrive(h *History, engine int, id string, node int, seconds float64) {
	h.Engines[engine].Arrivals = append(h.Engines[engine].Arrivals, standin.Arrival{
		ID: id, At: at(seconds), From: fmt.Sprintf(senderFormat, node+1),
	})
}

// addDense adds requests of several nodes at the cold engine, within less than half a second.
func addDense(h *History, seconds float64, requests int) {
	for i := range requests {
		arrive(h, engineCold, "tenant", i%3, seconds+float64(i)/50)
	}
}

func disturb(h *History, node int, from, to float64) {
	h.Disturbances = append(h.Disturbances, &Disturbance{Node: node, From: at(from), To: at(to)})
}

// placementMutants each break one promise in the history of addPlacement.
var placementMutants = []mutant{
	{"request at an evacuated zone", "EVAC", func(h *History) { arrive(h, engineCold, "tenant", 0, 106) }},
	{"request at a zone that stays evacuated", "EVAC", func(h *History) { h.Evacuations[0].TakenBackAt = time.Time{} }},
	{"request at an evacuated zone while another node is cut off", "EVAC", func(h *History) {
		arrive(h, engineCold, "tenant", 0, 106)
		disturb(h, 1, 95, 120)
	}},
	{"request of a node that is long back at an evacuated zone", "EVAC", func(h *History) {
		arrive(h, engineCold, "tenant", 0, 109)
		disturb(h, 0, 95, 104)
	}},
	{"cold engine gets one too many", "COLD", func(h *History) { h.insert(engineCold, 70.9) }},
	{"cold engine gets too many of nodes out of touch", "COLD", func(h *History) {
		h.insert(engineCold, 70.9)
		disturb(h, anyNode, 60, 80)
	}},
	{"engine that turned cold gets too many", "COLD", func(h *History) { h.Engines[engineCold].Cold[1].From = at(79.5) }},
	{"cold engine gets more across the border of two seconds", "COLD", func(h *History) {
		h.Engines[engineCold].Cold[0] = ColdSeen{From: at(69.6), To: at(72)}
	}},
	{"bound route at an engine elsewhere", "HOME", func(h *History) { arrive(h, engineRestarted, "route", 0, 60) }},
	{"bound tenant at an engine elsewhere", "HOME", func(h *History) { arrive(h, 0, "tenant", 0, 60) }},
	{"bound by both, at an engine of one", "HOME", func(h *History) { arrive(h, engineRestarted, "both", 0, 60) }},
	{"item of a bound job at an engine elsewhere", "HOME", func(h *History) { arrive(h, engineRestarted, "item-h", 0, 60) }},
	{"scoring call of a bound job at an engine elsewhere", "HOME", func(h *History) { arrive(h, engineRestarted, "score-h", 0, 60) }},
	{"homes that have been replaced", "HOME", func(h *History) { arrive(h, 0, "later", 0, 160.1) }},
	{"bound request of a node out of touch at an engine elsewhere", "HOME", func(h *History) {
		arrive(h, engineRestarted, "route", 0, 60)
		disturb(h, 0, 30, 70)
	}},
	{"node elsewhere reads a body", "HOME", func(h *History) { h.Bodies[bodyRead{1, "item-h"}] = at(51) }},
	{"node elsewhere reads a body before it is asked", "HOME", func(h *History) { h.Jobs[len(h.Jobs)-1].Asked[4] = at(52) }},
	{"order as if of the incarnation before", "LIFE", func(h *History) { h.Engines[engineRestarted].Orders[1].Expected = 3 }},
	{"engine that lost its weights gets no order", "LIFE", func(h *History) { h.Engines[engineRestarted].Orders = nil }},
	{"engine without an entry gets work", "ENTRY", func(h *History) { arrive(h, engineRestarted, "tenant", 0, 125) }},
	{"call at the address of a bad entry", "ENTRY", func(h *History) {
		h.Strays = append(h.Strays, StraySeen{Call: "POST /lookup/x", At: at(10)})
	}},
}

// insert adds an arrival at its place in time.
func (h *History) insert(engine int, seconds float64) {
	before := h.Engines[engine].Arrivals
	h.Engines[engine].Arrivals = nil
	added := false
	for _, arrival := range before {
		if !added && arrival.At.After(at(seconds)) {
			arrive(h, engine, "tenant", 0, seconds)
			added = true
		}
		h.Engines[engine].Arrivals = append(h.Engines[engine].Arrivals, arrival)
	}
}

// TestWhatPlacementAllows: what looks like a broken promise and is none.
func TestWhatPlacementAllows(t *testing.T) {
	for _, allowed := range []struct {
		name   string
		change func(h *History)
	}{
		{"a request of a node out of touch at an evacuated zone", func(h *History) {
			arrive(h, engineCold, "tenant", 0, 106)
			disturb(h, 0, 95, 103)
		}},
		{"a request of a node out of touch at an engine without an entry", func(h *History) {
			arrive(h, engineRestarted, "tenant", 0, 125)
			disturb(h, 0, 118, 122)
		}},
		{"a request at another zone", func(h *History) { arrive(h, engineRestarted, "tenant", 0, 106) }},
		{"homes that a node out of touch still has", func(h *History) {
			arrive(h, 0, "later", 0, 160.1)
			disturb(h, 0, 140, 159)
		}},
		{"an engine that lost its weights in an evacuated zone", func(h *History) {
			h.Engines[engineRestarted].Orders = nil
			h.Evacuations = append(h.Evacuations, &EvacuationSeen{Zone: zoneOf(engineRestarted), AckedAt: at(39), TakenBackAt: at(45)})
		}},
		{"an engine that starts again once more", func(h *History) {
			h.Engines[engineRestarted].Orders, h.Engines[engineRestarted].EndedAt = nil, at(45)
		}},
		{"an engine that has the newest weights", func(h *History) {
			h.Engines[engineRestarted].Orders, h.Engines[engineRestarted].Version = nil, 5
		}},
	} {
		t.Run(allowed.name, func(t *testing.T) {
			h := sound()
			allowed.change(h)
			assert.DeepEqual(t, Check(h, bounds), []Violation(nil))
		})
	}
}

// TestPlacementFaultsFollowFromTheSeedAlone: every kind is drawn, no other fault outside
// disturbed phases, and a family that is left out changes no other fault.
func TestPlacementFaultsFollowFromTheSeedAlone(t *testing.T) {
	const length = 30 * time.Minute
	faults := DrawPlacement(7, length)
	assert.DeepEqual(t, DrawPlacement(7, length), faults)
	drawn := make(map[Kind]bool)
	for i, fault := range faults {
		drawn[fault.Kind] = true
		assert.Equal(t, fault.Number, i+1)
		assert.Assert(t, fault.At >= calmStart && fault.At+fault.For <= length-calmEnd)
		_, ours := placementSpans[fault.Kind]
		assert.Assert(t, ours || fault.At%disturbedPeriod < disturbedLength+nextInSeries, "%s", fault)
	}
	for _, each := range append(slices.Clone(placementWeights), besideWeights...) {
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

// TestSeedsKeepTheirPlacementFaults: kept seeds play the faults under which they failed.
func TestSeedsKeepTheirPlacementFaults(t *testing.T) {
	var printed strings.Builder
	printSchedule(&printed, DrawPlacement(5, 12*time.Second))
	assert.Equal(t, printed.String(), `  1     2.92 s  for  0.19 s  engine-restarted       target 4065
  2     5.08 s  for  2.61 s  zone-evacuated         target 3193
  3     5.26 s  for  0.53 s  all-killed             target leader
  4     8.23 s  for  0.20 s  engine-restarted       target 40191
`)
}
