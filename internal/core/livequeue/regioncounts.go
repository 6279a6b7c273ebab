package livequeue

import "github.com/corkpulley/corkpulley/internal/core/homes"

// regionCounts counts requests by the regions whose engines may run them.
type regionCounts map[homes.Set]int

func (c *regionCounts) add(regions homes.Set, count int) {
	if *c == nil {
		*c = make(regionCounts)
	}
	if (*c)[regions] += count; (*c)[regions] == 0 {
		delete(*c, regions)
	}
}

// sharing returns the number of requests that may run in any of the regions.
func (c regionCounts) sharing(regions homes.Set) int {
	count := 0
	for each, number := range c {
		if share(each, regions) {
			count += number
		}
	}
	return count
}

// share reports whether two sets have a region in common.
func share(a, b homes.Set) bool { return a == b || !a.Intersect(b).IsEmpty() }
