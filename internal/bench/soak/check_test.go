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

var (
	start  = time.Unix(1_000_000, 0)
	bounds = DefaultBounds()
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// textOf is the whole output of an item, produced by one version.
func textOf(id string, version int64) string {
	text := ""
	for number := 1; number <= eventsOf(id); number++ {
		if number > 1 {
			text += "\n"
		}
		text += eventData(id, number, version)
	}
	return text
}

func streamResponse(id string) standin.LiveResponse {
	answer := standin.LiveResponse{Status: statusOK, ID: id, Stamped: true}
	for number := 1; number <= eventsOf(id); number++ {
		answer.Events = append(answer.Events, eventData(id, number, 3))
		answer.EventIDs = append(answer.EventIDs, int64(number))
	}
	return answer
}

func plainResponse(id string) standin.LiveResponse {
	return standin.LiveResponse{Status: statusOK, ID: id, Stamped: true, Body: standin.PlainBody(id)}
}

func runOf(id, path, body string, seconds float64) standin.Run {
	run := standin.Run{ID: id, Path: path, Body: body, At: at(seconds), Tenant: tenantLive}
	if strings.HasPrefix(path, standin.PrefixDrafts) || strings.HasPrefix(path, standin.PrefixScoring) {
		run.Tenant = tenantOf(0)
	}
	return run
}

// Indexes of the calls in validHistory.
const (
	callSafe = iota
	callUnsafe
	callStream
	callRefused
)

// validHistory is a history that satisfies every invariant.
func validHistory() *History {
	job := &JobRecord{
		Job: standin.Job{ID: "job", MinVersion: 3, Items: []standin.JobItem{
			{ID: "item-1", Body: "b1", ScoringID: "score-1"}, {ID: "item-2", Body: "b2"}, {ID: failPrefix + "3", Body: "b3"},
		}},
		Tenant: tenantOf(0), Accepted: true, Complete: true, CancelSentAt: at(20), EndedAt: at(20.1), FailedReads: map[string]int{},
		Positions: []standin.ItemResult{
			{ID: "item-2", State: standin.StateCompleted, Text: textOf("item-2", 4), Versions: []int64{4}},
			{ID: failPrefix + "3", State: "expired"},
			{ID: "item-1", State: standin.StateCompleted, Text: textOf("item-1", 3), Versions: []int64{3}, Score: standin.Stamp("score-1")},
		},
	}
	refused := &JobRecord{
		Job:    standin.Job{ID: "refused", Items: []standin.JobItem{{ID: "item-9", Body: "b9"}}},
		Tenant: tenantOf(0), AllRejected: true, FailedReads: map[string]int{},
	}
	open := &JobRecord{
		Job:    standin.Job{ID: "open", Items: []standin.JobItem{{ID: "item-5", Body: "b5"}}},
		Tenant: tenantOf(0), Accepted: true, Complete: true, FailedReads: map[string]int{},
		Positions: []standin.ItemResult{
			{ID: "item-5", State: standin.StateCompleted, Text: textOf("item-5", 1), Versions: []int64{1}},
		},
	}
	h := &History{
		EnginesFence: true,
		Calls: []LiveCall{
			{ID: "safe", Path: "/lookup/safe", Body: "s", Kind: standin.RouteSafe, SentAt: at(1), Answer: plainResponse("safe"), Intact: true},
			{ID: "unsafe", Path: "/permit/unsafe", Body: "u", Kind: standin.RouteUnsafe, SentAt: at(1), Answer: plainResponse("unsafe"), Intact: true},
			{ID: "stream", Path: "/stream/stream", Body: "t", Kind: standin.RouteStream, SentAt: at(1), Answer: streamResponse("stream"), Intact: true},
			{ID: "refused-call", Path: "/permit/r", Kind: standin.RouteUnsafe, SentAt: at(1), Answer: standin.LiveResponse{Status: 503, RetryAfter: "0.15"}, Intact: true},
		},
		Jobs:    []*JobRecord{job, refused, open},
		Configs: []ConfigRecord{{Version: 7, AckedAt: at(10)}},
		Probes: []Probe{
			{Node: 0, Incarnation: 1, Version: 7, SentAt: at(10.5), EndedAt: at(10.6), Status: statusNotFound},
			{Node: 0, Incarnation: 1, Version: 7, SentAt: at(11), EndedAt: at(11.1), Status: statusOK},
			{Node: 0, Incarnation: 1, Version: 7, SentAt: at(20), EndedAt: at(20.1), Status: statusOK},
			{Node: 1, Incarnation: 1, Version: 7, SentAt: at(20), EndedAt: at(20.1), Status: statusOK},
		},
		Drains: []DrainRecord{{Engine: "e1", At: at(10)}},
		Revoked: []Probe{
			{Node: 0, Version: 7, SentAt: at(11), EndedAt: at(11), Status: statusOK},
			{Node: 0, Version: 7, SentAt: at(19), EndedAt: at(19), Status: 401},
		},
		Usage: []standin.UsageCall{
			{Holder: "node-0-a", Fence: 1, At: at(1), Window: 7, Counts: map[string]int64{tenantLive: 2}, Status: statusOK},
			{Holder: "node-1-b", Fence: 5, At: at(5), Window: 7, Counts: map[string]int64{tenantLive: 2}, Status: statusOK},
			{Holder: "node-1-b", Fence: 5, At: at(6), Window: 8, Counts: map[string]int64{tenantLive: 1}, Status: statusOK},
			{Holder: "node-0-a", Fence: 1, At: at(9), Window: 9, Counts: map[string]int64{tenantLive: 9}, Status: 409},
		},
		Engines: []EngineRecord{
			{
				ID: "e1", Service: standin.ServiceDrafts,
				Runs: []standin.Run{
					runOf("safe", "/lookup/safe", "s", 1), runOf("unsafe", "/permit/unsafe", "u", 1),
					runOf("stream", "/stream/stream", "t", 1), runOf("item-1", standin.ItemPath("item-1"), "b1", 2),
					runOf("score-1", standin.ScoringPath("score-1"), "score item-1", 3),
					runOf(failPrefix+"3", standin.ItemPath(failPrefix+"3"), "b3", 2),
				},
				Orders: []standin.ReceivedOrder{
					{Holder: "node-0-a", Fence: 1, Version: 3, At: at(1), Status: 202},
					{Holder: "node-1-b", Fence: 5, Version: 4, At: at(5), Status: 202},
					{Holder: "node-0-a", Fence: 1, Version: 4, At: at(6), Status: statusFenced},
					{Holder: "node-0-a", Fence: 9, Version: 5, At: at(30), Status: 202},
				},
			},
			{ID: "e2", Service: standin.ServiceDrafts, Runs: []standin.Run{
				runOf("item-2", standin.ItemPath("item-2"), "b2", 3), runOf("item-2", standin.ItemPath("item-2"), "b2", 4),
				runOf("item-5", standin.ItemPath("item-5"), "b5", 4),
			}},
		},
	}
	addPlacement(h)
	addContention(h)
	return h
}

func TestCheckValidHistory(t *testing.T) {
	assert.DeepEqual(t, Check(validHistory(), bounds), []Violation(nil))
}

func addRun(h *History, engine int, run standin.Run) {
	h.Engines[engine].Runs = append(h.Engines[engine].Runs, run)
}

func order(holder string, fence int64, seconds float64) standin.ReceivedOrder {
	return standin.ReceivedOrder{Holder: holder, Fence: fence, At: at(seconds), Status: 202}
}

// setUnfencedOrders replaces the orders of the first engine and the usage reports, and makes the engines ignore
// fencing tokens.
func setUnfencedOrders(h *History, orders ...standin.ReceivedOrder) {
	h.EnginesFence, h.Engines[0].Orders, h.Usage = false, orders, nil
}

// mutation changes a valid history so that it violates one invariant.
type mutation struct {
	name   string
	rule   string
	change func(h *History)
}

// mutations each violate one invariant of validHistory.
var mutations = []mutation{
	{"body of another request", "MIXED", func(h *History) { h.Calls[callSafe].Answer.Body = standin.PlainBody("other") }},
	{"truncated body of a complete response", "MIXED", func(h *History) { h.Calls[callUnsafe].Answer.Body = "the whole" }},
	{"response to another request", "MIXED", func(h *History) { h.Calls[callSafe].Answer.ID = "other" }},
	{"success without an engine", "MIXED", func(h *History) { h.Calls[callSafe].Answer.Stamped = false }},
	{"stream lacks an event", "ORDER", func(h *History) {
		answer := &h.Calls[callStream].Answer
		answer.Events, answer.EventIDs = answer.Events[1:], answer.EventIDs[1:]
	}},
	{"stream ends early but is complete", "ORDER", func(h *History) {
		answer := &h.Calls[callStream].Answer
		answer.Events, answer.EventIDs = answer.Events[:2], answer.EventIDs[:2]
	}},
	{"stream repeats an event", "ORDER", func(h *History) { h.Calls[callStream].Answer.Events[1] = h.Calls[callStream].Answer.Events[0] }},
	{"run without a request", "UNASKED", func(h *History) { addRun(h, 0, runOf("none", "/lookup/none", "", 2)) }},
	{"body altered in transit", "UNASKED", func(h *History) { h.Engines[0].Runs[0].Body = "changed" }},
	{"path altered in transit", "UNASKED", func(h *History) { h.Engines[0].Runs[0].Path = "/lookup/" }},
	{"item runs after its job was cancelled", "UNASKED", func(h *History) {
		addRun(h, 1, runOf("item-2", standin.ItemPath("item-2"), "b2", 30))
	}},
	{"non-repeatable request runs twice", "TWICE", func(h *History) { addRun(h, 1, runOf("unsafe", "/permit/unsafe", "u", 2)) }},
	{"stream runs twice", "TWICE", func(h *History) { addRun(h, 1, runOf("stream", "/stream/stream", "t", 2)) }},
	{"item at two positions", "TWICE", func(h *History) {
		h.Jobs[0].Positions = append(h.Jobs[0].Positions, h.Jobs[0].Positions[0])
	}},
	{"position changed", "TWICE", func(h *History) {
		h.recordResults(h.Jobs[0], 1, []standin.ItemResult{{ID: "item-1", State: standin.StateCompleted}})
	}},
	{"rejected call runs", "REFUSED", func(h *History) { addRun(h, 1, runOf("refused-call", "/permit/r", "", 2)) }},
	{"item of a rejected job runs", "REFUSED", func(h *History) { addRun(h, 1, runOf("item-9", standin.ItemPath("item-9"), "b9", 2)) }},
	{"run for another tenant", "UNASKED", func(h *History) { h.Engines[0].Runs[0].Tenant = tenantOf(0) }},
	{"item for another tenant", "UNASKED", func(h *History) { h.Engines[1].Runs[0].Tenant = tenantOf(1) }},
	{"engine gets a key", "UNASKED", func(h *History) { h.Engines[0].Runs[0].Credentials = "Bearer k" }},
	{"node does not know a newer key", "CONFIG", func(h *History) { h.Probes[2].Status = statusUnauthorized }},
	{"revoked key is accepted", "CONFIG", func(h *History) { h.Revoked[1].Status = statusOK }},
	{"two reports of a window", "ONE", func(h *History) { h.Usage[1].Counts = map[string]int64{tenantLive: 3} }},
	{"two holders report under one token", "ONE", func(h *History) { h.Usage[2].Holder = "node-2" }},
	{"window is not reported", "ONE", func(h *History) { h.Usage[2].Window = 9 }},
	{"more requests reported than sent", "ONE", func(h *History) { h.Usage[2].Counts = map[string]int64{tenantLive: 99} }},
	{"draining engine gets work", "DRAIN", func(h *History) {
		addRun(h, 0, runOf("item-5", standin.ItemPath("item-5"), "b5", 16))
	}},
	{"configuration not applied", "CONFIG", func(h *History) {
		h.Probes = append(h.Probes, Probe{Node: 2, Incarnation: 1, Version: 7, SentAt: at(20), EndedAt: at(20.1), Status: statusNotFound})
	}},
	{"configuration reverts", "CONFIG", func(h *History) {
		h.Probes = append(h.Probes, Probe{Node: 0, Incarnation: 1, Version: 7, SentAt: at(12), EndedAt: at(12.1), Status: statusNotFound})
	}},
	{"item never listed", "LOST", func(h *History) { h.Jobs[2].Positions, h.Jobs[2].Complete = nil, false }},
	{"job cannot be read", "LOST", func(h *History) { h.Jobs[0].FailedReads["node 1"] = statusNotFound }},
	{"failing item is retried without limit", "BUDGET", func(h *History) {
		for range 9 {
			addRun(h, 1, runOf(failPrefix+"3", standin.ItemPath(failPrefix+"3"), "b3", 3))
		}
	}},
	{"request that crashes engines is sent without limit", "BUDGET", func(h *History) { addCrashes(h, 4) }},
	{"sample lists an extra version", "VERSION", func(h *History) { h.Jobs[0].Positions[0].Versions = []int64{3, 4} }},
	{"sample omits a version", "VERSION", func(h *History) {
		first := &h.Jobs[0].Positions[0]
		first.Text = eventData("item-2", 1, 5) + first.Text[len(eventData("item-2", 1, 4)):]
	}},
	{"sample below the minimum version", "VERSION", func(h *History) {
		h.Jobs[0].Positions[2].Text, h.Jobs[0].Positions[2].Versions = textOf("item-1", 2), []int64{2}
	}},
	{"sample lacks its end", "VERSION", func(h *History) { h.Jobs[0].Positions[0].Text = eventData("item-2", 1, 4) }},
	{"sample of another job", "VERSION", func(h *History) { h.Jobs[0].Positions[0].ID = "item-5" }},
	{"item given up although its job is not cancelled", "VERSION", func(h *History) {
		h.Jobs[2].Positions[0] = standin.ItemResult{ID: "item-5", State: "expired"}
	}},
	{"sample without its score", "SCORE", func(h *History) { h.Jobs[0].Positions[2].Score = "" }},
	{"score of another call", "SCORE", func(h *History) { h.Jobs[0].Positions[2].Score = standin.Stamp("safe") }},
	{"score without a scoring call", "SCORE", func(h *History) { h.Jobs[0].Positions[0].Score = standin.Stamp("safe") }},
	{"score produced before the text", "SCORE", func(h *History) {
		for i, run := range h.Engines[0].Runs {
			if run.ID == "score-1" {
				h.Engines[0].Runs[i].At = at(1)
			}
		}
	}},
	{"two holders of one token", "ONE", func(h *History) { h.Engines[0].Orders[1].Fence = 1 }},
	{"lower token after a higher one", "ONE", func(h *History) { setUnfencedOrders(h, order("node-0-a", 5, 50), order("node-1-b", 4, 54)) }},
	{"lower token of a process of the same node", "ONE", func(h *History) {
		setUnfencedOrders(h, order("node-0-b", 5, 50), order("node-0-a", 4, 50.1))
	}},
	{"lower token between two higher ones", "ONE", func(h *History) {
		setUnfencedOrders(h, order("node-0-a", 5, 50), order("node-1-b", 4, 60), order("node-0-a", 5, 70))
	}},
	{"nodes alternate", "ONE", func(h *History) {
		setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-1-b", 2, 51), order("node-0-c", 3, 52.9))
	}},
	{"disturbed nodes alternate where engines do not check", "ONE", func(h *History) {
		setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-1-b", 2, 51), order("node-0-a", 3, 52))
		h.Disturbances = append(h.Disturbances, &Disturbance{Node: anyNode, From: at(40), To: at(60)})
	}},
	{"three nodes alternate", "ONE", func(h *History) {
		setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-1-b", 2, 51), order("node-2-c", 3, 52), order("node-0-a", 4, 52.5))
	}},
	{"undisturbed nodes alternate", "ONE", func(h *History) {
		h.Engines[0].Orders = []standin.ReceivedOrder{order("node-0-a", 1, 50), order("node-1-b", 2, 51), order("node-0-a", 3, 52)}
	}},
	{"nodes alternate after a freeze", "ONE", func(h *History) {
		setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-1-b", 2, 51), order("node-0-a", 3, 52.5))
		h.Resumptions = []Resumption{{Node: 0, At: at(52)}}
	}},
	{"lower token just after another node resumed", "ONE", func(h *History) {
		setUnfencedOrders(h, order("node-0-a", 5, 50), order("node-1-b", 4, 54))
		h.Resumptions = []Resumption{{Node: 0, At: at(53.9)}}
	}},
	{"lower token just before its sender resumes", "ONE", func(h *History) {
		setUnfencedOrders(h, order("node-0-a", 5, 50), order("node-1-b", 4, 54))
		h.Resumptions = []Resumption{{Node: 1, At: at(54.1)}}
	}},
	{"order in the name of another node", "ONE", func(h *History) { h.Engines[0].Orders[0].From = "127.7.0.2" }},
	{"report in the name of another node", "ONE", func(h *History) { h.Usage[0].From = "127.7.0.3" }},
	{"order whose holder is not a node", "ONE", func(h *History) { h.Engines[0].Orders[0].Holder = "someone" }},
	{"report whose holder is not a node", "ONE", func(h *History) { h.Usage[0].Holder = "someone" }},
	{"report under a lower token", "ONE", func(h *History) {
		h.EnginesFence, h.Engines[0].Orders = false, nil
	}},
	{"nodes alternate in reports", "ONE", func(h *History) {
		h.Usage[2].Holder, h.Usage[2].Fence = "node-0-a", 6
		h.Usage[0].At = at(4)
	}},
	{"fenced holder keeps sending orders", "ONE", func(h *History) {
		h.Engines[0].Orders = append(h.Engines[0].Orders, standin.ReceivedOrder{Holder: "node-0-a", Fence: 1, At: at(12), Status: statusFenced})
	}},
}

// addCrashes adds a request that crashed crashesAllowed engines and was then sent the given number of
// times.
func addCrashes(h *History, sends int) {
	path, body := standin.PrefixLookup+crashPrefix+"0", "body of "+crashPrefix+"0"
	send := func(seconds float64) {
		id := fmt.Sprint("again-", seconds)
		h.Calls = append(h.Calls, LiveCall{ID: id, Path: path, Body: body, Kind: standin.RouteSafe, SentAt: at(seconds)})
		addRun(h, 1, runOf(id, path, body, seconds))
	}
	for i := range crashesAllowed {
		send(float64(i))
		h.Crashes = append(h.Crashes, CrashRecord{Path: path, Body: body, At: at(float64(i))})
	}
	for i := range sends {
		send(30 + float64(i))
	}
}

// Requests in flight, and trial requests after a quarantine, are sent even after the crash limit was reached.
func TestCheckCrashLimitAllowsSomeSends(t *testing.T) {
	h := validHistory()
	addCrashes(h, sendsAfterCrashes)
	assert.DeepEqual(t, Check(h, bounds), []Violation(nil))
}

// Guards against checks that cannot fail, or that report a violation of another rule.
func TestCheckDetectsEachMutation(t *testing.T) {
	detected := make(map[string]bool)
	for _, mutation := range slices.Concat(mutations, placementMutations, contentionMutations, overlapMutations) {
		t.Run(mutation.name, func(t *testing.T) {
			h := validHistory()
			mutation.change(h)
			violations := Check(h, bounds)
			assert.Assert(t, len(violations) > 0, "no violation found")
			for _, violation := range violations {
				detected[violation.Rule] = true
				assert.Equal(t, violation.Rule, mutation.rule, "%s", violation.Detail)
			}
		})
	}
	for _, each := range invariants {
		assert.Assert(t, detected[each.rule], "no mutation for %s", each.rule)
	}
}

// Guards against false positives of the lease checks.
func TestCheckLeaseAllowedOrders(t *testing.T) {
	alternating := []standin.ReceivedOrder{order("node-0-a", 1, 50), order("node-1-b", 2, 51), order("node-0-a", 3, 52)}
	for _, allowed := range []struct {
		name   string
		change func(h *History)
	}{
		{"a process of the same node follows", func(h *History) {
			setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-0-b", 2, 50.1), order("node-0-c", 3, 50.2))
		}},
		{"nodes follow each other without returning", func(h *History) {
			setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-1-b", 2, 51), order("node-2-a", 3, 52))
		}},
		{"a node returns after the lease time", func(h *History) {
			setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-1-b", 2, 52), order("node-0-a", 3, 53.1))
		}},
		{"the engines differ", func(h *History) {
			setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-0-a", 3, 52))
			h.Engines[1].Orders = []standin.ReceivedOrder{order("node-1-b", 2, 51)}
		}},
		{"an order of a node that just resumed", func(h *History) {
			setUnfencedOrders(h, order("node-0-a", 5, 50), order("node-1-b", 4, 51), order("node-0-a", 5, 52))
			h.Resumptions = []Resumption{{Node: 1, At: at(50.8)}}
		}},
		{"an order on a path that was just restored", func(h *History) {
			setUnfencedOrders(h, alternating...)
			h.Resumptions = []Resumption{{Node: anyNode, At: at(51.9)}}
		}},
		{"disturbed nodes where engines check", func(h *History) {
			h.Engines[0].Orders = alternating
			h.Disturbances = append(h.Disturbances, &Disturbance{Node: 0, From: at(49), To: at(49.5)})
		}},
		{"a lower token where engines check", func(h *History) {
			h.Engines[0].Orders = []standin.ReceivedOrder{order("node-0-a", 5, 50), order("node-1-b", 4, 54)}
		}},
	} {
		t.Run(allowed.name, func(t *testing.T) {
			h := validHistory()
			allowed.change(h)
			assert.DeepEqual(t, Check(h, bounds), []Violation(nil))
		})
	}
}

// Only orders of different nodes to one engine within the lease time count.
func TestCountCloseChanges(t *testing.T) {
	h := validHistory()
	setUnfencedOrders(h, order("node-0-a", 1, 50), order("node-0-b", 2, 51), order("node-1-b", 3, 52), order("node-2-c", 4, 55.1))
	assert.Equal(t, countCloseChanges(h, bounds), 1)
}

// A recently disturbed node may still have the previous configuration.
func TestCheckConfigAppliedSkipsDisturbedNodes(t *testing.T) {
	h := validHistory()
	h.Probes = append(h.Probes, Probe{Node: 2, Incarnation: 1, Version: 7, SentAt: at(20), EndedAt: at(20.1), Status: statusNotFound})
	h.Disturbances = append(h.Disturbances, &Disturbance{Node: 2, From: at(9), To: at(18)})
	assert.DeepEqual(t, Check(h, bounds), []Violation(nil))
	h.Disturbances[0].Node = 1
	assert.Equal(t, len(Check(h, bounds)), 1)
}

func TestDrawGeneralDeterministic(t *testing.T) {
	const length = 3 * time.Minute
	faults := DrawGeneral(7, length)
	assert.DeepEqual(t, DrawGeneral(7, length), faults)
	assert.Assert(t, len(faults) > 20, "%d faults", len(faults))
	for i, fault := range faults {
		assert.Equal(t, fault.Number, i+1)
		assert.Assert(t, fault.At >= faultFreeStart && fault.At+fault.Duration <= length-faultFreeEnd)
	}
	shorter := Without(faults, []int{2, 3})
	assert.Equal(t, len(shorter), len(faults)-2)
	assert.DeepEqual(t, shorter[1:], faults[3:])
}

// Regression seeds must replay the faults under which they failed.
func TestDrawGeneralStableForSeed(t *testing.T) {
	var printed strings.Builder
	printSchedule(&printed, DrawGeneral(4, 21*time.Second))
	assert.Equal(t, printed.String(), `  1     3.70 s  for  3.83 s  node-killed            target 63194
  2     6.36 s  for  4.46 s  node-stopped           target 47593
  3    11.35 s  for  2.61 s  node-killed            target 11999
  4    13.20 s  for  4.56 s  node-frozen            target 1588
  5    13.96 s  for  4.00 s  engine-leaves          target 26585
  6    14.14 s  for  1.88 s  node-killed            target 18204
  7    15.06 s  for  3.50 s  store-late             target 37373
  8    15.55 s  for  2.19 s  link-slow              target 7345
`)
}

// Most faults must affect the leader, some the same node again, and every kind must be drawn.
func TestDrawLeaderSeries(t *testing.T) {
	const length = time.Hour
	faults := DrawLeader(7, length)
	assert.DeepEqual(t, DrawLeader(7, length), faults)
	drawn := make(map[Kind]bool)
	leaderFaults, sameNode := 0, 0
	for i, fault := range faults {
		drawn[fault.Kind] = true
		assert.Equal(t, fault.Number, i+1)
		assert.Assert(t, fault.At >= faultFreeStart && fault.At+fault.Duration <= length-faultFreeEnd)
		if fault.Aim != AimTarget {
			leaderFaults++
		}
		if fault.Aim == AimSameNode {
			sameNode++
		}
	}
	assert.Assert(t, leaderFaults*3 > len(faults)*2, "%d of %d faults affect the leader", leaderFaults, len(faults))
	assert.Assert(t, sameNode*5 > len(faults), "%d of %d faults affect the same node again", sameNode, len(faults))
	for _, each := range leaderWeights {
		assert.Assert(t, drawn[each.kind], "%s is never drawn", each.kind)
	}
}

// Seeds must cover both fencing modes about equally, and each schedule for about a sixth; flags take
// precedence.
func TestModesDistribution(t *testing.T) {
	const seeds = 1000
	fenced := 0
	drawn := make(map[string]int)
	for seed := range uint64(seeds) {
		enginesFence, schedule := (&Arguments{EnginesFence: Drawn, Schedule: Drawn}).modes(seed)
		if enginesFence {
			fenced++
		}
		drawn[schedule]++
		enginesFence, schedule = (&Arguments{EnginesFence: EnginesFenceNo, Schedule: GeneralFaults}).modes(seed)
		assert.Assert(t, !enginesFence && schedule == GeneralFaults)
	}
	assert.Assert(t, fenced > seeds*2/5 && fenced < seeds*3/5, "%d", fenced)
	assert.Equal(t, len(drawn), len(schedules))
	for _, each := range schedules {
		assert.Assert(t, drawn[each] > seeds*3/24 && drawn[each] < seeds*5/24, "%s: %d", each, drawn[each])
	}
}

// Time-bounded invariants are only checked if some engines drain while all nodes are undisturbed.
func TestDrawGeneralQuietWindows(t *testing.T) {
	faults := DrawGeneral(5, 5*time.Minute)
	windows := 0
	for _, fault := range faults {
		quiet := fault.Kind == EngineLeaves
		for _, other := range faults {
			if other != fault && other.At < fault.At+bounds.Drain+time.Second && other.At+other.Duration > fault.At-bounds.Settle {
				quiet = false
			}
		}
		if quiet {
			windows++
		}
	}
	assert.Assert(t, windows >= 4, "%d quiet windows", windows)
}

func TestDrawGeneralAllKinds(t *testing.T) {
	drawn := make(map[Kind]bool)
	for _, fault := range DrawGeneral(1, time.Hour) {
		drawn[fault.Kind] = true
	}
	for _, each := range generalWeights {
		assert.Assert(t, drawn[each.kind], "%s is never drawn", each.kind)
	}
}

func TestRunRejectsInvalidArguments(t *testing.T) {
	for _, invalid := range []Arguments{
		{Minutes: 0, Nodes: 3, Slack: 1}, {Minutes: 500, Nodes: 3, Slack: 1}, {Minutes: 1, Nodes: 0, Slack: 1},
		{Minutes: 1, Nodes: maxNodes + 1, Slack: 1}, {Minutes: 1, Nodes: 3}, {Minutes: 1, Nodes: 3, Slack: 1, Seeds: "none.toml"},
		{Minutes: 1, Nodes: 3, Slack: 1, EnginesFence: "perhaps"}, {Minutes: 1, Nodes: 3, Slack: 1, Schedule: "none"},
		{Minutes: 1, Nodes: 3, Slack: 1, LeaveOut: []Family{"none"}},
	} {
		assert.Assert(t, Run(t.Context(), &invalid, nil) != nil)
	}
}
