package soak

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// pinnedBody returns the body of an item that is pinned to regions. It contains the ID, so that recordBodyReads
// recognizes the body in what nodes read from the store.
func pinnedBody(id string) string { return "homed(" + id + ")" }

var pinnedBodyPattern = regexp.MustCompile(`homed\(([^()]+)\)`)

// bodyRead is a read of an item's body from the store by a node.
type bodyRead struct {
	node int
	item string
}

// recordBodyReads records the bodies of pinned items in an answer that a node read from the store.
func (h *History) recordBodyReads(node int, answer []byte) {
	matches := pinnedBodyPattern.FindAllSubmatch(answer, -1)
	if len(matches) == 0 {
		return
	}
	h.update(func() {
		if h.BodyReads == nil {
			h.BodyReads = make(map[bodyRead]time.Time)
		}
		for _, match := range matches {
			read := bodyRead{node, string(match[1])}
			if h.BodyReads[read].IsZero() {
				h.BodyReads[read] = time.Now()
			}
		}
	})
}

// regionSets lists the sets of regions that homes pin a request to.
func (r expectedRequest) regionSets(homes Homes) [][]string {
	var sets [][]string
	if r.job != nil {
		if r.job.Tenant == tenantOf(pinnedTrainer) {
			sets = append(sets, homes.Trainer)
		}
		return sets
	}
	if r.call != nil && strings.HasPrefix(r.path, prefixPinned) {
		sets = append(sets, homes.Route)
	}
	if r.call != nil && r.call.Tenant == tenantPinned {
		sets = append(sets, homes.Tenant)
	}
	return sets
}

func (r expectedRequest) sentAt() time.Time {
	if r.job != nil {
		return r.job.SentAt
	}
	return r.call.SentAt
}

// allows reports whether homes permit a region to serve a request.
func (h Homes) allows(want expectedRequest, region string) bool {
	for _, regions := range want.regionSets(h) {
		if len(regions) > 0 && !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// regionAllowed reports whether a region may serve a request at the given time under any configuration that
// may have been active on the node since the request was sent. A disturbed node may still have any older one.
func (h *History) regionAllowed(want expectedRequest, region string, node int, at time.Time, bounds Bounds) bool {
	since := want.sentAt().Add(-bounds.Apply)
	if !h.undisturbed(node, since, at, bounds.Settle) {
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

// checkHomes reports requests that reached an engine outside the regions that they are pinned to.
func checkHomes(h *History, bounds Bounds) []string {
	var found []string
	expected := expectedByID(h)
	for i := range h.Engines {
		engine := &h.Engines[i]
		for _, arrival := range engine.Arrivals {
			want, isExpected := expected[arrival.ID]
			if isExpected && !h.regionAllowed(want, engine.Region, arrivalSender(arrival), arrival.At, bounds) {
				found = append(found, fmt.Sprintf("%s %s reached engine %s in region %s, to which it is not pinned", arrival.ID, want.path, engine.ID, engine.Region))
			}
		}
	}
	return found
}

// checkBodyReads reports nodes that read bodies of items that are pinned to other regions, except nodes to
// which the trainer had sent a request about the job.
func checkBodyReads(h *History, bounds Bounds) []string {
	expected := expectedByID(h)
	type reader struct {
		node int
		job  string
	}
	itemCounts := make(map[reader]int)
	firstReads := make(map[reader]time.Time)
	for read, at := range h.BodyReads {
		want, isExpected := expected[read.item]
		if !isExpected || want.job == nil {
			continue
		}
		if firstRequest := want.job.FirstRequestAt[read.node]; !firstRequest.IsZero() && !at.Before(firstRequest) {
			continue
		}
		if !h.regionAllowed(want, regionOf(read.node), read.node, at, bounds) {
			key := reader{read.node, want.job.Job.ID}
			itemCounts[key]++
			if firstReads[key].IsZero() || at.Before(firstReads[key]) {
				firstReads[key] = at
			}
		}
	}
	var found []string
	for reader, count := range itemCounts {
		found = append(found, fmt.Sprintf("node %d in region %s read the bodies of %d items of job %s, the first at %s",
			reader.node, regionOf(reader.node), count, reader.job, firstReads[reader].Format(clockFormat)))
	}
	slices.Sort(found)
	return found
}
