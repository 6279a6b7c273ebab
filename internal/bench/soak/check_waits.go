package soak

import (
	"fmt"
	"slices"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// maxOccupancy is the share of the engines' slots below which they have room for a waiting item.
const maxOccupancy = 0.5

// itemRuns holds the runs of each item at engines, in order of time.
type itemRuns map[string][]standin.Run

// checkItemWaits reports items that were at no engine for longer than Bounds.ItemWait while no fault affected a node or an
// engine, and less than half of the engines' slots were taken.
func checkItemWaits(h *History, bounds Bounds) []string {
	runs := make(itemRuns)
	forEachRun(h, func(engine *EngineRecord, run standin.Run) {
		if run.EndedAt.IsZero() {
			run.EndedAt = engine.EndedAt
		}
		runs[run.ID] = append(runs[run.ID], run)
	})
	for _, each := range runs {
		slices.SortFunc(each, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	}
	var found []string
	for _, job := range h.Jobs {
		if !job.Accepted {
			continue
		}
		for _, item := range job.Job.Items {
			for _, wait := range runs.waitsOf(job, item.ID) {
				from := h.roomSince(wait, bounds)
				if waited := wait.To.Sub(from); waited > bounds.ItemWait {
					found = append(found, fmt.Sprintf("job %s item %s was at no engine for %s while engines had room, until %s",
						job.Job.ID, item.ID, waited, wait.To.Format(clockFormat)))
				}
			}
		}
	}
	return found
}

// waitsOf returns the periods between the runs of an item, and the one from its last run to the end of its job unless it
// was completed or failed by its engine, which may have used up its attempts. An item that has not begun counts only once another item of its job has.
func (r itemRuns) waitsOf(job *JobRecord, id string) []TimeSpan {
	runs := slices.DeleteFunc(slices.Clone(r[id]), func(run standin.Run) bool {
		return run.At.Before(job.SentAt)
	})
	var waits []TimeSpan
	idleSince := r.firstRunOf(job)
	for _, run := range runs {
		if !idleSince.IsZero() && run.At.After(idleSince) {
			waits = append(waits, TimeSpan{From: idleSince, To: run.At})
		}
		idleSince = run.EndedAt
	}
	if job.completes(id) || failsAlways(id) || isImpossible(id) || idleSince.IsZero() ||
		len(runs) > 0 && (runs[len(runs)-1].Whole || runs[len(runs)-1].Fault == standin.RespondsError) {
		return waits
	}
	if job.CancelSentAt.After(idleSince) {
		waits = append(waits, TimeSpan{From: idleSince, To: job.CancelSentAt})
	}
	return waits
}

// firstRunOf returns when the first item of a job began; zero if none has.
func (r itemRuns) firstRunOf(job *JobRecord) time.Time {
	var first time.Time
	for _, item := range job.Job.Items {
		for _, run := range r[item.ID] {
			if !run.At.Before(job.SentAt) && (first.IsZero() || run.At.Before(first)) {
				first = run.At
			}
		}
	}
	return first
}

// completes reports whether an item was read as completed.
func (j *JobRecord) completes(id string) bool {
	return slices.ContainsFunc(j.Positions, func(result standin.ItemResult) bool {
		return result.ID == id && result.State == standin.StateCompleted
	})
}

// roomSince returns the time since which, until the end of a wait, no fault affected a node or an engine that items run on
// and less than half of these engines' slots were taken. It is the end of the wait if that never was so.
func (h *History) roomSince(wait TimeSpan, bounds Bounds) time.Time {
	from := wait.From
	for _, each := range h.Disturbances {
		settled := wait.To
		if !each.To.IsZero() {
			settled = each.To.Add(bounds.Settle)
		}
		if each.From.Before(wait.To) && settled.After(from) {
			from = settled
		}
	}
	slots := 0
	for i := range h.Engines {
		engine := &h.Engines[i]
		if engine.Service != standin.ServiceDrafts {
			continue
		}
		for _, change := range []time.Time{engine.StartedAt, engine.EndedAt} {
			if change.Before(wait.To) && change.Add(bounds.Settle).After(from) {
				from = change.Add(bounds.Settle)
			}
		}
		if engine.StartedAt.Before(wait.To) && (engine.EndedAt.IsZero() || engine.EndedAt.After(wait.To)) {
			slots += engine.Slots
		}
	}
	for _, each := range h.AnswerFaults {
		if each.From.Before(wait.To) && each.To.Add(bounds.Settle).After(from) {
			from = each.To.Add(bounds.Settle)
		}
	}
	if !from.Before(wait.To) {
		return wait.To
	}
	return h.lastTimeAboveOccupancy(TimeSpan{From: from, To: wait.To}, maxOccupancy*float64(slots))
}

// lastTimeAboveOccupancy returns when, in a period, the number of runs at the engines that items run on was last at or
// above a limit; the period's start if it never was.
func (h *History) lastTimeAboveOccupancy(period TimeSpan, limit float64) time.Time {
	type change struct {
		at time.Time
		by int
	}
	var changes []change
	for i := range h.Engines {
		if h.Engines[i].Service != standin.ServiceDrafts {
			continue
		}
		for _, run := range h.Engines[i].Runs {
			ended := run.EndedAt
			if ended.IsZero() {
				ended = period.To
			}
			if run.At.Before(period.To) && ended.After(period.From) {
				changes = append(changes, change{run.At, 1}, change{ended, -1})
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	last, running := period.From, 0
	for _, each := range changes {
		if float64(running) >= limit && each.at.After(last) {
			last = each.at
		}
		running += each.by
	}
	if last.After(period.To) {
		return period.To
	}
	return last
}
