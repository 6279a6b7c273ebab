package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
)

// engineViews returns the engines of all services that open jobs use, without those whose weights are too old for
// every job, which in a large fleet are most. Must be called with mu held.
func (r *Runner) engineViews(now time.Time) []batchplan.Engine {
	var views []batchplan.Engine
	loading := r.options.LoadingModels()
	for service, required := range r.required() {
		tokens := r.options.EngineTokensOf(service)
		for _, listed := range r.options.Fleet.List(service, now) {
			engine := listed.Engine
			if !r.options.Homes.Allows(engine.Region) || !required.satisfiedBy(engine.Versions) {
				continue
			}
			id := engine.Incarnation()
			cold, starts := r.coldStartLimit(id, now)
			paused := now.Before(r.pausedUntil[id])
			views = append(views, batchplan.Engine{
				Cold: cold, MaxStarts: starts,
				ID: id, Service: engine.Service, Slots: engine.Slots, Versions: engine.Versions,
				Tokens: tokens, Loading: loading[id],
				Leaving:   !listed.AcceptsWork,
				Usable:    listed.AcceptsWork && !paused && !listed.Suspected,
				Suspected: listed.AcceptsWork && !paused && listed.Suspected,
			})
		}
	}
	return views
}

// requirements are what open jobs need of the engines of a service: by model, the lowest minimum weight version.
type requirements map[string]int64

// satisfiedBy reports whether an engine with these weight versions may run an item of some job.
func (r requirements) satisfiedBy(versions map[string]int64) bool {
	for model, minVersion := range r {
		if versions[model] >= minVersion {
			return true
		}
	}
	return false
}

// required returns the requirements of open jobs by service. Must be called with mu held.
func (r *Runner) required() map[string]requirements {
	services := make(map[string]requirements)
	for _, job := range r.jobs {
		route, found := r.options.RouteOf(job.record.Host, job.record.Path)
		if !found {
			continue
		}
		for _, service := range route.services() {
			required, known := services[service]
			if !known {
				required = make(requirements)
				services[service] = required
			}
			minVersion, wanted := required[job.record.Model]
			if !wanted || job.record.MinVersion < minVersion {
				required[job.record.Model] = job.record.MinVersion
			}
		}
	}
	return services
}
