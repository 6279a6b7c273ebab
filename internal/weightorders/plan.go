package weightorders

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/weightplan"
)

// plan starts the loads that are due for one service.
func (m *Manager) plan(ctx context.Context, target Target) {
	now := time.Now()
	demands := m.options.Demands()
	engines := m.engineViews(target.Service, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := m.targets(target, demands)
	if len(targets) == 0 {
		return
	}
	allocator, found := m.allocators[target.Service]
	if !found {
		allocator = weightplan.NewAllocator()
		m.allocators[target.Service] = allocator
	}
	models := allocator.Allocate(engines, targets)
	atOnce := m.limiter.LimitOf(len(engines)) + m.nearlyDone(now) - m.loadingElsewhere(engines)
	for _, load := range weightplan.NextLoads(engines, models, targets, atOnce) {
		engine, known := m.options.Fleet.Find(load.Engine)
		if !known {
			continue
		}
		m.loading[load.Engine] = &underway{model: load.Model, since: now}
		mode := Continue
		if target.SingleVersion {
			mode = Finish
		}
		m.wait.Go(func() { m.load(ctx, engine, load, mode) })
	}
	m.noteTogether(now)
}

// noteTogether notes how many loads are under way beside each other; mu is held.
func (m *Manager) noteTogether(now time.Time) {
	together := len(m.loading) - m.nearlyDone(now)
	for _, each := range m.loading {
		each.together = max(each.together, together)
	}
}

// loadingElsewhere counts the loads of engines that are not among these, which
// share the source of the weights; mu is held.
func (m *Manager) loadingElsewhere(engines []weightplan.Engine) int {
	elsewhere := len(m.loading)
	for _, engine := range engines {
		if engine.Loading {
			elsewhere--
		}
	}
	return elsewhere
}

// nearlyDone counts the loads that should be done but are not reported yet; mu is held.
func (m *Manager) nearlyDone(now time.Time) int {
	if m.loadTime == 0 {
		return 0
	}
	count := 0
	for _, each := range m.loading {
		if now.Sub(each.since) > time.Duration(takenShare*float64(m.loadTime)) {
			count++
		}
	}
	return count
}

func (m *Manager) engineViews(service string, now time.Time) []weightplan.Engine {
	var views []weightplan.Engine
	for _, engine := range m.options.Fleet.Engines(service) {
		if !m.options.Fleet.TakesWork(engine) {
			continue
		}
		id := engine.Incarnation()
		running := m.options.Running(id)
		m.mu.Lock()
		views = append(views, weightplan.Engine{
			ID: id, Versions: engine.Versions, Running: running,
			Loading: m.loading[id] != nil,
			Usable: !m.options.Fleet.Suspected(id, now) && now.After(m.retryAt[id]) &&
				now.After(m.options.Term.QuietUntil(engine.ID)),
		})
		m.mu.Unlock()
	}
	return views
}

// targets returns the models of the service with named versions; mu is held.
func (m *Manager) targets(target Target, demands map[string]batchrun.Demand) []weightplan.Target {
	var targets []weightplan.Target
	for model, version := range target.Versions {
		if m.named[model] != version {
			m.named[model] = version
			m.options.Logger.Info().Str("model", model).Int64("version", version).Msg("version to load")
		}
		demand := demands[model]
		if demand.Tokens > 0 {
			known := m.demands[model]
			if known == 0 {
				known = float64(demand.Tokens)
			}
			m.demands[model] = known + demandWeight*(float64(demand.Tokens)-known)
		}
		targets = append(targets, weightplan.Target{
			Model: model, Version: version, MinVersion: demand.MinVersion,
			Demand: m.demands[model], Waiting: demand.Waiting, Interrupts: target.SingleVersion,
		})
	}
	sortTargets(targets)
	return targets
}
