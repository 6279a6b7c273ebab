package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchplan"
)

// engineViews returns the engines of all services that open jobs run at, but for those whose weights are too old
// for each job; mu is held. In a large fleet those are most.
func (r *Runner) engineViews(now time.Time) []batchplan.Engine {
	var views []batchplan.Engine
	loading := r.options.AllLoading()
	for service, asked := range r.asked() {
		for _, listed := range r.options.Fleet.List(service, now) {
			engine := listed.Engine
			if !r.options.Within.Allows(engine.Region) || !asked.servedBy(engine.Versions) {
				continue
			}
			id := engine.Incarnation()
			cold, starts := r.coldStarts(id, now)
			views = append(views, batchplan.Engine{
				Cold: cold, Starts: starts,
				ID: id, Service: engine.Service, Slots: engine.Slots, Versions: engine.Versions,
				Tokens: asked.tokens, Loading: loading[id],
				Usable: listed.TakesWork && !listed.Suspected && !now.Before(r.pausedUntil[id]),
			})
		}
	}
	return views
}

// askedOf is what open jobs ask of the engines of a service.
type askedOf struct {
	// tokens is the memory of one engine.
	tokens int
	// oldest holds the oldest weights of each model that one of its jobs allows.
	oldest map[string]int64
}

// servedBy tells whether an engine with these weights may run an item of some job.
func (a askedOf) servedBy(versions map[string]int64) bool {
	for model, oldest := range a.oldest {
		if versions[model] >= oldest {
			return true
		}
	}
	return false
}

// asked returns what open jobs ask of each service; mu is held.
func (r *Runner) asked() map[string]askedOf {
	services := make(map[string]askedOf)
	for _, job := range r.jobs {
		route, found := r.options.RouteOf(job.record.Host, job.record.Path)
		if !found {
			continue
		}
		asked, known := services[route.Service]
		if !known {
			asked = askedOf{tokens: route.EngineTokens, oldest: make(map[string]int64)}
			services[route.Service] = asked
		}
		oldest, wanted := asked.oldest[job.record.Model]
		if !wanted || job.record.MinVersion < oldest {
			asked.oldest[job.record.Model] = job.record.MinVersion
		}
	}
	return services
}
