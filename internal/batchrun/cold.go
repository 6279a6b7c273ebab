package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// coldStarts tells whether an engine counts as cold, and how many items may start there now.
func (r *Runner) coldStarts(engine incarnation.ID, now time.Time) (cold bool, starts int) {
	coldness, cold := r.options.Fleet.Cold(engine, now)
	if !cold {
		return false, 0
	}
	return true, r.options.ColdStarts.Room(engine, coldness)
}

// admit asks for leave to start an item at an engine. MayLeave is nil where the engine is not cold;
// the item still counts then, should the engine turn out to be.
func (r *Runner) admit(engine fleet.Engine) (mayLeave func() bool, admitted bool) {
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

// roomAt is how many items more may start at an engine now.
func roomAt(engine batchplan.Engine, running int) int {
	free := engine.Slots - running
	if engine.Cold {
		return min(free, engine.Starts)
	}
	return free
}

// wantColdStarts tells which cold engines could run more items, were they admitted.
func (r *Runner) wantColdStarts(engines []batchplan.Engine) {
	for _, engine := range engines {
		if engine.Cold && engine.Usable && engine.Starts == 0 {
			r.options.ColdStarts.Want(engine.ID)
		}
	}
}
