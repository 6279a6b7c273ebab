// Package weightplan determines which engines follow which model, and which of them
// load new weights next. It performs no I/O and reads no clock.
//
// Each engine holds a version of every model, but loads interrupt serving, so an engine
// follows the versions of one model only. Engines are divided between models by
// demand; an engine is reassigned only when the shares have shifted by a full engine.
// Engines beyond what the items of all models need follow no model and load nothing.
package weightplan

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// slotsPerItem is the number of slots at a model's engines per item at the peak, so that each item still
	// has a slot if a third of the engines is lost and a third is loading. More engines would only cost the
	// leader an order, a load and a report each for every version.
	slotsPerItem = 3
	// defaultEngines is the number of engines that follow a model whose number of items is unknown.
	defaultEngines = 32
)

// Engine is the state of an engine.
type Engine struct {
	ID incarnation.ID
	// Slots is the number of items that it can run concurrently.
	Slots    int
	Versions map[string]int64
	// Running is the number of items that it runs.
	Running int
	// Loading is true while a load is in progress.
	Loading bool
	// Usable is false for engines that accept no new work or have recently failed.
	Usable bool
	// Fast is true for engines in the fast class of their service; false for all if it has no classes.
	Fast bool
}

// Target is the newest version of a model with its demand.
type Target struct {
	Model   string
	Version int64
	// MinVersion is the highest minimum version of the open jobs.
	MinVersion int64
	// Demand is a moving average of the model's requested work; zero when unknown.
	Demand float64
	// Items is the recent peak of open items; zero when unknown.
	Items int
	// Waiting is the number of items that wait for an engine.
	Waiting int
	// LoadsInterrupt is true if a load delays or fails running items. Loads then wait until the engine runs
	// none, unless its version is below MinVersion.
	LoadsInterrupt bool
}

// Allocator holds the model that each engine follows.
type Allocator struct {
	models map[incarnation.ID]string
}

// NewAllocator returns an allocator without engines.
func NewAllocator() *Allocator { return &Allocator{models: make(map[incarnation.ID]string)} }

// Allocate returns the model that each engine follows. Engines that follow none are not included.
func (a *Allocator) Allocate(engines []Engine, targets []Target) map[incarnation.ID]string {
	a.removeMissing(engines)
	wanted := wantedEngines(engines, targets)
	if fast, others := divide(engines); len(fast) >= len(targets) && len(fast) > 0 && len(others) > 0 {
		a.allocateFast(fast, targets, wanted)
		a.allocate(others, targets, a.without(fast, wanted))
	}
	a.allocate(engines, targets, wanted)
	return a.models
}

// allocate assigns free engines, and then surplus engines of other models, to the models that have fewer of these
// engines than wanted.
func (a *Allocator) allocate(engines []Engine, targets []Target, wanted map[string]int) {
	counts, free := a.countEngines(engines)
	for _, target := range targets {
		free = a.assign(free, target.Model, counts, wanted)
	}
	for _, target := range targets {
		if counts[target.Model] < wanted[target.Model] {
			a.reassign(engines, target.Model, counts, wanted)
		}
	}
}

// countEngines returns how many of the engines follow each model, and those that follow none.
func (a *Allocator) countEngines(engines []Engine) (counts map[string]int, free []Engine) {
	counts = make(map[string]int)
	for _, engine := range engines {
		if model := a.models[engine.ID]; model != "" {
			counts[model]++
		} else {
			free = append(free, engine)
		}
	}
	return counts, free
}

// assign assigns free engines to a model until it has as many as wanted, and returns the remaining ones. Engines
// with the model's newest weights come first, so that a new leader restores the previous allocation.
func (a *Allocator) assign(free []Engine, model string, counts, wanted map[string]int) []Engine {
	missing := min(wanted[model]-counts[model], len(free))
	if missing <= 0 {
		return free
	}
	sortByVersion(free, model)
	for _, engine := range free[:missing] {
		a.models[engine.ID] = model
	}
	counts[model] += missing
	return free[missing:]
}

// reassign assigns surplus engines of other models to a model, those with its newest weights first.
func (a *Allocator) reassign(engines []Engine, model string, counts, wanted map[string]int) {
	var spare []Engine
	for _, engine := range engines {
		if from := a.models[engine.ID]; from != "" && from != model && counts[from] > wanted[from] {
			spare = append(spare, engine)
		}
	}
	sortByVersion(spare, model)
	for _, engine := range spare {
		from := a.models[engine.ID]
		if counts[model] >= wanted[model] {
			return
		}
		if counts[from] <= wanted[from] {
			continue
		}
		counts[from]--
		counts[model]++
		a.models[engine.ID] = model
	}
}

// sortByVersion sorts engines by their version of a model, newest first.
func sortByVersion(engines []Engine, model string) {
	slices.SortStableFunc(engines, func(one, other Engine) int {
		return cmp.Compare(other.Versions[model], one.Versions[model])
	})
}

// wantedEngines returns the number of engines for each model: its share, or fewer if these suffice for
// slotsPerItem slots per item.
func wantedEngines(engines []Engine, targets []Target) map[string]int {
	wanted := shares(len(engines), targets)
	slots := 0
	for _, engine := range engines {
		slots += max(1, engine.Slots)
	}
	for _, target := range targets {
		need := defaultEngines
		if target.Items > 0 {
			needed := float64(slotsPerItem * target.Items)
			need = int(math.Ceil(needed * float64(len(engines)) / float64(max(1, slots))))
		}
		wanted[target.Model] = min(wanted[target.Model], need)
	}
	return wanted
}

