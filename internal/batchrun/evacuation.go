package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
)

// evacuationLogInterval is the minimum time between two log lines about items waiting for evacuated zones.
const evacuationLogInterval = 10 * time.Second

// logEvacuationWait logs services whose items wait because all usable engines are in evacuated zones. Must be
// called with mu held.
func (r *Runner) logEvacuationWait(now time.Time, views []batchplan.Engine) {
	if now.Sub(r.evacuationLoggedAt) < evacuationLogInterval || len(r.options.Fleet.EvacuatedZones()) == 0 {
		return
	}
	usable, listed := make(map[string]bool), make(map[string]bool)
	for _, view := range views {
		listed[view.Service] = true
		usable[view.Service] = usable[view.Service] || view.Usable
	}
	items := r.plan.Items()
	for service := range listed {
		if usable[service] || items[service] == 0 || r.options.Fleet.CountEvacuated(service) == 0 {
			continue
		}
		r.evacuationLoggedAt = now
		r.options.Logger.Warn().Str("service", service).Int("items", items[service]).
			Int("evacuated", r.options.Fleet.CountEvacuated(service)).Msg("items wait: no usable engine outside evacuated zones")
	}
}
