package dispatcher

import (
	"cmp"
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/weights"
)

// rolloutEngine is the state of one engine in a weight rollout.
type rolloutEngine struct {
	id string
	// atTarget: holds the model at the wanted version and is not broken.
	atTarget bool
	// inService: accepts requests for the model.
	inService bool
	// loading: is loading the model, or was just ordered to.
	loading bool
	// readyForOrder: reachable, not leaving, not draining, and due for an order.
	readyForOrder bool
	// version of the model; 0 if the engine does not hold it.
	version uint64
}

// planLoads returns the engines to order now: at most concurrent engines load at once, and at least
// floorPercent of the engines stay in service. Engines that are out of service go first, then those
// with the oldest versions.
//
// The floor is weights.FloorEngines over the cell, so one engine may load in a cell of any size,
// unless the floor is 100 %. The operator's floor covers the whole pool; the coordinator enforces it
// through concurrent.
func planLoads(engines []rolloutEngine, concurrent, floorPercent int) []string {
	loading, inService := 0, 0
	for i := range engines {
		if engines[i].loading {
			loading++
		} else if engines[i].inService {
			inService++
		}
	}
	spare := inService - weights.FloorEngines(len(engines), floorPercent)
	var orders []string
	for _, candidate := range orderCandidates(engines) {
		if loading >= concurrent {
			break
		}
		if candidate.inService {
			if spare < 1 {
				continue
			}
			spare--
		}
		loading++
		orders = append(orders, candidate.id)
	}
	return orders
}

// orderCandidates returns the engines that need an order, in the order of planLoads.
func orderCandidates(engines []rolloutEngine) []rolloutEngine {
	var due []rolloutEngine
	for _, candidate := range engines {
		if candidate.readyForOrder && !candidate.atTarget && !candidate.loading {
			due = append(due, candidate)
		}
	}
	slices.SortFunc(due, func(a, b rolloutEngine) int {
		if a.inService != b.inService {
			if b.inService {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.id, b.id))
	})
	return due
}
