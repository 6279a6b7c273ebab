package livequeue

import (
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// regionCounts counts requests by the regions whose engines may run them. It is a slice, since there are few such sets
// and each offer reads the counts of all flows.
type regionCounts []regionCount

type regionCount struct {
	regions homes.Set
	count   int
}

func (c *regionCounts) add(regions homes.Set, count int) {
	index := slices.IndexFunc(*c, func(each regionCount) bool { return each.regions == regions })
	if index < 0 {
		*c = append(*c, regionCount{regions, count})
		return
	}
	if (*c)[index].count += count; (*c)[index].count == 0 {
		*c = slices.Delete(*c, index, index+1)
	}
}

// sharing returns the number of requests that may run in any of the regions.
func (c regionCounts) sharing(regions homes.Set) int {
	count := 0
	for _, each := range c {
		if overlap(each.regions, regions) {
			count += each.count
		}
	}
	return count
}

// overlap reports whether two sets have a region in common.
func overlap(a, b homes.Set) bool { return a == b || !a.Intersect(b).IsEmpty() }
