package batchplan

import (
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/joborder"
)

// longestFraction is the fraction of a job's items of known length, the longest ones, that start
// before those of unknown length. An item of unknown length may be one of the few that determine
// when the job ends, so it starts before the items known to be shorter.
const longestFraction = 0.25

// Job holds the properties of a job that determine when its items start.
type Job struct {
	ID    string
	Model string
	// Priority determines which jobs start first; 0 is the highest.
	Priority int
	// Step is the sequence number that the submitter gave the job; zero for none.
	Step int64
	// Lengths are the expected output lengths of all items in tokens; zero when unknown.
	Lengths []int
	// Due holds the properties that determine the order by due times; it is ignored by a plan that starts jobs in the
	// order of their arrival.
	Due DueJob
}

// jobRank is a job's position in the start order.
type jobRank struct {
	id       string
	model    string
	priority int
	step     int64
	// position is the job's index in Plan.order.
	position int
	// longThreshold is the length from which an item counts as one of the job's longest; zero if no length is known.
	longThreshold int
	// demands are those of the job's items that may start in this pass, one for each service. They are set only with due,
	// the job's entry in the order by due times; nil if there is none.
	demands []classDemand
	due     *joborder.Entry
	// services are those that the job's route leads to; see Plan.SetServices.
	services []string
	// dueAfter is the time from the job's submission until its results are due; zero when unknown.
	dueAfter time.Duration
}

// AddJob adds a job; it must be called before the job's items are added. Jobs start by priority, then
// in the order in which they are added, except that a job precedes those of later steps of its model:
// a new leader adds all open jobs at once, in any order.
func (p *Plan) AddJob(job Job) {
	rank := &jobRank{
		id: job.ID, model: job.Model, priority: job.Priority, step: job.Step, longThreshold: longThresholdOf(job.Lengths),
	}
	position := slices.IndexFunc(p.order, func(other *jobRank) bool {
		if other.priority != rank.priority {
			return other.priority > rank.priority
		}
		return other.model == rank.model && other.step > rank.step
	})
	if position < 0 {
		position = len(p.order)
	}
	p.jobs[rank.id] = rank
	p.order = slices.Insert(p.order, position, rank)
	p.renumber()
	rank.due = p.due.addJob(job)
}

// SetDueAfter sets the time from a job's acceptance until its results are due. Without it no item of the job counts as
// long, and none is kept off fast engines.
func (p *Plan) SetDueAfter(job string, dueAfter time.Duration) {
	if rank, found := p.jobs[job]; found {
		rank.dueAfter = dueAfter
	}
	p.due.setDueAfter(job, dueAfter)
}

// ForgetJob removes a job that has no items left.
func (p *Plan) ForgetJob(job string) {
	rank, found := p.jobs[job]
	if !found {
		return
	}
	delete(p.jobs, job)
	p.order = slices.Delete(p.order, rank.position, rank.position+1)
	p.renumber()
	p.due.forgetJob(job)
}

func (p *Plan) renumber() {
	for position, rank := range p.order {
		rank.position = position
	}
}

// longThresholdOf returns the length from which an item counts as one of the longest; zero if no
// length is known.
func longThresholdOf(lengths []int) int {
	known := slices.DeleteFunc(slices.Clone(lengths), func(length int) bool { return length <= 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[int(float64(len(known))*(1-longestFraction))]
}

// queue returns the waiting items that may start now, in start order.
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

// compare compares two items by start order.
func (p *Plan) compare(a, b Item) int {
	rank := p.jobs[a.Key.Job]
	if a.Key.Job != b.Key.Job {
		return rank.position - p.jobs[b.Key.Job].position
	}
	if lengthA, lengthB := rank.assumedLength(a), rank.assumedLength(b); lengthA != lengthB {
		return lengthB - lengthA
	}
	return a.Key.Item - b.Key.Item
}

// assumedLength returns the length by which the item is ordered within its job.
func (r *jobRank) assumedLength(item Item) int {
	if item.Length > 0 {
		return item.Length
	}
	return r.longThreshold
}
