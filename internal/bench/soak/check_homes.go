package soak

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// homedBody is the body of an item that is bound to regions, with its ID so that it is found
// in what nodes read.
func homedBody(id string) string { return "homed(" + id + ")" }

var homedMark = regexp.MustCompile(`homed\(([^()]+)\)`)

// bodyRead is the body of an item that a node read from the store.
type bodyRead struct {
	node int
	item string
}

// addBodies notes the bodies of items that are bound to regions in what a node read.
func (h *History) addBodies(node int, answer []byte) {
	marks := homedMark.FindAllSubmatch(answer, -1)
	if len(marks) == 0 {
		return
	}
	h.update(func() {
		if h.Bodies == nil {
			h.Bodies = make(map[bodyRead]time.Time)
		}
		for _, mark := range marks {
			read := bodyRead{node, string(mark[1])}
			if h.Bodies[read].IsZero() {
				h.Bodies[read] = time.Now()
			}
		}
	})
}

// boundTo lists the sets of regions that homes bind a request to.
func (want asked) boundTo(homes Homes) [][]string {
	var bound [][]string
	if want.job != nil {
		if want.job.Tenant == tenantOf(homedTrainer) {
			bound = append(bound, homes.Trainer)
		}
		return bound
	}
	if want.call != nil && strings.HasPrefix(want.path, prefixHomed) {
		bound = append(bound, homes.Route)
	}
	if want.call != nil && want.call.Tenant == tenantHomed {
		bound = append(bound, homes.Tenant)
	}
	return bound
}

// sentAt is when the request was first sent.
func (want asked) sentAt() time.Time {
	if want.job != nil {
		return want.job.SentAt
	}
	return want.call.SentAt
}

// allows tells whether homes let a region serve a request.
func (h Homes) allows(want asked, region string) bool {
	for _, regions := range want.boundTo(h) {
		if len(regions) > 0 && !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// mayServe tells whether a region may serve a request at a time under a configuration that
// a node may have had in force since the request was sent. A node that is not in touch may
// have an old one.
func (h *History) mayServe(want asked, region string, node int, at time.Time, bounds Bounds) bool {
	since := want.sentAt().Add(-bounds.Apply)
	if !h.inTouch(node, since, at, bounds.Contact) {
		since = time.Time{}
	}
	for i, config := range h.Configs {
		replaced := i+1 < len(h.Configs) && h.Configs[i+1].AckedAt.Before(since)
		if !replaced && !config.SentAt.After(at) && config.Homes.allows(want, region) {
			return true
		}
	}
	return len(h.Configs) == 0
}

// checkHomes: a request that is bound to regions reaches no engine outside them.
func checkHomes(h *History, bounds Bounds) []string {
	var found []string
	known := askedByID(h)
	for i := range h.Engines {
		engine := &h.Engines[i]
		for _, arrival := range engine.Arrivals {
			want, isKnown := known[arrival.ID]
			if isKnown && !h.mayServe(want, engine.Region, senderOfArrival(arrival), arrival.At, bounds) {
				found = append(found, fmt.Sprintf("%s %s reached engine %s in region %s", arrival.ID, want.path, engine.ID, engine.Region))
			}
		}
	}
	return found
}

// checkBodies: the body of an item that is bound to regions is read by no node outside
// them, but by those that its trainer has asked about the job.
func checkBodies(h *History, bounds Bounds) []string {
	known := askedByID(h)
	type reader struct {
		node int
		job  string
	}
	items := make(map[reader]int)
	first := make(map[reader]time.Time)
	for read, at := range h.Bodies {
		want, isKnown := known[read.item]
		if !isKnown || want.job == nil {
			continue
		}
		if asked := want.job.Asked[read.node]; !asked.IsZero() && !at.Before(asked) {
			continue
		}
		if !h.mayServe(want, regionOf(read.node), read.node, at, bounds) {
			by := reader{read.node, want.job.Job.ID}
			items[by]++
			if first[by].IsZero() || at.Before(first[by]) {
				first[by] = at
			}
		}
	}
	var found []string
	for reader, count := range items {
		found = append(found, fmt.Sprintf("node %d in region %s read the bodies of %d items of job %s, the first at %s",
			reader.node, regionOf(reader.node), count, reader.job, first[reader].Format(clockFormat)))
	}
	slices.Sort(found)
	return found
}
