package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
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
	{"TWICE", checkTwice},
	{"TWICE", checkPositions},
	{"REFUSED", checkRefused},
	{"DRAIN", checkDrain},
	{"CONFIG", checkConfig},
	{"CONFIG", checkNoReturn},
	{"LOST", checkLost},
	{"BUDGET", checkBudget},
	{"VERSION", checkVersions},
	{"ONE", checkOneHolder},
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

// checkMixed: a success is the caller's own whole answer.
func checkMixed(h *History, _ Bounds) []string {
	var found []string
	for _, call := range h.Calls {
		if !call.Whole || call.Answer.Status != statusOK {
			continue
		}
		if call.Answer.ID != call.ID || !call.Answer.Stamped {
			found = append(found, fmt.Sprintf("request %s got an answer to %q, stamped %t", call.ID, call.Answer.ID, call.Answer.Stamped))
		}
		if call.Kind != standin.RouteStream && call.Answer.Body != standin.Answer(call.ID) {
			found = append(found, fmt.Sprintf("request %s got the body %q", call.ID, call.Answer.Body))
		}
	}
	return found
}

// checkStreams: a stream that ends as whole has every event once, in order.
func checkStreams(h *History, _ Bounds) []string {
	var found []string
	for _, call := range h.Calls {
		if call.Kind != standin.RouteStream || call.Answer.Status != statusOK {
			continue
		}
		for i, data := range call.Answer.Events {
			if item, _ := splitEvent(data); call.Answer.Numbers[i] != int64(i+1) || item != standin.EventData(call.ID, i+1) {
				found = append(found, fmt.Sprintf("stream %s has event %d %q at place %d", call.ID, call.Answer.Numbers[i], data, i+1))
				break
			}
		}
		if call.Whole && len(call.Answer.Events) != eventsOf(call.ID) {
			found = append(found, fmt.Sprintf("stream %s ended as whole after %d of %d events", call.ID, len(call.Answer.Events), eventsOf(call.ID)))
		}
	}
	return found
}

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

// checkRunsAfterEnd: no item runs long after the end of its job was acknowledged.
func checkRunsAfterEnd(h *History, bounds Bounds) []string {
	var found []string
	known := askedByID(h)
	eachRun(h, func(engine *EngineSeen, run standin.Run) {
		job := known[run.ID].job
		if job == nil || job.EndedAt.IsZero() {
			return
		}
		late := run.At.Sub(job.EndedAt)
		if late > bounds.Cancel && h.inTouch(anyNode, job.EndedAt, run.At, bounds.Contact) {
			found = append(found, fmt.Sprintf("engine %s ran item %s %s after the end of job %s", engine.ID, run.ID, late, job.Job.ID))
		}
	})
	return found
}

// checkTwice: what is not repeatable runs once at most.
func checkTwice(h *History, _ Bounds) []string {
	var found []string
	runs := make(map[string]int)
	eachRun(h, func(_ *EngineSeen, run standin.Run) { runs[run.ID]++ })
	for _, call := range h.Calls {
		if call.Kind != standin.RouteSafe && runs[call.ID] > 1 {
			found = append(found, fmt.Sprintf("request %s of a route that is not repeatable ran %d times", call.ID, runs[call.ID]))
		}
	}
	return found
}

