package batchplan

import (
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/joborder"
)

// DueJob holds the properties of a job that determine its place in the order by due times.
type DueJob struct {
	// Submitter is the job's tenant, or else its model.
	Submitter string
	Accepted  time.Time
	// DueAfter is the time from Accepted until the results are due; zero for none.
	DueAfter time.Duration
	// Wanted is the number of complete groups that the submitter waits for; zero if it waits for all. CarriedOver is
	// the number of leading groups for all of which it waits.
	Wanted      int
	CarriedOver int
	// Groups are the groups of all items, Done whether each needs no engine any more.
	Groups []string
	Done   []bool
}

// dueOrder orders the jobs by due times while items compete for slots. The methods that record changes have no
// effect on a nil *dueOrder.
type dueOrder struct {
	jobs *joborder.Order
	// demands is reused between passes.
	demands map[string]*demand
}

// OrderByDue makes the plan start items by joborder.Order while more of them wait than slots are free. It must be
// called before jobs are added.
func (p *Plan) OrderByDue() {
	p.due = &dueOrder{jobs: joborder.New(), demands: make(map[string]*demand)}
}

// OrderStale reports whether RefreshOrder would compute the ranks of jobs anew.
func (p *Plan) OrderStale(now time.Time) bool { return p.due != nil && p.due.jobs.Stale(now) }

// RefreshOrder computes the ranks of jobs anew if that is due, and returns the decisions that were not returned before.
func (p *Plan) RefreshOrder(now time.Time) []joborder.Decision {
	if p.due == nil {
		return nil
	}
	p.refreshRanks(now)
	return p.due.jobs.TakeDecisions()
}

func (p *Plan) refreshRanks(now time.Time) {
	var pace joborder.Pace
	if p.due.jobs.Stale(now) {
		median, best := p.medianAndBestPace()
		events := p.expectedEvents(1)
		pace = joborder.Pace{
			Best: time.Duration(events * float64(best)), Median: time.Duration(events * float64(median)),
		}
		if events > 0 {
			pace.TokensPerEvent = 1 / events
		}
		for service, classes := range p.speeds.classes {
			if pace.Fast == nil {
				pace.Fast = make(map[string]time.Duration)
			}
			pace.Fast[service] = time.Duration(events * float64(classes.FastPace))
		}
	}
	p.due.jobs.Refresh(now, pace)
}

// addJob adds a job and returns its entry; nil if there is no order by due times.
func (d *dueOrder) addJob(job Job) *joborder.Entry {
	if d == nil {
		return nil
	}
	added := joborder.Job{
		ID: job.ID, Submitter: job.Due.Submitter, Model: job.Model, Priority: job.Priority, Step: job.Step,
		Accepted: job.Due.Accepted, DueAfter: job.Due.DueAfter, Wanted: job.Due.Wanted, CarriedOver: job.Due.CarriedOver,
		Items: make([]joborder.Item, len(job.Due.Groups)),
	}
	for i := range added.Items {
		added.Items[i] = joborder.Item{Group: job.Due.Groups[i], Length: job.Lengths[i], Done: job.Due.Done[i]}
	}
	return d.jobs.Add(added)
}

func (d *dueOrder) setDueAfter(job string, dueAfter time.Duration) {
	if d != nil {
		d.jobs.SetDueAfter(job, dueAfter)
	}
}

func (d *dueOrder) forgetJob(job string) {
	if d != nil {
		d.jobs.Forget(job)
	}
}

func (d *dueOrder) itemWaits(item Item, pool string) {
	if d != nil {
		d.jobs.Waiting(item.Key.Job, item.Key.Item, pool, item.Events)
	}
}

func (d *dueOrder) itemStarted(key Key, now time.Time) {
	if d != nil {
		d.jobs.Started(key.Job, key.Item, now)
	}
}

func (d *dueOrder) recordEvents(key Key, events int32) {
	if d != nil {
		d.jobs.RecordEvents(key.Job, key.Item, events)
	}
}

func (d *dueOrder) itemDone(key Key) {
	if d != nil {
		d.jobs.Done(key.Job, key.Item)
	}
}

// candidateItem is a waiting item that may start now.
type candidateItem struct {
	item Item
	job  *jobRank
}

// startOrder returns the waiting items that may start now, in start order.
func (p *Plan) startOrder(pass *pass) []Item {
	now := pass.now
	if p.due == nil {
		return p.queue(now)
	}
	p.refreshRanks(now)
	waiting := pass.startable()
	p.due.countDemands(pass)
	var unordered []Item
	ordered := make([]orderedItem, 0, len(waiting))
	for i := range waiting {
		item, job := &waiting[i].item, waiting[i].job
		if position, found := p.due.position(item, job, now); found {
			ordered = append(ordered, orderedItem{position, job.assumedLength(*item), item})
		} else {
			unordered = append(unordered, *item)
		}
	}
	slices.SortFunc(unordered, p.compare)
	slices.SortFunc(ordered, compareOrdered)
	queue := slices.Grow(unordered, len(ordered))
	for _, each := range ordered {
		queue = append(queue, *each.item)
	}
	return queue
}

// startable returns the waiting items that may start now and counts them by job.
func (p *pass) startable() []candidateItem {
	for _, job := range p.plan.order {
		job.demands = job.demands[:0]
	}
	startable := make([]candidateItem, 0, len(p.plan.waiting))
	for _, item := range p.plan.waiting {
		if item.NotBefore.After(p.now) {
			continue
		}
		job := p.plan.jobs[item.Key.Job]
		need := p.need(&item)
		itemClass := class{service: item.Service, model: item.Model, minVersion: item.MinVersion}
		job.countDemand(&classDemand{class: itemClass, waiting: 1, need: need, leastNeed: need})
		startable = append(startable, candidateItem{item, job})
	}
	return startable
}

// orderedItem is an item with what determines its place in the order.
type orderedItem struct {
	position int
	length   int
	item     *Item
}

func compareOrdered(a, b orderedItem) int {
	switch {
	case a.position != b.position:
		return a.position - b.position
	case a.length != b.length:
		return b.length - a.length
	default:
		return a.item.Key.Item - b.item.Key.Item
	}
}

// position returns an item's position in the order by due times; false if the items of its service do not compete.
func (d *dueOrder) position(item *Item, job *jobRank, now time.Time) (int, bool) {
	if !d.demands[item.Service].exceedsSlots || job.due == nil {
		return 0, false
	}
	job.due.SetContended(now)
	positions := job.due.Positions()
	if job.due.IsSurplus(item.Key.Item) {
		return positions.Surplus, true
	}
	return positions.Awaited, true
}

// startsAsSurplus reports whether an item that starts now was ordered after others because its submitter does not wait
// for its group.
func (p *Plan) startsAsSurplus(key Key, now time.Time) bool {
	job := p.jobs[key.Job]
	return job.due != nil && job.due.ContendedSince(now) && job.due.IsSurplus(key.Item)
}
