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
	return true, r.options.ColdStarts.Available(engine, coldness)
}

// admit requests a permit to start an item on an engine. permitValid reports whether the permit is still valid; it is
// nil if the engine is not known to be cold. Such a start is recorded, so that it counts against the engine's rate if
// the engine turns out to be cold.
func (r *Runner) admit(engine fleet.Engine) (permitValid func() bool, admitted bool) {
	slowStart, hasSlowStart := r.options.Fleet.SlowStart(engine.Service)
	if !hasSlowStart {
		return nil, true
	}
	id := engine.Incarnation()
	coldness, cold := r.options.Fleet.Cold(id, time.Now())
	if !cold {
		r.options.ColdStarts.RecordUnpaced(id, slowStart.RatePerSecond)
		return nil, true
	}
	permit, _, outcome := r.options.ColdStarts.Admit(coldpermits.Items, id, coldness)
	if outcome != coldpermits.Granted {
		return nil, false
	}
	return permit.Valid, true
}

// prefetchPermits requests permits for the cold engines that could run waiting items but have no permits left.
func (r *Runner) prefetchPermits(engines []batchplan.Engine) {
	for _, engine := range engines {
		if engine.Cold && engine.Usable && engine.MaxStarts == 0 {
			r.options.ColdStarts.Prefetch(engine.ID)
		}
	}
}
