package weightorders

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/peak"
	"github.com/corkpulley/corkpulley/internal/core/weightplan"
)

// plan starts the loads that are due for one service.
func (m *Manager) plan(ctx context.Context, target Target) {
	now := time.Now()
	demands := m.options.Demands()
	running := m.options.Running()
	listed := m.options.Fleet.List(target.Service, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := m.targets(target, demands, now)
	if len(targets) == 0 {
		return
	}
	allocator, found := m.allocators[target.Service]
	if !found {
		allocator = weightplan.NewAllocator()
		m.allocators[target.Service] = allocator
	}
	engines := m.engineViews(listed, running)
	models := allocator.Allocate(engines, targets)
	m.findUsable(engines, listed, models, now)
	atOnce := m.limiter.LimitOf(len(models)) + m.nearlyDone(now) - m.loadingElsewhere(engines)
	for _, load := range weightplan.NextLoads(engines, models, targets, atOnce) {
		engine, known := m.options.Fleet.Find(load.Engine)
		if !known {
			continue
		}
		m.loading[load.Engine] = &loadInProgress{model: load.Model, since: now}
		mode := Continue
		if target.SingleVersion {
			mode = Finish
		}
		m.wait.Go(func() { m.load(ctx, engine, load, mode) })
	}
	m.updateTogether(now)
}

// updateTogether updates the number of concurrent loads of each load. Must be called with mu held.
func (m *Manager) updateTogether(now time.Time) {
	together := len(m.loading) - m.nearlyDone(now)
	for _, each := range m.loading {
		each.together = max(each.together, together)
	}
}

// loadingElsewhere counts the loads of engines that are not among these but share the
// source of the weights. Must be called with mu held.
func (m *Manager) loadingElsewhere(engines []weightplan.Engine) int {
	elsewhere := len(m.loading)
	for _, engine := range engines {
		if engine.Loading {
			elsewhere--
		}
	}
	return elsewhere
}

// nearlyDone counts the loads that are about to be reported as done. Must be called with mu held.
func (m *Manager) nearlyDone(now time.Time) int {
	if m.loadTime == 0 {
		return 0
	}
	count := 0
	for _, each := range m.loading {
		if now.Sub(each.since) > time.Duration(nearlyDoneShare*float64(m.loadTime)) {
			count++
		}
	}
	return count
}

// engineViews returns the engines that take work, none of them usable yet. Must be called with mu held.
func (m *Manager) engineViews(listed []fleet.Listed, running map[incarnation.ID]int) []weightplan.Engine {
	views := make([]weightplan.Engine, 0, len(listed))
	for _, each := range listed {
		if !each.TakesWork {
			continue
		}
		id := each.Engine.Incarnation()
		views = append(views, weightplan.Engine{
			ID: id, Slots: each.Engine.Slots, Versions: each.Engine.Versions, Running: running[id],
			Loading: m.loading[id] != nil,
		})
	}
	return views
}

// findUsable marks the engines that follow a model and may be ordered now. It does not check the others,
// which load nothing. Must be called with mu held.
func (m *Manager) findUsable(
	engines []weightplan.Engine, listed []fleet.Listed, models map[incarnation.ID]string, now time.Time,
) {
	suspected := make(map[incarnation.ID]bool)
	for _, each := range listed {
		if each.Suspected {
			suspected[each.Engine.Incarnation()] = true
		}
	}
	for i := range engines {
		id := engines[i].ID
		if models[id] == "" || suspected[id] {
			continue
		}
		engines[i].Usable = now.After(m.retryAt[id]) && now.After(m.options.Term.QuietUntil(id.Engine))
	}
}

// targets returns the models of the service with their demand. Must be called with mu held.
func (m *Manager) targets(target Target, demands map[string]batchrun.Demand, now time.Time) []weightplan.Target {
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
		items, found := m.items[model]
		if !found {
			items = &peak.Window{}
			m.items[model] = items
		}
		items.Observe(now, demand.Items, itemPeakPeriod)
		targets = append(targets, weightplan.Target{
			Model: model, Version: version, MinVersion: demand.MinVersion, Items: items.Max(),
			Demand: m.demands[model], Waiting: demand.Waiting, Interrupts: target.SingleVersion,
		})
	}
	sortTargets(targets)
	return targets
}
