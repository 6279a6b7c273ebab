package soak

import (
	"fmt"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// Violation is a promise that the history shows to be broken.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Bounds are the times within which promises are to hold.
type Bounds struct {
	// Contact is how long a node must be undisturbed before a bounded promise
	// applies to it.
	Contact time.Duration
	// Apply is the time for a configuration, Drain for an engine that leaves, Cancel
	// for the end of a job, Lease for orders after a refusal.
	Apply  time.Duration
	Drain  time.Duration
	Cancel time.Duration
	Lease  time.Duration
	// Thaw is how long after its sender went on from a freeze, or its way healed, an
	// order does not count.
	Thaw time.Duration
	// Evacuate is the time for an evacuation, Notice for the word of an engine that turns
	// cold while it runs, Reorder for orders of an engine that has lost its weights.
	Evacuate time.Duration
	Notice   time.Duration
	Reorder  time.Duration
}

// check is one promise.
type check struct {
	rule string
	find func(h *History, bounds Bounds) []string
}

// checks are all promises, each checked from the history alone.
var checks = []check{
	{"MIXED", checkMixed},
	{"ORDER", checkStreams},
	{"UNASKED", checkUnasked},
	{"UNASKED", checkRunsAfterEnd},
	{"UNASKED", checkTenants},
	{"TWICE", checkTwice},
	{"TWICE", checkPositions},
	{"REFUSED", checkRefused},
	{"DRAIN", checkDrain},
	{"CONFIG", checkConfig},
	{"CONFIG", checkNoReturn},
	{"CONFIG", checkRevoked},
	{"LOST", checkLost},
	{"BUDGET", checkBudget},
	{"BUDGET", checkCrashes},
	{"VERSION", checkVersions},
	{"SCORE", checkScores},
	{"ONE", checkOneHolder},
	{"ONE", checkTokens},
	{"ONE", checkTurns},
	{"ONE", checkUsage},
	{"EVAC", checkEvacuations},
	{"COLD", checkSlowStart},
	{"HOME", checkHomes},
	{"HOME", checkBodies},
	{"LIFE", checkOrderCounts},
	{"LIFE", checkReordered},
	{"ENTRY", checkEntries},
	{"ENTRY", checkSpoiled},
}

// Check returns every broken promise. The history must not change meanwhile.
func Check(h *History, bounds Bounds) []Violation {
	var violations []Violation
	for _, each := range checks {
		for _, detail := range each.find(h, bounds) {
			violations = append(violations, Violation{Rule: each.rule, Detail: detail})
		}
	}
	return violations
}

const statusOK = 200

// asked is what engines may be asked to run.
type asked struct {
	path string
	body string
	job  *JobSeen
	call *LiveCall
}

func askedByID(h *History) map[string]asked {
	known := make(map[string]asked)
	for i := range h.Calls {
		call := &h.Calls[i]
		known[call.ID] = asked{path: call.Path, body: call.Body, call: call}
	}
	for _, job := range h.Jobs {
		for _, item := range job.Job.Items {
			known[item.ID] = asked{path: standin.ItemPath(item.ID), body: item.Body, job: job}
			if item.ScoringID != "" {
				known[item.ScoringID] = asked{path: standin.ScoringPath(item.ScoringID), body: item.ScoringBody(), job: job}
			}
		}
	}
	return known
}

// eachRun calls visit for every run of every engine.
func eachRun(h *History, visit func(engine *EngineSeen, run standin.Run)) {
	for i := range h.Engines {
		for _, run := range h.Engines[i].Runs {
			visit(&h.Engines[i], run)
		}
	}
}

// checkUnasked: engines run only what was asked, unaltered.
func checkUnasked(h *History, _ Bounds) []string {
	var found []string
	known := askedByID(h)
	eachRun(h, func(engine *EngineSeen, run standin.Run) {
		want, isKnown := known[run.ID]
		if !isKnown || want.path != run.Path || want.body != run.Body {
			found = append(found, fmt.Sprintf("engine %s ran %s %s with body %q; asked for: %t %s %q",
				engine.ID, run.ID, run.Path, run.Body, isKnown, want.path, want.body))
		}
	})
	return found
}

// checkRefused: what was refused as not run never runs.
func checkRefused(h *History, _ Bounds) []string {
	var found []string
	known := askedByID(h)
	eachRun(h, func(engine *EngineSeen, run standin.Run) {
		want := known[run.ID]
		if call := want.call; call != nil && call.Whole && call.Kind != standin.RouteSafe && standin.Refused(call.Answer.Status) {
			found = append(found, fmt.Sprintf("engine %s ran %s, which was refused with %d", engine.ID, run.ID, call.Answer.Status))
		}
		if want.job != nil && want.job.AllRefused {
			found = append(found, fmt.Sprintf("engine %s ran item %s of job %s, which was refused", engine.ID, run.ID, want.job.Job.ID))
		}
	})
	return found
}
