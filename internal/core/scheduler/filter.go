package scheduler

import (
	"slices"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// filter tells whether an engine may run an item.
type filter func(item *Item, candidate *engineState) bool

// eligibility are the filters that hold under every policy.
var eligibility = []filter{
	filterServing,
	filterNotLeaving,
	filterNotExcluded,
	filterVersion,
	filterNotLoading,
}

// filterServing keeps engines that are reachable and neither draining nor broken.
func filterServing(_ *Item, candidate *engineState) bool {
	return candidate.reachable && candidate.status.State == engine.StateServing
}

// filterNotLeaving drops engines that the machine list names as leaving.
func filterNotLeaving(_ *Item, candidate *engineState) bool {
	return !candidate.leaving
}

// filterNotExcluded drops engines that refused the item before.
func filterNotExcluded(item *Item, candidate *engineState) bool {
	return !slices.Contains(item.Excluded, candidate.id)
}

// filterVersion keeps engines that hold the model at MinVersion or higher.
func filterVersion(item *Item, candidate *engineState) bool {
	version, ok := candidate.version(item.Model)
	return ok && version >= item.MinVersion
}

// filterNotLoading drops engines that are swapping in the item's model.
func filterNotLoading(item *Item, candidate *engineState) bool {
	loading := candidate.status.Loading
	return loading == nil || loading.Model != item.Model
}

// filterFreeSlot keeps engines with a free slot by this cell's exact count.
func filterFreeSlot(_ *Item, candidate *engineState) bool {
	return candidate.free() > 0
}

// filterReportedSlot keeps engines with a free slot by their own lagging report.
func filterReportedSlot(_ *Item, candidate *engineState) bool {
	return candidate.reportedLoad() < candidate.status.MaxBatch
}

// admits applies the filters in order.
func admits(filters []filter, item *Item, candidate *engineState) bool {
	for _, keep := range filters {
		if !keep(item, candidate) {
			return false
		}
	}
	return true
}
