package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// checkResultPositions reports positions whose result changed and items listed at more than one position.
func checkResultPositions(h *History, _ Bounds) []string {
	found := slices.Clone(h.ChangedPositions)
	for _, job := range h.Jobs {
		positions := make(map[string]int)
		for position, result := range job.Positions {
			if first, repeated := positions[result.ID]; repeated {
				found = append(found, fmt.Sprintf("job %s lists %s at positions %d and %d", job.Job.ID, result.ID, first, position))
			}
			positions[result.ID] = position
		}
	}
	return found
}

// checkRunsAfterCancel reports items that ran after their job's cancellation was acknowledged and the
// bound had passed.
func checkRunsAfterCancel(h *History, bounds Bounds) []string {
	var found []string
	expected := expectedByID(h)
	forEachRun(h, func(engine *EngineRecord, run standin.Run) {
		job := expected[run.ID].job
		if job == nil || job.EndedAt.IsZero() {
			return
		}
		delay := run.At.Sub(job.EndedAt)
		if delay > bounds.Cancel && h.undisturbed(anyNode, job.EndedAt, run.At, bounds.Settle) {
			found = append(found, fmt.Sprintf("engine %s ran item %s %s after the cancellation of job %s", engine.ID, run.ID, delay, job.Job.ID))
		}
	})
	return found
}

// checkNoLostItems reports accepted jobs that were not canceled and lack results, and jobs that could not
// be read completely from some node at the end of the soak.
func checkNoLostItems(h *History, _ Bounds) []string {
	var found []string
	for _, job := range h.Jobs {
		if job.Accepted && job.CancelSentAt.IsZero() && !job.Complete {
			found = append(found, fmt.Sprintf("job %s lists %d of %d items at the end of the soak", job.Job.ID, len(job.Positions), len(job.Job.Items)))
		}
		for read, status := range job.FailedReads {
			found = append(found, fmt.Sprintf("job %s cannot be read at the end of the soak: %s, status %d", job.Job.ID, read, status))
		}
	}
	return found
}

const (
	// runsPerAttempt is how often an item that always fails may reach an engine for each attempt that its
	// route allows.
	runsPerAttempt = 3
	// batchAttempts is the number of attempts that the route of batch jobs allows, scoringAttempts that of the route of
	// scoring calls.
	batchAttempts   = 3
	scoringAttempts = 2
)

// checkRetryLimit reports items that always fail and are retried beyond the limit of their route.
func checkRetryLimit(h *History, _ Bounds) []string {
	var found []string
	runs := make(map[string]int)
	forEachRun(h, func(_ *EngineRecord, run standin.Run) { runs[run.ID]++ })
	for id, count := range runs {
		if failsAlways(id) && count > runsPerAttempt*batchAttempts {
			found = append(found, fmt.Sprintf("item %s, which always fails, ran %d times", id, count))
		}
	}
	return found
}

// checkSampleVersions reports samples with incomplete text, with a version list that differs from the
// versions that produced them, or with a version below the minimum of their job.
func checkSampleVersions(h *History, _ Bounds) []string {
	var found []string
	failures := failuresByID(h)
	for _, job := range h.Jobs {
		for position, result := range job.Positions {
			canceled := !job.CancelSentAt.IsZero() && position >= job.ReadBeforeCancel
			mayExpire := canceled || attemptsUsedUp(job, result.ID, failures)
			if problem := checkSample(job, result, mayExpire); problem != "" {
				found = append(found, fmt.Sprintf("job %s item %s: %s", job.Job.ID, result.ID, problem))
			}
		}
	}
	return found
}

// failuresByID counts the runs of each request that its engine answered as failed.
func failuresByID(h *History) map[string]int {
	failures := make(map[string]int)
	forEachRun(h, func(_ *EngineRecord, run standin.Run) {
		if run.Fault == standin.RespondsError {
			failures[run.ID]++
		}
	})
	return failures
}

