package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
)

// evacuatedTellPeriod is the time between two lines that say that items wait for evacuated zones.
const evacuatedTellPeriod = 10 * time.Second

// tellEvacuated logs that items wait because no engine of their service is left outside evacuated zones;
// mu is held.
func (r *Runner) tellEvacuated(now time.Time, views []batchplan.Engine) {
	if now.Sub(r.evacuatedToldAt) < evacuatedTellPeriod || len(r.options.Fleet.EvacuatedZones()) == 0 {
		return
	}
	usable, listed := make(map[string]bool), make(map[string]bool)
	for _, view := range views {
		listed[view.Service] = true
		usable[view.Service] = usable[view.Service] || view.Usable
	}
	items := r.plan.Items()
	for service := range listed {
		if usable[service] || items[service] == 0 || r.options.Fleet.Evacuated(service) == 0 {
			continue
		}
		r.evacuatedToldAt = now
		r.options.Logger.Warn().Str("service", service).Int("items", items[service]).
			Int("evacuated", r.options.Fleet.Evacuated(service)).Msg("items wait for evacuated zones")
	}
}
