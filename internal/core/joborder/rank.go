package joborder

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// assumedDueAfter is the time in which a job without a due time is ordered as if it were due, so that it gains rank
	// while it waits.
	assumedDueAfter = 30 * time.Second
	// promotionAge is the age of a job that cannot be complete in time, as a multiple of the time in which its results
	// are due, from which on it counts as one without slack that can; see promote. Submitters abandon a late step after
	// 1.6 times that time, and its last items need the rest to run.
	promotionAge = 1.25
	// longestLeftOut is the part of a job's items whose lengths are left out when its time is estimated, the longest
	// ones. Single length hints are often far off.
	longestLeftOut = 0.05
)

// class divides the jobs of one priority.
type class uint8

const (
	inTime class = iota
	late
)

// rank is a job's place in the start order and what determined it.
type rank struct {
	class class
	// promoted is true for a job that cannot be complete in time and is in the class inTime because of its age.
	promoted bool
	// key orders the jobs of a class, the least first.
	key time.Duration
	// slack is the time until the results are due, less needed.
	slack time.Duration
	// needed is the time that the job's longest items need at a median engine, soonest that at a fast one if their
	// lengths are overestimated.
	needed, soonest time.Duration
	// behind is how long ago the submitter's earliest incomplete job was due; zero if the submitter got far more than its
	// share.
	behind time.Duration
	// share is the effect of the submitter's share on the key.
	share time.Duration
}

// Refresh computes the ranks of all jobs, at most once per RefreshInterval; in between it only ranks jobs that were
// added.
func (o *Order) Refresh(now time.Time, pace Pace) {
	for _, added := range o.unranked {
		if added.Accepted.IsZero() {
			added.Accepted = now
		}
	}
	if !o.Stale(now) {
		o.insertUnranked()
		return
	}
	o.refreshedAt, o.pace = now, pace
	o.refreshShares(now)
	earliest := o.earliestDue()
	o.ranked, o.unranked = o.ranked[:0], nil
	for _, each := range o.jobs {
		o.evaluate(each, earliest)
		o.ranked = append(o.ranked, each)
	}
	o.sort()
	o.decide(now)
}

func (o *Order) refreshShares(now time.Time) {
	waiting := make(map[shareKey]bool)
	for _, each := range o.jobs {
		if key := each.shareKey(); !waiting[key] && each.waits() {
			waiting[key] = true
		}
	}
	o.shares.refresh(waiting, now)
}

// submitterKey identifies a submitter at a priority.
type submitterKey struct {
	submitter string
	priority  int
}

func (e *Entry) submitterKey() submitterKey { return submitterKey{e.Submitter, e.Priority} }

// earliestDue returns when the earliest incomplete job of each submitter was or is due. Submitters end a job some time
// after the last group that they wait for; until then it is open, but no reason to prefer its submitter.
func (o *Order) earliestDue() map[submitterKey]time.Time {
	earliest := make(map[submitterKey]time.Time)
	for _, each := range o.jobs {
		if each.complete() {
			continue
		}
		key := each.submitterKey()
		if known, found := earliest[key]; !found || each.due().Before(known) {
			earliest[key] = each.due()
		}
	}
	return earliest
}

// insertUnranked ranks the jobs that were added since the last refresh.
func (o *Order) insertUnranked() {
	if len(o.unranked) == 0 {
		return
	}
	earliest := o.earliestDue()
	for _, added := range o.unranked {
		o.evaluate(added, earliest)
		o.ranked = append(o.ranked, added)
	}
	o.unranked = nil
	o.sort()
}

// evaluate computes a job's rank as of the last refresh.
func (o *Order) evaluate(e *Entry, earliest map[submitterKey]time.Time) {
	now := o.refreshedAt
	e.markSurplus(o.pace, now)
	next := rank{
		needed:  e.estimate(o.pace.Median, o.pace.TokensPerEvent, now, e.lengthOf),
		soonest: e.estimate(o.pace.best(e.service), o.pace.TokensPerEvent, now, e.leastLength),
		share:   o.shares.adjustment(e.shareKey(), e.span()),
	}
	next.slack = e.due().Sub(now) - next.needed
	if due, found := earliest[e.submitterKey()]; found && !o.shares.exceeded(e.shareKey()) {
		next.behind = min(max(now.Sub(due), 0), e.span())
	}
	next.key = next.slack - next.behind + next.share
	if e.DueAfter > 0 && now.Add(next.soonest).After(e.due()) {
		next.class = late
		o.promote(e, &next)
	}
	e.rank = next
}

