// Package joborder determines the order in which the items of open jobs start while more items wait than slots are
// free. It performs no I/O and reads no clock; callers pass the current time.
//
// Jobs start by priority. Among jobs of one priority, those that can still be complete in time precede the others, and
// within each of these classes the job with the least slack is first: the time until its results are due, less the time
// that its longest items need. A submitter that is behind counts as having less slack, one that got more than its share
// of the recently started work as having more. Items of groups that the submitter does not wait for start after all
// others of the same priority.
//
// Apart from the shares, the order is a function of the job records, their results, the pace of the engines and the
// time: it depends neither on the order of the calls nor on the process, so a new leader reaches the same order.
package joborder

import (
	"time"
)

// RefreshInterval is the time between two computations of all ranks. Slack changes by seconds, so a shorter interval
// would cost time without changing the order.
const RefreshInterval = 200 * time.Millisecond

// Job is an open job.
type Job struct {
	ID string
	// Submitter is the job's tenant, or else its model.
	Submitter string
	Model     string
	// Priority is the priority of the job; 0 is the highest.
	Priority int
	// Step is the sequence number that the submitter gave the job; zero for none.
	Step int64
	// Accepted is when the job was accepted; when it is first ranked if zero.
	Accepted time.Time
	// DueAfter is the time from Accepted until the results are due; zero for none.
	DueAfter time.Duration
	// Wanted is the number of complete groups that the submitter waits for; zero if it waits for all.
	Wanted int
	// CarriedOver is the number of leading groups that are carried over from an earlier job. The submitter waits for
	// all of them.
	CarriedOver int
	Items       []Item
}

// Item is an item of a job.
type Item struct {
	Group string
	// Length is the expected output length in tokens; zero when unknown.
	Length int
	// Done is true if the item needs no engine any more.
	Done bool
}

// Pace is the time that engines take for one token of expected output; zero when unknown.
type Pace struct {
	// Best is the pace of the fast engines, Median that of the median engine.
	Best, Median time.Duration
	// Fast is the pace of the fast class, by service, for the services whose engines are divided into classes. It
	// replaces Best there: with few fast engines Best may be the pace of the others.
	Fast map[string]time.Duration
	// TokensPerEvent is the expected output, in tokens, that an event stands for; zero when unknown.
	TokensPerEvent float64
}

// best returns the pace of the fast engines of a service.
func (p *Pace) best(service string) time.Duration {
	if fast, found := p.Fast[service]; found {
		return fast
	}
	return p.Best
}

// Order holds the open jobs in start order. Its state belongs to one leader; the shares of another one start from zero.
type Order struct {
	jobs map[string]*Entry
	// ranked holds the jobs in start order as of refreshedAt, unranked those added since.
	ranked      []*Entry
	unranked    []*Entry
	refreshedAt time.Time
	pace        Pace
	shares      shares
	decisions   []Decision
}

// New returns an order without jobs.
func New() *Order {
	return &Order{jobs: make(map[string]*Entry), shares: newShares()}
}

// Add adds a job, or finds the one that was added under its ID.
func (o *Order) Add(added Job) *Entry {
	if known, found := o.jobs[added.ID]; found {
		return known
	}
	created := newEntry(added)
	o.jobs[added.ID] = created
	o.unranked = append(o.unranked, created)
	return created
}

// Forget removes a job.
func (o *Order) Forget(id string) {
	forgotten, found := o.jobs[id]
	if !found {
		return
	}
	delete(o.jobs, id)
	o.ranked = without(o.ranked, forgotten)
	o.unranked = without(o.unranked, forgotten)
}

// SetDueAfter changes the time from a job's acceptance until its results are due.
func (o *Order) SetDueAfter(id string, dueAfter time.Duration) {
	if changed, found := o.jobs[id]; found {
		changed.DueAfter = dueAfter
	}
}

// Waiting records that an item waits for an engine of the service, which will continue it after the given number of
// events.
func (o *Order) Waiting(id string, item int, service string, events int32) {
	if changed, found := o.jobs[id]; found {
		changed.service = service
		changed.setState(item, itemState{phase: waiting})
		changed.items[item].events = events
	}
}

// RecordEvents records the number of events of a running item so far, including those of earlier runs.
func (o *Order) RecordEvents(id string, item int, events int32) {
	if changed, found := o.jobs[id]; found && item < len(changed.items) {
		changed.items[item].events = events
	}
}

// Started records that an item started. Its first start counts toward the submitter's share.
func (o *Order) Started(id string, item int, now time.Time) {
	changed, found := o.jobs[id]
	if !found {
		return
	}
	changed.setState(item, itemState{phase: running, startedAt: now})
	if !changed.items[item].counted {
		changed.items[item].counted = true
		o.shares.add(changed.shareKey(), float64(max(changed.lengthOf(item), 1)), now)
	}
}

// Done records that an item needs no engine any more.
func (o *Order) Done(id string, item int) {
	if changed, found := o.jobs[id]; found {
		changed.setState(item, itemState{phase: done})
	}
}

// Stale reports whether Refresh would compute the ranks anew.
func (o *Order) Stale(now time.Time) bool {
	return o.refreshedAt.IsZero() || now.Sub(o.refreshedAt) >= RefreshInterval || now.Before(o.refreshedAt)
}

// TakeDecisions returns the decisions since the last call.
func (o *Order) TakeDecisions() []Decision {
	decisions := o.decisions
	o.decisions = nil
	return decisions
}

// Positions are the places of a job's items in the start order; lower ones start first.
type Positions struct {
	// Awaited is the position of the items that the submitter waits for, Surplus that of the others.
	Awaited, Surplus int
}
