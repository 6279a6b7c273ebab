package dispatcher

import (
	"cmp"
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/weights"
)

// rolloutEngine is one engine as a weight rollout sees it.
type rolloutEngine struct {
	id string
	// reached: holds the model whole at the wanted version.
	reached bool
	// inService: takes requests for the model.
	inService bool
	// loading: is swapping the model in, or was just ordered to.
	loading bool
	// orderable: reachable, not leaving, not draining, and due for an order.
	orderable bool
	// version of the model; 0 when it holds none.
	version uint64
}

// planLoads returns the engines to order now: at most concurrent loading at
// once, and never so many that fewer than floorPercent of the engines stay in
// service. Engines that are out of service anyway go first, then the oldest versions.
//
// The floor is weights.FloorEngines over the cell, so one of its engines may load
// however small the cell is, unless the floor is 100 %: the floor of the operator
// is over the whole pool, whose cells the coordinator paces by concurrent.
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
	for _, candidate := range byUrgency(engines) {
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

// byUrgency returns the engines that need an order.
func byUrgency(engines []rolloutEngine) []rolloutEngine {
	var due []rolloutEngine
	for _, candidate := range engines {
		if candidate.orderable && !candidate.reached && !candidate.loading {
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
