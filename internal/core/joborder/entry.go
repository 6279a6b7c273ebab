package joborder

import (
	"slices"
	"time"
)

// phase is what an item needs of the engines.
type phase uint8

const (
	// waiting items wait for an engine, or will once their payload has been read.
	waiting phase = iota
	running
	done
)

// itemState is the state of an item.
type itemState struct {
	phase     phase
	startedAt time.Time
	// events is the number of the item's events so far, in all runs that its next one continues.
	events int32
	// counted is true once the item counts toward its submitter's share.
	counted bool
}

// Entry is an open job in an Order, with the state of its items.
type Entry struct {
	Job
	service string
	items   []itemState
	groups  []group
	// groupOf is the index in groups of each item's group.
	groupOf []int
	// typicalLength is the median of the known lengths, which stands for unknown ones; zero if none is known.
	typicalLength int
	contendedAt   time.Time
	rank          rank
	positions     Positions
	// reported holds the decisions that have been reported.
	reported map[Kind]bool
}

func newEntry(added Job) *Entry {
	created := &Entry{Job: added, items: make([]itemState, len(added.Items)), reported: make(map[Kind]bool)}
	created.groups, created.groupOf = groupsOf(added.Items)
	var known []int
	for i, item := range added.Items {
		if item.Done {
			created.items[i].phase = done
		}
		if item.Length > 0 {
			known = append(known, item.Length)
		}
	}
	if len(known) > 0 {
		slices.Sort(known)
		created.typicalLength = known[len(known)/2]
	}
	return created
}

// setState changes the state of an item; items that the job does not name are added.
func (e *Entry) setState(item int, state itemState) {
	if item >= len(e.items) {
		e.items = append(e.items, make([]itemState, item+1-len(e.items))...)
	}
	state.counted, state.events = e.items[item].counted, e.items[item].events
	e.items[item] = state
}

// lengthOf returns an item's expected length; zero if no length of the job is known.
func (e *Entry) lengthOf(item int) int {
	if item < len(e.Items) && e.Items[item].Length > 0 {
		return e.Items[item].Length
	}
	return e.typicalLength
}

// remaining returns the time that an item still needs at the pace, given its whole length: that of the tokens which its
// events so far do not cover. Without events it is estimated from the start of the run.
func (e *Entry) remaining(item, length int, pace time.Duration, tokensPerEvent float64, now time.Time) time.Duration {
	needed := time.Duration(length) * pace
	switch state := &e.items[item]; {
	case state.events > 0 && tokensPerEvent > 0:
		needed -= time.Duration(float64(state.events) * tokensPerEvent * float64(pace))
	case state.phase == running:
		needed -= now.Sub(state.startedAt)
	}
	return max(needed, 0)
}

// waits reports whether an item of the job waits for an engine.
func (e *Entry) waits() bool {
	return slices.ContainsFunc(e.items, func(item itemState) bool { return item.phase == waiting })
}

// span returns the time in which the job's results are due, or assumedDueAfter if they are not.
func (e *Entry) span() time.Duration {
	if e.DueAfter > 0 {
		return e.DueAfter
	}
	return assumedDueAfter
}

func (e *Entry) due() time.Time { return e.Accepted.Add(e.span()) }

func (e *Entry) shareKey() shareKey { return shareKey{pool{e.service, e.Priority}, e.Submitter} }

// Positions returns the places of the job's items as of the last call of Refresh.
func (e *Entry) Positions() Positions { return e.positions }

// IsSurplus reports whether the submitter does not wait for the item's group.
func (e *Entry) IsSurplus(item int) bool {
	return item < len(e.groupOf) && e.groups[e.groupOf[item]].surplus
}

// SetContended records that items of the job wait while items of its service compete for slots.
func (e *Entry) SetContended(now time.Time) { e.contendedAt = now }

// ContendedSince reports whether items of the job had to wait for slots at or after the time.
func (e *Entry) ContendedSince(at time.Time) bool { return !e.contendedAt.Before(at) }

// without returns the jobs without the given one, in the same order.
func without(jobs []*Entry, removed *Entry) []*Entry {
	if index := slices.Index(jobs, removed); index >= 0 {
		return slices.Delete(jobs, index, index+1)
	}
	return jobs
}
