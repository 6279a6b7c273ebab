package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// Violation describes one violation of an invariant by the recorded history.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Bounds are the time limits of the invariants.
type Bounds struct {
	// Settle is how long a node must have been undisturbed before time-bounded invariants apply to it.
	Settle time.Duration
	// Apply limits how long a configuration takes to apply, Drain how long a draining engine gets new
	// requests, Cancel how long items run after their job's cancellation, and FencedStop how long a fenced
	// holder keeps sending orders.
	Apply      time.Duration
	Drain      time.Duration
	Cancel     time.Duration
	FencedStop time.Duration
	// ResumeGrace is how long after its sender resumed from a freeze, or the sender's network path was
	// restored, an order is exempt.
	ResumeGrace time.Duration
	// Evacuate limits how long an evacuation takes to apply, ColdNotice how long it takes until the nodes learn
	// that a running engine turned cold, and Reorder how long it takes until an engine that lost its weights
	// is ordered to load them.
	Evacuate   time.Duration
	ColdNotice time.Duration
	Reorder    time.Duration
	// RefusalShare is the share of a request's deadline within which a request that does not wait is refused.
	RefusalShare float64
	// JobEnd is the time after which a trainer abandons a job.
	JobEnd time.Duration
	// ItemWait is how long an item may be at no engine while engines have room.
	ItemWait time.Duration
}

// invariant is a rule with the function that lists its violations.
type invariant struct {
	rule string
	find func(h *History, bounds Bounds) []string
}

// invariants holds every rule; each is checked against the recorded history alone.
var invariants = []invariant{
	{"MIXED", checkResponses},
	{"ORDER", checkStreamOrder},
	{"UNASKED", checkUnrequestedRuns},
	{"UNASKED", checkRunsAfterCancel},
	{"UNASKED", checkTenants},
	{"TWICE", checkAtMostOnce},
	{"TWICE", checkResultPositions},
	{"REFUSED", checkRejectedNotRun},
	{"DRAIN", checkDrain},
	{"CONFIG", checkConfigApplied},
	{"CONFIG", checkConfigNoRollback},
	{"CONFIG", checkRevokedKeys},
	{"LOST", checkNoLostItems},
	{"LOST", checkPlannedStops},
	{"LOST", checkItemWaits},
	{"BUDGET", checkRetryLimit},
	{"BUDGET", checkCrashLimit},
	{"VERSION", checkSampleVersions},
	{"VERSION", checkSingleVersions},
	{"SCORE", checkScores},
	{"ONE", checkFencing},
	{"ONE", checkTokenOrder},
	{"ONE", checkAlternation},
	{"ONE", checkUsageReports},
	{"EVAC", checkEvacuations},
	{"COLD", checkSlowStart},
	{"HOME", checkHomes},
	{"HOME", checkBodyReads},
	{"LIFE", checkOrderCounts},
	{"LIFE", checkRestartedOrdered},
	{"ENTRY", checkInvalidEntriesUnused},
	{"ENTRY", checkInvalidatedEngines},
	{"RETRY", checkRetryDelays},
	{"LATE", checkRefusalTimes},
	{"STARVED", checkJobsEnd},
	{"FAIR", checkFairness},
}

// Check returns every violation. The history must not change during the call.
func Check(h *History, bounds Bounds) []Violation {
	var violations []Violation
	for _, each := range invariants {
		for _, detail := range each.find(h, bounds) {
			violations = append(violations, Violation{Rule: each.rule, Detail: detail})
		}
	}
	return violations
}

const statusOK = 200

// expectedRequest is a request that a caller or a job sent, which engines may therefore run.
type expectedRequest struct {
	path string
	body string
	job  *JobRecord
	call *LiveCall
}

func expectedByID(h *History) map[string]expectedRequest {
	expected := make(map[string]expectedRequest)
	for i := range h.Calls {
		call := &h.Calls[i]
		expected[call.ID] = expectedRequest{path: call.Path, body: call.Body, call: call}
	}
	for _, job := range h.Jobs {
		for _, item := range job.Job.Items {
			expected[item.ID] = expectedRequest{path: standin.ItemPath(item.ID), body: item.Body, job: job}
			if item.ScoringID != "" {
				expected[item.ScoringID] = expectedRequest{path: standin.ScoringPath(item.ScoringID), body: item.ScoringBody(), job: job}
			}
		}
	}
	return expected
}

// forEachRun calls visit for every run on every engine.
func forEachRun(h *History, visit func(engine *EngineRecord, run standin.Run)) {
	for i := range h.Engines {
		for _, run := range h.Engines[i].Runs {
			visit(&h.Engines[i], run)
		}
	}
}

// checkUnrequestedRuns reports runs that no caller or job requested, or whose path or body was altered.
func checkUnrequestedRuns(h *History, _ Bounds) []string {
	var found []string
	expected := expectedByID(h)
	forEachRun(h, func(engine *EngineRecord, run standin.Run) {
		want, isExpected := expected[run.ID]
		if !isExpected || want.path != run.Path || want.body != run.Body {
			found = append(found, fmt.Sprintf("engine %s ran %s %s with body %q; requested: %t %s %q",
				engine.ID, run.ID, run.Path, run.Body, isExpected, want.path, want.body))
		}
	})
	return found
}

// checkRejectedNotRun reports runs of requests and jobs whose rejection guaranteed that they had not run.
func checkRejectedNotRun(h *History, _ Bounds) []string {
	var found []string
	expected := expectedByID(h)
	forEachRun(h, func(engine *EngineRecord, run standin.Run) {
		want := expected[run.ID]
		if call := want.call; call != nil && call.Intact && standin.GuaranteesNotExecuted(call.Answer.Status) {
			found = append(found, fmt.Sprintf("engine %s ran %s, which was rejected with status %d", engine.ID, run.ID, call.Answer.Status))
		}
		if want.job != nil && want.job.AllRejected {
			found = append(found, fmt.Sprintf("engine %s ran item %s of job %s, which was rejected", engine.ID, run.ID, want.job.Job.ID))
		}
	})
	return found
}