// promote gives a job that cannot be complete in time a rank among those that can once it has waited for long. Its rank
// then rises with its age, unless its submitter got far more than its share: the old jobs of a submitter that submits
// more than it can be given would otherwise delay those of all others.
func (o *Order) promote(e *Entry, late *rank) {
	waited := o.refreshedAt.Sub(e.Accepted) - time.Duration(promotionAge*float64(e.span()))
	if waited < 0 {
		return
	}
	late.class, late.promoted, late.key = inTime, true, late.share
	if !o.shares.exceeded(e.shareKey()) {
		late.key -= waited
	}
}

// estimate returns the time that the job's awaited items still need at the pace, without the few longest.
func (e *Entry) estimate(
	pace time.Duration, tokensPerEvent float64, now time.Time, length func(item int) int,
) time.Duration {
	var needed []time.Duration
	for item := range e.items {
		if e.items[item].phase == done || e.IsSurplus(item) {
			continue
		}
		needed = append(needed, e.remaining(item, length(item), pace, tokensPerEvent, now))
	}
	if len(needed) == 0 {
		return 0
	}
	slices.Sort(needed)
	return needed[len(needed)-1-int(longestLeftOut*float64(len(needed)))]
}

// leastLength returns a cautious estimate of an item's length: hints are right at the median and often far off, so half
// of the difference to the median is left out.
func (e *Entry) leastLength(item int) int {
	length := e.lengthOf(item)
	if length <= e.typicalLength {
		return length
	}
	return (length + e.typicalLength) / 2
}

func (o *Order) sort() {
	raisePromoted(o.ranked)
	keepStepOrder(o.ranked)
	slices.SortFunc(o.ranked, compare)
	o.assignPositions()
}

// raisePromoted raises promoted jobs above all others of their submitters, so that a job does not wait for as long as
// its submitter submits more urgent ones.
func raisePromoted(jobs []*Entry) {
	least := make(map[submitterKey]time.Duration)
	for _, each := range jobs {
		key := each.submitterKey()
		if known, found := least[key]; each.rank.class == inTime && !each.rank.promoted && (!found || each.rank.key < known) {
			least[key] = each.rank.key
		}
	}
	for _, each := range jobs {
		if limit, found := least[each.submitterKey()]; found && each.rank.promoted {
			each.rank.key = min(each.rank.key, limit-1)
		}
	}
}

// keepStepOrder raises the rank of each job above those of later steps of its model in the same class.
func keepStepOrder(jobs []*Entry) {
	type series struct {
		submitter, model string
		priority         int
		class            class
	}
	bySeries := make(map[series][]*Entry)
	for _, each := range jobs {
		key := series{each.Submitter, each.Model, each.Priority, each.rank.class}
		bySeries[key] = append(bySeries[key], each)
	}
	for _, steps := range bySeries {
		raiseEarlierSteps(steps)
	}
}

// raiseEarlierSteps raises the rank of each job above those of all jobs of later steps.
func raiseEarlierSteps(jobs []*Entry) {
	slices.SortFunc(jobs, func(a, b *Entry) int { return cmp.Compare(b.Step, a.Step) })
	limit := time.Duration(math.MaxInt64)
	for start := 0; start < len(jobs); {
		next := limit
		step := jobs[start].Step
		for ; start < len(jobs) && jobs[start].Step == step; start++ {
			jobs[start].rank.key = min(jobs[start].rank.key, limit)
			next = min(next, jobs[start].rank.key-1)
		}
		limit = next
	}
}

// compare compares two jobs by start order.
func compare(a, b *Entry) int {
	return cmp.Or(
		a.Priority-b.Priority,
		int(a.rank.class)-int(b.rank.class),
		cmp.Compare(a.rank.key, b.rank.key),
		a.Accepted.Compare(b.Accepted),
		strings.Compare(a.ID, b.ID),
	)
}

// assignPositions numbers the positions: for each priority first those of the awaited items, then those of the others.
func (o *Order) assignPositions() {
	for start := 0; start < len(o.ranked); {
		end := start
		for end < len(o.ranked) && o.ranked[end].Priority == o.ranked[start].Priority {
			end++
		}
		for i := start; i < end; i++ {
			o.ranked[i].positions = Positions{Awaited: start + i, Surplus: end + i}
		}
		start = end
	}
}