// attemptsUsedUp reports whether engines failed an item, or its scoring call, as often as its route allows.
func attemptsUsedUp(record *JobRecord, id string, failures map[string]int) bool {
	for _, item := range record.Job.Items {
		if item.ID == id && item.ScoringID != "" && failures[item.ScoringID] >= scoringAttempts {
			return true
		}
	}
	return failures[id] >= batchAttempts
}

// checkSample describes what is wrong with a sample, or returns "". mayExpire is set if the item may have been given up:
// its attempts were used up, or its job may have been canceled before it was listed.
func checkSample(record *JobRecord, result standin.ItemResult, mayExpire bool) string {
	job := record.Job
	if !slices.ContainsFunc(job.Items, func(item standin.JobItem) bool { return item.ID == result.ID }) {
		return "does not belong to this job"
	}
	if result.State != standin.StateCompleted {
		if !mayExpire && !failsAlways(result.ID) && !isImpossible(result.ID) {
			return "was not completed although its job was not canceled and its attempts were not used up"
		}
		return ""
	}
	lines := strings.Split(result.Text, "\n")
	if len(lines) != eventsOf(result.ID) {
		return fmt.Sprintf("has %d of %d events", len(lines), eventsOf(result.ID))
	}
	var produced []int64
	for i, line := range lines {
		data, version := splitEvent(line)
		if data != standin.EventData(result.ID, i+1) {
			return fmt.Sprintf("has %q as event %d", line, i+1)
		}
		if version < job.MinVersion {
			return fmt.Sprintf("event %d was produced by version %d, minimum is %d", i+1, version, job.MinVersion)
		}
		if !slices.Contains(produced, version) {
			produced = append(produced, version)
		}
	}
	listed := slices.Clone(result.Versions)
	slices.Sort(listed)
	slices.Sort(produced)
	if !slices.Equal(listed, produced) {
		return fmt.Sprintf("lists versions %v but was produced by %v", result.Versions, produced)
	}
	return ""
}

// checkScores reports samples without the score of their own scoring call, scoring calls that began before
// their item, and scores of items that have no scoring call.
func checkScores(h *History, _ Bounds) []string {
	var found []string
	firstRuns := firstRunTimes(h)
	for _, job := range h.Jobs {
		scoringIDs := make(map[string]string)
		for _, item := range job.Job.Items {
			scoringIDs[item.ID] = item.ScoringID
		}
		for _, result := range job.Positions {
			if problem := checkScore(result, scoringIDs[result.ID], firstRuns); problem != "" {
				found = append(found, fmt.Sprintf("job %s item %s: %s", job.Job.ID, result.ID, problem))
			}
		}
	}
	return found
}

// firstRunTimes returns when each request first reached an engine.
func firstRunTimes(h *History) map[string]time.Time {
	first := make(map[string]time.Time)
	forEachRun(h, func(_ *EngineRecord, run standin.Run) {
		if known, seen := first[run.ID]; !seen || run.At.Before(known) {
			first[run.ID] = run.At
		}
	})
	return first
}

// checkScore describes what is wrong with the score of a result, or returns "". scoringID is the ID of its
// scoring call, empty if it has none.
func checkScore(result standin.ItemResult, scoringID string, firstRuns map[string]time.Time) string {
	if result.State != standin.StateCompleted {
		return ""
	}
	if scoringID == "" {
		if result.Score != "" {
			return fmt.Sprintf("has the score %q but no scoring call", result.Score)
		}
		return ""
	}
	startedAt, started := firstRuns[scoringID]
	switch {
	case result.Score != standin.Stamp(scoringID):
		return fmt.Sprintf("has the score %q, not that of scoring call %s", result.Score, scoringID)
	case !started:
		return fmt.Sprintf("scoring call %s reached no engine", scoringID)
	case startedAt.Before(firstRuns[result.ID]):
		return fmt.Sprintf("scoring call %s began before the item", scoringID)
	default:
		return ""
	}
}
