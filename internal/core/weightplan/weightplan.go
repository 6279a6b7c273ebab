// Package weightplan decides which engines serve which model, and which of them
// loads new weights next. It has no input, output or clock.
//
// Each engine holds a version of every model, but loading one costs it about a
// second, so an engine follows the versions of one model only. Engines are
// shared between models by demand; an engine changes its model only when the
// shares have moved by a whole engine.
package weightplan

import (
	"math"
	"sort"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Engine is an engine as the plan sees it.
type Engine struct {
	ID       incarnation.ID
	Versions map[string]int64
	// Running is the number of items that it runs.
	Running int
	// Loading is true while an order to it is under way.
	Loading bool
	// Usable is false for engines that leave or failed just now.
	Usable bool
}

// Target is the newest version of a model, and what is asked of it.
type Target struct {
	Model   string
	Version int64
	// MinVersion is the newest version that open jobs want at least.
	MinVersion int64
	// Demand is a moving mean of the work asked of the model; zero when unknown.
	Demand float64
	// Waiting is the number of items that wait for an engine.
	Waiting int
	// Interrupts is true when a load makes running items wait or fail, so that it
	// has to wait for them.
	Interrupts bool
}

// Allocator keeps which model each engine follows.
type Allocator struct {
	models map[incarnation.ID]string
}

// NewAllocator returns an allocator that knows of no engine.
func NewAllocator() *Allocator { return &Allocator{models: make(map[incarnation.ID]string)} }

// Allocate returns the model that each engine follows.
func (a *Allocator) Allocate(engines []Engine, targets []Target) map[incarnation.ID]string {
	a.forgetGone(engines)
	wanted := shares(len(engines), targets)
	counts := make(map[string]int)
	for _, engine := range engines {
		if a.models[engine.ID] == "" {
			a.models[engine.ID] = likeliest(engine, targets)
		}
		counts[a.models[engine.ID]]++
	}
	for _, target := range targets {
		for counts[target.Model] < wanted[target.Model] {
			moved := a.donor(engines, target.Model, counts, wanted)
			if moved.IsZero() {
				break
			}
			counts[a.models[moved]]--
			a.models[moved] = target.Model
			counts[target.Model]++
		}
	}
	return a.models
}

func (a *Allocator) forgetGone(engines []Engine) {
	present := make(map[incarnation.ID]bool, len(engines))
	for _, engine := range engines {
		present[engine.ID] = true
	}
	for id := range a.models {
		if !present[id] {
			delete(a.models, id)
		}
	}
}

// donor returns the engine that another model can best spare: of those beyond
// their model's share, the one with the newest weights of the wanting model.
func (a *Allocator) donor(engines []Engine, model string, counts, wanted map[string]int) incarnation.ID {
	best, bestVersion := incarnation.ID{}, int64(-1)
	for _, engine := range engines {
		from := a.models[engine.ID]
		if from == model || counts[from] <= wanted[from] {
			continue
		}
		if version := engine.Versions[model]; version > bestVersion {
			best, bestVersion = engine.ID, version
		}
	}
	return best
}

// likeliest returns the model whose newest version the engine is closest to:
// after a change of leader it is the one that the engine followed before.
func likeliest(engine Engine, targets []Target) string {
	best, bestLag := "", int64(math.MaxInt64)
	for _, target := range targets {
		if lag := target.Version - engine.Versions[target.Model]; lag < bestLag {
			best, bestLag = target.Model, lag
		}
	}
	return best
}

// shares spreads the engines over the models by demand, at least one for each
// as long as there are enough.
func shares(engines int, targets []Target) map[string]int {
	total := 0.0
	for _, target := range targets {
		total += target.Demand
	}
	wanted := make(map[string]int, len(targets))
	type rest struct {
		model string
		part  float64
	}
	var rests []rest
	given := 0
	for _, target := range targets {
		exact := float64(engines) / float64(len(targets))
		if total > 0 {
			exact = float64(engines) * target.Demand / total
		}
		count := max(int(exact), min(1, engines/len(targets)))
		wanted[target.Model] = count
		given += count
		rests = append(rests, rest{target.Model, exact - float64(count)})
	}
	sort.SliceStable(rests, func(i, j int) bool { return rests[i].part > rests[j].part })
	for i := 0; given < engines && len(rests) > 0; i, given = i+1, given+1 {
		wanted[rests[i%len(rests)].model]++
	}
	return wanted
}

// Load is one order to give.
type Load struct {
	Engine  incarnation.ID
	Model   string
	Version int64
}

// NextLoads returns the loads to order now, at most atOnce under way together.
//
// The source feeds a bounded number of loads, which all models share. So the next load
// is that of the model with the smallest part of its engines at the named version, or on
// the way there: each model finds some engines for its next job, which comes with the
// next version. Among the engines of a model, those too old for open jobs come first,
// then the one furthest behind. An engine that could start waiting items is left to
// them.
func NextLoads(engines []Engine, models map[incarnation.ID]string, targets []Target, atOnce int) []Load {
	byModel := make(map[string]Target, len(targets))
	for _, target := range targets {
		byModel[target.Model] = target
	}
	loading := 0
	counts := make(map[string]int, len(targets))
	current := make(map[string]int, len(targets))
	candidates := make(map[string][]candidate, len(targets))
	for _, engine := range engines {
		target, found := byModel[models[engine.ID]]
		if engine.Loading {
			loading++
		}
		if !found {
			continue
		}
		counts[target.Model]++
		lag := target.Version - engine.Versions[target.Model]
		switch {
		case engine.Loading || lag <= 0:
			current[target.Model]++
		case engine.Usable && due(engine, target):
			candidates[target.Model] = append(candidates[target.Model], candidate{engine, target, lag})
		}
	}
	for _, each := range candidates {
		sort.SliceStable(each, func(i, j int) bool { return each[i].before(each[j]) })
	}
	var loads []Load
	for loading+len(loads) < atOnce {
		model, found := scarcest(candidates, current, counts)
		if !found {
			break
		}
		next := candidates[model][0]
		candidates[model] = candidates[model][1:]
		current[model]++
		loads = append(loads, Load{Engine: next.engine.ID, Model: model, Version: next.target.Version})
	}
	return loads
}

// scarcest returns the model, among those with a candidate, that has the smallest part
// of its engines at the named version. Between equals, candidates too old for open jobs
// decide, then those further behind, then the name.
func scarcest(candidates map[string][]candidate, current, counts map[string]int) (string, bool) {
	best, found := "", false
	part := func(model string) float64 { return float64(current[model]) / float64(counts[model]) }
	for model, of := range candidates {
		if len(of) == 0 {
			continue
		}
		if !found {
			best, found = model, true
			continue
		}
		switch own, other := part(model), part(best); {
		case own != other:
			if own < other {
				best = model
			}
		case of[0].before(candidates[best][0]):
			best = model
		case !candidates[best][0].before(of[0]) && model < best:
			best = model
		}
	}
	return best, found
}

// candidate is an engine that may load now.
type candidate struct {
	engine Engine
	target Target
	// lag is the number of versions that it is behind.
	lag int64
}

func (c candidate) before(other candidate) bool {
	if a, b := tooOld(c.engine, c.target), tooOld(other.engine, other.target); a != b {
		return a
	}
	if c.lag != other.lag {
		return c.lag > other.lag
	}
	return c.engine.Running < other.engine.Running
}

// tooOld tells whether the engine can serve none of the open jobs.
func tooOld(engine Engine, target Target) bool {
	return engine.Versions[target.Model] < target.MinVersion
}

// due tells whether a load of the engine may begin now.
func due(engine Engine, target Target) bool {
	if tooOld(engine, target) {
		return true
	}
	return target.Waiting == 0 && (!target.Interrupts || engine.Running == 0)
}
