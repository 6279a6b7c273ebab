package joborder

import "time"

// Kind is the kind of a decision.
type Kind uint8

const (
	// Outranked jobs have items that wait while a job that was accepted later precedes them.
	Outranked Kind = iota + 1
	// Late jobs cannot be complete in time.
	Late
)

var kindNames = [...]string{Outranked: "outranked", Late: "late"}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Outranked, Late} }

// Decision is a decision about a job with what determined it. There is at most one of each kind for a job.
type Decision struct {
	Kind Kind
	Job  string
	// Ahead is, for outranked jobs, the one that was accepted last among the competing jobs before it in the order.
	Ahead string
	// Reason is, for late jobs, why they cannot be complete in time.
	Reason string
	// Slack is the time until the results are due less Needed, the time that the job's longest items need. Soonest is
	// the same for a fast engine, with lengths that are cautiously estimated.
	Slack, Needed, Soonest time.Duration
	// Behind is how long ago the submitter's earliest incomplete job was due, Share the effect of its share on its slack.
	Behind, Share time.Duration
	// CanBeInTime reports whether the job can be complete in time.
	CanBeInTime bool
}

// decide records the decisions that were not reported before.
func (o *Order) decide(now time.Time) {
	latest := make(map[pool]*Entry)
	for _, each := range o.ranked {
		if each.DueAfter > 0 && !each.inTimePossible(now) && !each.complete() {
			o.report(each, Decision{Kind: Late, Reason: each.lateReason(now)})
		}
		if !each.ContendedSince(now.Add(-2 * RefreshInterval)) {
			continue
		}
		key := each.shareKey().pool
		if ahead := latest[key]; ahead != nil && ahead.Accepted.After(each.Accepted) {
			o.report(each, Decision{Kind: Outranked, Ahead: ahead.ID})
		}
		if latest[key] == nil || each.Accepted.After(latest[key].Accepted) {
			latest[key] = each
		}
	}
}

// inTimePossible reports whether the job can be complete in time.
func (e *Entry) inTimePossible(now time.Time) bool { return !now.Add(e.rank.soonest).After(e.due()) }

// lateReason returns why a job cannot be complete in time.
func (e *Entry) lateReason(now time.Time) string {
	switch {
	case !now.Before(e.due()):
		return "due time passed"
	case e.waits():
		return "waiting items need longer"
	default:
		return "running items need longer"
	}
}

func (o *Order) report(e *Entry, decision Decision) {
	if e.reported[decision.Kind] {
		return
	}
	e.reported[decision.Kind] = true
	decision.Job, decision.CanBeInTime = e.ID, e.rank.class == inTime
	decision.Slack, decision.Needed, decision.Soonest = e.rank.slack, e.rank.needed, e.rank.soonest
	decision.Behind, decision.Share = e.rank.behind, e.rank.share
	o.decisions = append(o.decisions, decision)
}
