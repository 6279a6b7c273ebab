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
		at := make(map[string]int)
		for position, result := range job.Positions {
			if first, twice := at[result.ID]; twice {
				found = append(found, fmt.Sprintf("job %s lists %s at positions %d and %d", job.Job.ID, result.ID, first, position))
			}
			at[result.ID] = position
		}
	}
	return found
}

// checkRunsAfterCancel reports items that ran after their job's cancellation was acknowledged and the
// bound had passed.
func checkRunsAfterCancel(h *History, bounds Bounds) []string {
	var found []string
	known := expectedByID(h)
	forEachRun(h, func(engine *EngineRecord, run standin.Run) {
		job := known[run.ID].job
		if job == nil || job.EndedAt.IsZero() {
			return
		}
		late := run.At.Sub(job.EndedAt)
		if late > bounds.Cancel && h.undisturbed(anyNode, job.EndedAt, run.At, bounds.Settle) {
			found = append(found, fmt.Sprintf("engine %s ran item %s %s after the cancellation of job %s", engine.ID, run.ID, late, job.Job.ID))
		}
	})
	return found
}

// checkNoLostItems reports accepted jobs that were not cancelled and lack results, and jobs that some node
// cannot read at the end.
func checkNoLostItems(h *History, _ Bounds) []string {
	var found []string
	for _, job := range h.Jobs {
		if job.Accepted && job.CancelSentAt.IsZero() && !job.Complete {
			found = append(found, fmt.Sprintf("job %s lists %d of %d items at the end of the soak", job.Job.ID, len(job.Positions), len(job.Job.Items)))
		}
		for node, status := range job.FinalStatus {
			found = append(found, fmt.Sprintf("job %s cannot be read at the end of the soak: %s, status %d", job.Job.ID, node, status))
		}
	}
	return found
}

const (
	// runsPerAttempt is how often an item that always fails may reach an engine for each attempt that its
	// route allows.
	runsPerAttempt = 3
	// batchAttempts is the number of attempts that the route of batch jobs allows.
	batchAttempts = 3
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
	for _, job := range h.Jobs {
		for _, result := range job.Positions {
			if problem := checkSample(job, result); problem != "" {
				found = append(found, fmt.Sprintf("job %s item %s: %s", job.Job.ID, result.ID, problem))
			}
		}
	}
	return found
}

func checkSample(seen *JobRecord, result standin.ItemResult) string {
	job := seen.Job
	if !slices.ContainsFunc(job.Items, func(item standin.JobItem) bool { return item.ID == result.ID }) {
		return "does not belong to this job"
	}
	if result.State != standin.StateCompleted {
		if seen.CancelSentAt.IsZero() && !failsAlways(result.ID) && !isImpossible(result.ID) && !crashesEngine(result.ID) {
			return "was not completed although its job was not cancelled"
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
			return fmt.Sprintf("event %d was produced by version %d, minimum is %d", i+1, version, job.MinVersion)
		}
		if !slices.Contains(made, version) {
			made = append(made, version)
		}
	}
	named := slices.Clone(result.Versions)
	slices.Sort(named)
	slices.Sort(made)
	if !slices.Equal(named, made) {
		return fmt.Sprintf("lists versions %v but was produced by %v", result.Versions, made)
	}
	return ""
}

// checkScores reports samples without the score of their own scoring call, scoring calls that began before
// their item, and scores of items that have no scoring call.
func checkScores(h *History, _ Bounds) []string {
	var found []string
	began := firstRunTimes(h)
	for _, job := range h.Jobs {
		calls := make(map[string]string)
		for _, item := range job.Job.Items {
			calls[item.ID] = item.ScoringID
		}
		for _, result := range job.Positions {
			if problem := checkScore(result, calls[result.ID], began); problem != "" {
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

// checkScore describes what is wrong with the score of a result, or returns "". call is the ID of its
// scoring call, empty if it has none.
func checkScore(result standin.ItemResult, call string, began map[string]time.Time) string {
	if result.State != standin.StateCompleted {
		return ""
	}
	if call == "" {
		if result.Score != "" {
			return fmt.Sprintf("has the score %q but no scoring call", result.Score)
		}
		return ""
	}
	at, made := began[call]
	switch {
	case result.Score != standin.Stamp(call):
		return fmt.Sprintf("has the score %q, not that of scoring call %s", result.Score, call)
	case !made:
		return fmt.Sprintf("scoring call %s reached no engine", call)
	case at.Before(began[result.ID]):
		return fmt.Sprintf("scoring call %s began before the item", call)
	default:
		return ""
	}
}
