package scheduler

import (
	"slices"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// filter reports whether an engine may run an item.
type filter func(item *Item, candidate *engineState) bool

// eligibilityFilters apply under every policy.
var eligibilityFilters = []filter{
	filterServing,
	filterNotLeaving,
	filterNotExcluded,
	filterVersion,
	filterNotLoading,
}

// filterServing accepts engines that are reachable and neither draining nor broken.
func filterServing(_ *Item, candidate *engineState) bool {
	return candidate.reachable && candidate.status.State == engine.StateServing
}

// filterNotLeaving rejects engines that the machine list marks as leaving.
func filterNotLeaving(_ *Item, candidate *engineState) bool {
	return !candidate.leaving
}

// filterNotExcluded rejects engines that refused the item before.
func filterNotExcluded(item *Item, candidate *engineState) bool {
	return !slices.Contains(item.Excluded, candidate.id)
}

// filterVersion accepts engines that have the model at MinVersion or higher.
func filterVersion(item *Item, candidate *engineState) bool {
	version, ok := candidate.version(item.Model)
	return ok && version >= item.MinVersion
}

// filterNotLoading rejects engines that are loading a version of the item's model.
func filterNotLoading(item *Item, candidate *engineState) bool {
	loading := candidate.status.Loading
	return loading == nil || loading.Model != item.Model
}

// filterFreeSlot accepts engines with a free slot by this cell's own count.
func filterFreeSlot(_ *Item, candidate *engineState) bool {
	return candidate.free() > 0
}

// filterReportedSlot accepts engines with a free slot by their last load report.
func filterReportedSlot(_ *Item, candidate *engineState) bool {
	return candidate.reportedLoad() < candidate.status.MaxBatch
}

// passes reports whether all filters accept the engine.
func passes(filters []filter, item *Item, candidate *engineState) bool {
	for _, accepts := range filters {
		if !accepts(item, candidate) {
			return false
		}
	}
	return true
}
