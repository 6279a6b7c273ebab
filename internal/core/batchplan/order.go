package batchplan

import (
	"slices"
	"time"
)

// longShare is the part of a job's items of known length that start before those of
// unknown length: the longest quarter. An item of unknown length is as likely as any
// other to be one of the few that decide when the job ends, so it goes before the
// items that are known not to be.
const longShare = 0.25

// Job is what the order of starts depends on.
type Job struct {
	ID    string
	Model string
	// Priority is the job's rank, 0 first.
	Priority int
	// Step is the submitter's number of the job, which rises; zero when it has none.
	Step int64
	// Lengths are the expected outputs of all items, zero for unknown ones.
	Lengths []int
}

// jobRank is a job's place in the order of starts.
type jobRank struct {
	id       string
	model    string
	priority int
	step     int64
	// place is the job's index in the order.
	place int
	// long is the length from which an item counts as one of the job's longest.
	long int
}

// AddJob tells the plan of a job before its items. Jobs start in the order of their
// priorities; those of one priority in the order in which they are added, but none before
// one of the same model and an earlier step: a new leader hears of all open jobs at once,
// in any order.
func (p *Plan) AddJob(job Job) {
	rank := &jobRank{
		id: job.ID, model: job.Model, priority: job.Priority, step: job.Step, long: longFrom(job.Lengths),
	}
	place := slices.IndexFunc(p.order, func(other *jobRank) bool {
		if other.priority != rank.priority {
			return other.priority > rank.priority
		}
		return other.model == rank.model && other.step > rank.step
	})
	if place < 0 {
		place = len(p.order)
	}
	p.jobs[rank.id] = rank
	p.order = slices.Insert(p.order, place, rank)
	p.renumber()
}

// ForgetJob drops what is kept of a job without items.
func (p *Plan) ForgetJob(job string) {
	rank, found := p.jobs[job]
	if !found {
		return
	}
	delete(p.jobs, job)
	p.order = slices.Delete(p.order, rank.place, rank.place+1)
	p.renumber()
}

func (p *Plan) renumber() {
	for place, rank := range p.order {
		rank.place = place
	}
}

// longFrom returns the length from which an item counts as one of the longest;
// zero when no length is known.
func longFrom(lengths []int) int {
	known := slices.DeleteFunc(slices.Clone(lengths), func(length int) bool { return length <= 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[int(float64(len(known))*(1-longShare))]
}

// queue returns the items that may start, in the order in which they should.
func (p *Plan) queue(now time.Time) []Item {
	queue := make([]Item, 0, len(p.waiting))
	for _, item := range p.waiting {
		if !item.NotBefore.After(now) {
			queue = append(queue, item)
		}
	}
	slices.SortFunc(queue, p.compare)
	return queue
}

// compare orders two items by when they should start.
func (p *Plan) compare(a, b Item) int {
	rank := p.jobs[a.Key.Job]
	if a.Key.Job != b.Key.Job {
		return rank.place - p.jobs[b.Key.Job].place
	}
	if lengthA, lengthB := rank.assumedLength(a), rank.assumedLength(b); lengthA != lengthB {
		return lengthB - lengthA
	}
	return a.Key.Item - b.Key.Item
}

// assumedLength is the output that decides about the item's place in its job.
func (r *jobRank) assumedLength(item Item) int {
	if item.Length > 0 {
		return item.Length
	}
	return r.long
}
