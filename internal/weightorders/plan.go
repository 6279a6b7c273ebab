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

// work is the state of the runner in a planning pass over all services.
type work struct {
	demands map[string]batchrun.Demand
	running map[incarnation.ID]int
	fast    map[incarnation.ID]bool
}

// currentWork returns the state of the runner. Must not be called with mu held.
func (m *Manager) currentWork() work {
	current := work{demands: m.options.Demands(), running: m.options.Running()}
	if m.options.Fast != nil {
		current.fast = m.options.Fast()
	}
	return current
}

// plan starts the loads that are due for one service.
func (m *Manager) plan(ctx context.Context, target Target, work work) {
	now := time.Now()
	listed := m.options.Fleet.List(target.Service, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := m.targets(target, work.demands, now)
	if len(targets) == 0 {
		return
	}
	allocator, found := m.allocators[target.Service]
	if !found {
		allocator = weightplan.NewAllocator()
		m.allocators[target.Service] = allocator
	}
	engines := m.engineViews(listed, work.running, work.fast)
	models := allocator.Allocate(engines, targets)
	m.markUsable(engines, listed, models, now)
	available := m.limiter.LimitOf(len(models)) + m.countNearlyDone(now) - m.countOtherLoads(engines)
	for _, load := range weightplan.NextLoads(engines, models, targets, available) {
		engine, known := m.options.Fleet.Find(load.Engine)
		if !known {
			continue
		}
		m.loading[load.Engine] = &loadInProgress{model: load.Model, startedAt: now}
		mode := Continue
		if target.SingleVersion {
			mode = Finish
		}
		m.loadGroup.Go(func() { m.load(ctx, engine, load, mode) })
	}
	m.updateConcurrency(now)
}

// updateConcurrency updates the maximum concurrency of each load in progress. Must be called with mu held.
func (m *Manager) updateConcurrency(now time.Time) {
	concurrency := len(m.loading) - m.countNearlyDone(now)
	for _, each := range m.loading {
		each.concurrency = max(each.concurrency, concurrency)
	}
}

// countOtherLoads counts the loads in progress of engines that are not in the list, since all engines load from
// the same source. Must be called with mu held.
func (m *Manager) countOtherLoads(engines []weightplan.Engine) int {
	others := len(m.loading)
	for _, engine := range engines {
		if engine.Loading {
			others--
		}
	}
	return others
}

// countNearlyDone counts the loads that are expected to end soon. Must be called with mu held.
func (m *Manager) countNearlyDone(now time.Time) int {
	if m.meanLoadTime == 0 {
		return 0
	}
	count := 0
	for _, each := range m.loading {
		if now.Sub(each.startedAt) > time.Duration(nearlyDoneShare*float64(m.meanLoadTime)) {
			count++
		}
	}
	return count
}

// engineViews returns the planner's view of the engines that accept work, none of them marked usable. Must be
// called with mu held.
func (m *Manager) engineViews(
	listed []fleet.EngineStatus, running map[incarnation.ID]int, fast map[incarnation.ID]bool,
) []weightplan.Engine {
	views := make([]weightplan.Engine, 0, len(listed))
	for _, each := range listed {
		if !each.AcceptsWork {
			continue
		}
		id := each.Engine.Incarnation()
		views = append(views, weightplan.Engine{
			ID: id, Slots: each.Engine.Slots, Versions: each.Engine.Versions, Running: running[id],
			Loading: m.loading[id] != nil, Fast: fast[id],
		})
	}
	return views
}

// markUsable marks the engines that are allocated to a model and may be ordered now. The others load nothing and
// are not checked. Must be called with mu held.
func (m *Manager) markUsable(
	engines []weightplan.Engine, listed []fleet.EngineStatus, models map[incarnation.ID]string, now time.Time,
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

// targets returns the target version and the demand of each model of the service. Must be called with mu held.
func (m *Manager) targets(target Target, demands map[string]batchrun.Demand, now time.Time) []weightplan.Target {
	var targets []weightplan.Target
	for model, version := range target.Versions {
		if m.loggedVersions[model] != version {
			m.loggedVersions[model] = version
			m.options.Logger.Info().Str("model", model).Int64("version", version).Msg("target version changed")
		}
		demand := demands[model]
		if demand.Tokens > 0 {
			mean := m.meanDemands[model]
			if mean == 0 {
				mean = float64(demand.Tokens)
			}
			m.meanDemands[model] = mean + demandSmoothing*(float64(demand.Tokens)-mean)
		}
		itemPeaks, found := m.itemPeaks[model]
		if !found {
			itemPeaks = &peak.Window{}
			m.itemPeaks[model] = itemPeaks
		}
		itemPeaks.Observe(now, demand.Unfinished, itemPeakPeriod)
		targets = append(targets, weightplan.Target{
			Model: model, Version: version, MinVersion: demand.MinVersion, Items: itemPeaks.Max(),
			Demand: m.meanDemands[model], Waiting: demand.Waiting, LoadsInterrupt: target.SingleVersion,
		})
	}
	sortTargets(targets)
	return targets
}