func (a *Allocator) removeMissing(engines []Engine) {
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

// shares divides the engines between the models by demand, with at least one for each model if there are
// enough. Engines left over by rounding go to the largest remainders.
func shares(engines int, targets []Target) map[string]int {
	exactShares := exactShares(engines, targets)
	wanted := make(map[string]int, len(targets))
	type remainder struct {
		model    string
		fraction float64
	}
	var remainders []remainder
	allocated := 0
	for _, target := range targets {
		exact := exactShares[target.Model]
		count := max(int(exact), min(1, engines/len(targets)))
		wanted[target.Model] = count
		allocated += count
		remainders = append(remainders, remainder{target.Model, exact - float64(count)})
	}
	sort.SliceStable(remainders, func(i, j int) bool { return remainders[i].fraction > remainders[j].fraction })
	for i := 0; allocated < engines && len(remainders) > 0; i, allocated = i+1, allocated+1 {
		wanted[remainders[i%len(remainders)].model]++
	}
	return wanted
}

// exactShares divides the engines between the models by demand, evenly while no demand is known.
func exactShares(engines int, targets []Target) map[string]float64 {
	total := 0.0
	for _, target := range targets {
		total += target.Demand
	}
	exact := make(map[string]float64, len(targets))
	for _, target := range targets {
		exact[target.Model] = float64(engines) / float64(len(targets))
		if total > 0 {
			exact[target.Model] = float64(engines) * target.Demand / total
		}
	}
	return exact
}

// Load is an order to an engine to load a version of a model.
type Load struct {
	Engine  incarnation.ID
	Model   string
	Version int64
}

// NextLoads returns the loads to order now, so that at most maxConcurrent are in progress.
//
// The source of the weights sustains a bounded number of loads, which all models share.
// The next load is therefore that of the model with the smallest share of its engines at the
// target version or loading it, so that each model has some engines for its next job.
// Among the engines of a model, those too old for open jobs come first, then fast ones, then those with
// the largest lag. Engines that could start waiting items do not load.
//
// With fast engines, models with waiting items precede the others, the one with the smallest share of engines that are
// new enough first: the others need their loads only for their next steps.
func NextLoads(engines []Engine, models map[incarnation.ID]string, targets []Target, maxConcurrent int) []Load {
	byModel := make(map[string]Target, len(targets))
	for _, target := range targets {
		byModel[target.Model] = target
	}
	loading, mixed := 0, false
	newEnough := make(map[string]int, len(targets))
	counts := make(map[string]int, len(targets))
	upToDate := make(map[string]int, len(targets))
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
		mixed = mixed || engine.Fast
		if engine.Loading || !tooOld(engine, target) {
			newEnough[target.Model]++
		}
		lag := target.Version - engine.Versions[target.Model]
		switch {
		case engine.Loading || lag <= 0:
			upToDate[target.Model]++
		case engine.Usable && mayLoad(engine, target):
			candidates[target.Model] = append(candidates[target.Model], candidate{engine, target, lag})
		}
	}
	for _, each := range candidates {
		sort.SliceStable(each, func(i, j int) bool { return each[i].before(each[j]) })
	}
	var loads []Load
	for loading+len(loads) < maxConcurrent {
		model, found := "", false
		if mixed {
			model, found = leastCovered(withWaiting(candidates), newEnough, counts)
		}
		if !found {
			model, found = leastCovered(candidates, upToDate, counts)
		}
		if !found {
			break
		}
		next := candidates[model][0]
		candidates[model] = candidates[model][1:]
		upToDate[model]++
		newEnough[model]++
		loads = append(loads, Load{Engine: next.engine.ID, Model: model, Version: next.target.Version})
	}
	return loads
}

// withWaiting returns the candidates of the models with waiting items.
func withWaiting(candidates map[string][]candidate) map[string][]candidate {
	waiting := make(map[string][]candidate)
	for model, each := range candidates {
		if len(each) > 0 && each[0].target.Waiting > 0 {
			waiting[model] = each
		}
	}
	return waiting
}

// leastCovered returns the model, among those with a candidate, with the smallest share of its
// engines that are covered: at the target version or loading it, or new enough. Ties are broken by the
// order of the models' first candidates, then by name.
func leastCovered(candidates map[string][]candidate, covered, counts map[string]int) (string, bool) {
	best, found := "", false
	share := func(model string) float64 { return float64(covered[model]) / float64(counts[model]) }
	for model, ofModel := range candidates {
		if len(ofModel) == 0 {
			continue
		}
		if !found {
			best, found = model, true
			continue
		}
		switch own, other := share(model), share(best); {
		case own != other:
			if own < other {
				best = model
			}
		case ofModel[0].before(candidates[best][0]):
			best = model
		case !candidates[best][0].before(ofModel[0]) && model < best:
			best = model
		}
	}
	return best, found
}

// candidate is an engine that may start a load now.
type candidate struct {
	engine Engine
	target Target
	// lag is the difference between the target's version and the engine's.
	lag int64
}

func (c candidate) before(other candidate) bool {
	if a, b := tooOld(c.engine, c.target), tooOld(other.engine, other.target); a != b {
		return a
	}
	if c.engine.Fast != other.engine.Fast {
		return c.engine.Fast
	}
	if c.lag != other.lag {
		return c.lag > other.lag
	}
	return c.engine.Running < other.engine.Running
}

// tooOld reports whether the engine's version is below the minimum of the open jobs.
func tooOld(engine Engine, target Target) bool {
	return engine.Versions[target.Model] < target.MinVersion
}

// mayLoad reports whether the engine may start a load now, see Target.
func mayLoad(engine Engine, target Target) bool {
	if tooOld(engine, target) {
		return true
	}
	return target.Waiting == 0 && (!target.LoadsInterrupt || engine.Running == 0)
}
