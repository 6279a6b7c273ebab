package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// coldStartLimit reports whether an engine is cold and how many items may start on it now.
func (r *Runner) coldStartLimit(engine incarnation.ID, now time.Time) (cold bool, starts int) {
	coldness, cold := r.options.Fleet.Cold(engine, now)
	if !cold {
		return false, 0
	}
	return true, r.options.ColdStarts.Room(engine, coldness)
}

// admit requests permission to start an item on an engine. permitOpen reports whether the permission is still
// valid; it is nil if the engine is not known to be cold. The item is counted anyway, in case the engine turns out to
// be.
func (r *Runner) admit(engine fleet.Engine) (permitOpen func() bool, admitted bool) {
	slowStart, bounded := r.options.Fleet.SlowStart(engine.Service)
	if !bounded {
		return nil, true
	}
	id := engine.Incarnation()
	coldness, cold := r.options.Fleet.Cold(id, time.Now())
	if !cold {
		r.options.ColdStarts.Note(id, slowStart.RatePerSecond)
		return nil, true
	}
	permit, _, outcome := r.options.ColdStarts.Admit(coldpermits.Items, id, coldness)
	if outcome != coldpermits.Granted {
		return nil, false
	}
	return permit.Open, true
}

// freeSlots returns how many more items may start on an engine now.
func freeSlots(engine batchplan.Engine, running int) int {
	free := engine.Slots - running
	if engine.Cold {
		return min(free, engine.MaxStarts)
	}
	return free
}

// requestColdStarts requests permits for the cold engines that could run waiting items but have none left.
func (r *Runner) requestColdStarts(engines []batchplan.Engine) {
	for _, engine := range engines {
		if engine.Cold && engine.Usable && engine.MaxStarts == 0 {
			r.options.ColdStarts.Want(engine.ID)
		}
	}
}
