package joborder

import (
	"cmp"
	"slices"
	"time"
)

// surplusAge is the age of a job, as a multiple of the time in which its results are due, from which on all of its
// groups count as awaited, so that the items of surplus groups start however long the shortage lasts.
const surplusAge = 2

// group is a group of items whose results the submitter uses together.
type group struct {
	items []int
	// surplus is true if the submitter does not wait for the group.
	surplus bool
}

// groupsOf returns the groups in the order of their first items, and the index of each item's group.
func groupsOf(items []Item) ([]group, []int) {
	var groups []group
	indices := make(map[string]int)
	groupOf := make([]int, len(items))
	for i, item := range items {
		index, known := indices[item.Group]
		if !known {
			index = len(groups)
			indices[item.Group] = index
			groups = append(groups, group{})
		}
		groups[index].items = append(groups[index].items, i)
		groupOf[i] = index
	}
	return groups, groupOf
}

// openGroup is a group with unfinished items.
type openGroup struct {
	index int
	// left is the time, or without a known pace the length, that its longest unfinished item still needs.
	left time.Duration
}

// markSurplus determines which groups the submitter does not wait for: of those that are not carried over, the ones
// that are expected to end last, beyond the wanted number. Items of unknown length count as of typical length, so a
// group is not put off because nothing is known of it.
func (e *Entry) markSurplus(pace Pace, now time.Time) {
	for i := range e.groups {
		e.groups[i].surplus = false
	}
	if e.Wanted <= 0 || now.Sub(e.Accepted) >= surplusAge*e.span() {
		return
	}
	pace.Median = max(pace.Median, 1)
	open, needed := e.openGroups(pace, now)
	if needed >= len(open) {
		return
	}
	slices.SortFunc(open, func(a, b openGroup) int {
		return cmp.Or(cmp.Compare(a.left, b.left), a.index-b.index)
	})
	for _, late := range open[max(needed, 0):] {
		e.groups[late.index].surplus = true
	}
}

// openGroups returns the unfinished groups that are not carried over, and how many of them are needed.
func (e *Entry) openGroups(pace Pace, now time.Time) (open []openGroup, needed int) {
	needed = e.Wanted
	for index := range e.groups {
		left, unfinished := e.groupLeft(index, pace, now)
		if !unfinished || index < e.CarriedOver {
			needed--
			continue
		}
		open = append(open, openGroup{index, left})
	}
	return open, needed
}

// groupLeft returns the time that the group's longest unfinished item still needs; false if the group has none.
func (e *Entry) groupLeft(index int, pace Pace, now time.Time) (left time.Duration, unfinished bool) {
	for _, item := range e.groups[index].items {
		if e.items[item].phase == done {
			continue
		}
		unfinished = true
		left = max(left, e.remaining(item, e.lengthOf(item), pace.Median, pace.TokensPerEvent, now))
	}
	return left, unfinished
}

// complete reports whether the submitter waits for no item of the job. Unlike markSurplus this does not depend on the
// job's age: the groups beyond the wanted number start at last, but they are not waited for.
func (e *Entry) complete() bool {
	unfinished := func(item itemState) bool { return item.phase != done }
	if e.Wanted <= 0 || e.Wanted > len(e.groups) {
		return !slices.ContainsFunc(e.items, unfinished)
	}
	finished := 0
	for index := range e.groups {
		switch {
		case !slices.ContainsFunc(e.groups[index].items, func(item int) bool { return unfinished(e.items[item]) }):
			finished++
		case index < e.CarriedOver:
			return false
		}
	}
	return finished >= e.Wanted
}