// checkPositions: a position never changes, and an item stands at one only.
func checkPositions(h *History, _ Bounds) []string {
	found := slices.Clone(h.Changed)
	for _, job := range h.Jobs {
		at := make(map[string]int)
		for position, result := range job.Positions {
			if first, twice := at[result.ID]; twice {
				found = append(found, fmt.Sprintf("job %s lists %s at %d and %d", job.Job.ID, result.ID, first, position))
			}
			at[result.ID] = position
		}
	}
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

// checkDrain: an engine that leaves gets no new work after a while.
func checkDrain(h *History, bounds Bounds) []string {
	var found []string
	leaves := make(map[string]time.Time)
	for _, leave := range h.Leaves {
		leaves[leave.Engine] = leave.At
	}
	eachRun(h, func(engine *EngineSeen, run standin.Run) {
		left, leaving := leaves[engine.ID]
		if !leaving || run.At.Sub(left) <= bounds.Drain {
			return
		}
		if h.inTouch(anyNode, left, run.At, bounds.Contact) {
			found = append(found, fmt.Sprintf("engine %s got %s, %s after it was listed as leaving", engine.ID, run.ID, run.At.Sub(left)))
		}
	})
	return found
}

const statusNotFound = 404

// checkConfig: a configuration is in force everywhere after a while.
func checkConfig(h *History, bounds Bounds) []string {
	var found []string
	acked := make(map[int64]time.Time)
	for _, config := range h.Configs {
		acked[config.Version] = config.AckedAt
	}
	for _, probe := range h.Probes {
		at, known := acked[probe.Version]
		if !known || probe.Status != statusNotFound || probe.SentAt.Sub(at) <= bounds.Apply {
			continue
		}
		if h.inTouch(probe.Node, probe.SentAt.Add(-bounds.Apply), probe.EndedAt, bounds.Contact) {
			found = append(found, fmt.Sprintf("node %d denies the route of configuration %d, %s after its acceptance",
				probe.Node, probe.Version, probe.SentAt.Sub(at)))
		}
	}
	return found
}

// checkNoReturn: within the life of a process, a configuration that took effect
// stays in effect.
func checkNoReturn(h *History, _ Bounds) []string {
	var found []string
	type life struct{ node, life int }
	served := make(map[life]map[int64]time.Time)
	for _, probe := range h.Probes {
		key := life{probe.Node, probe.Life}
		if served[key] == nil {
			served[key] = make(map[int64]time.Time)
		}
		if first := served[key][probe.Version]; probe.Status == statusOK && (first.IsZero() || probe.EndedAt.Before(first)) {
			served[key][probe.Version] = probe.EndedAt
		}
	}
	for _, probe := range h.Probes {
		first, was := served[life{probe.Node, probe.Life}][probe.Version]
		if probe.Status == statusNotFound && was && probe.SentAt.After(first) {
			found = append(found, fmt.Sprintf("node %d denies the route of configuration %d, which it served %s before",
				probe.Node, probe.Version, probe.SentAt.Sub(first)))
		}
	}
	return found
}

// checkLost: every accepted job that its trainer did not end was listed whole,
// and each position can be read at the end.
func checkLost(h *History, _ Bounds) []string {
	var found []string
	for _, job := range h.Jobs {
		if job.Accepted && job.EndAskedAt.IsZero() && !job.Complete {
			found = append(found, fmt.Sprintf("job %s lists %d of %d items at the end", job.Job.ID, len(job.Positions), len(job.Job.Items)))
		}
		for node, status := range job.FinalStatus {
			found = append(found, fmt.Sprintf("job %s cannot be read at %s at the end: %d", job.Job.ID, node, status))
		}
	}
	return found
}

const (
	// runsPerAttempt is how often an item that always fails may reach an engine for
	// each attempt that its route allows.
	runsPerAttempt = 3
	// batchAttempts is what the route of batch jobs allows.
	batchAttempts = 3
)

// checkBudget: an item that always fails is given up.
func checkBudget(h *History, _ Bounds) []string {
	var found []string
	runs := make(map[string]int)
	eachRun(h, func(_ *EngineSeen, run standin.Run) { runs[run.ID]++ })
	for id, count := range runs {
		if failsAlways(id) && count > runsPerAttempt*batchAttempts {
			found = append(found, fmt.Sprintf("item %s, which always fails, ran %d times", id, count))
		}
	}
	return found
}

// checkVersions: a sample has its whole text, names exactly the versions that
// made it, and none below what its job allows.
func checkVersions(h *History, _ Bounds) []string {
	var found []string
	for _, job := range h.Jobs {
		for _, result := range job.Positions {
			if problem := checkSample(job, result); problem != "" {
				found = append(found, fmt.Sprintf("job %s item %s: %s", job.Job.ID, result.ID, problem))
			}
		}
	}
	return found
}

func checkSample(seen *JobSeen, result standin.ItemResult) string {
	job := seen.Job
	if !slices.ContainsFunc(job.Items, func(item standin.JobItem) bool { return item.ID == result.ID }) {
		return "is not of this job"
	}
	if result.State != standin.StateCompleted {
		if seen.EndAskedAt.IsZero() && !failsAlways(result.ID) && !neverPossible(result.ID) {
			return "was given up"
		}
		return ""
	}
	lines := strings.Split(result.Text, "\n")
	if len(lines) != eventsOf(result.ID) {
		return fmt.Sprintf("has %d of %d events", len(lines), eventsOf(result.ID))
	}
	var made []int64
	for i, line := range lines {
		data, version := splitEvent(line)
		if data != standin.EventData(result.ID, i+1) {
			return fmt.Sprintf("has %q as event %d", line, i+1)
		}
		if version < job.MinVersion {
			return fmt.Sprintf("event %d was made by version %d, allowed from %d", i+1, version, job.MinVersion)
		}
		if !slices.Contains(made, version) {
			made = append(made, version)
		}
	}
	named := slices.Clone(result.Versions)
	slices.Sort(named)
	slices.Sort(made)
	if !slices.Equal(named, made) {
		return fmt.Sprintf("names versions %v and was made by %v", result.Versions, made)
	}
	return ""
}

// checkOneHolder: an engine never takes the same fencing token from two holders,
// and a holder that was refused for a newer one soon stops.
func checkOneHolder(h *History, bounds Bounds) []string {
	var found []string
	type token struct {
		holder string
		fence  int64
	}
	for _, engine := range h.Engines {
		holders := make(map[int64]string)
		fencedAt := make(map[token]time.Time)
		for _, order := range engine.Orders {
			if holder, known := holders[order.Fence]; known && holder != order.Holder {
				found = append(found, fmt.Sprintf("engine %s has orders of %s and %s under token %d", engine.ID, holder, order.Holder, order.Fence))
			}
			holders[order.Fence] = order.Holder
			key := token{order.Holder, order.Fence}
			if refused, was := fencedAt[key]; was && order.At.Sub(refused) > bounds.Lease {
				found = append(found, fmt.Sprintf("engine %s: %s orders %s after it was fenced", engine.ID, order.Holder, order.At.Sub(refused)))
			}
			if order.Status == statusFenced {
				if _, was := fencedAt[key]; !was {
					fencedAt[key] = order.At
				}
			}
		}
	}
	return found
}

const statusFenced = 412

// eventData is the data of an event in a soak: it tells which version made it.
func eventData(id string, number int, version int64) string {
	return standin.EventData(id, number) + versionMark + strconv.FormatInt(version, 10)
}

const versionMark = "@"

// splitEvent undoes eventData; the version is zero when there is none.
func splitEvent(data string) (string, int64) {
	event, mark, found := strings.Cut(data, versionMark)
	if !found {
		return data, 0
	}
	version, err := strconv.ParseInt(mark, 10, 64)
	if err != nil {
		return data, 0
	}
	return event, version
}
