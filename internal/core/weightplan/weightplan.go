// Package weightplan decides which engines serve which model, and which of them
// loads new weights next. It has no input, output or clock.
//
// Each engine holds a version of every model, but loading one costs it about a
// second, so an engine follows the versions of one model only. Engines are
// shared between models by demand; an engine changes its model only when the
// shares have moved by a whole engine. Where there are more engines than the items of
// all models need, the rest follows no model and loads nothing until it is needed.
package weightplan

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// placesPerItem is how many places a model's engines have for each of its items at their peak. The loss of
	// a third of the engines, and loads under way at a third, leave a place for each item, and there is a choice
	// of faster ones. Beyond that each engine costs an order, a load and a report for each version, and a
	// connection of the leader: 9,500 engines of six models that change every 4 s would take 2,400 orders a
	// second, for 2,200 items.
	placesPerItem = 3
	// unknownNeed is the number of engines that follow a model of which no item has been seen.
	unknownNeed = 32
)

// Engine is an engine as the plan sees it.
type Engine struct {
	ID incarnation.ID
	// Slots is the number of items that it runs at once.
	Slots    int
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
	// Items is the most items that were open at one time lately; zero when none was seen.
	Items int
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

// Allocate returns the model that each engine follows; engines that follow none are missing.
func (a *Allocator) Allocate(engines []Engine, targets []Target) map[incarnation.ID]string {
	a.forgetGone(engines)
	wanted := wantedEngines(engines, targets)
	counts := make(map[string]int)
	var free []Engine
	for _, engine := range engines {
		if model := a.models[engine.ID]; model != "" {
			counts[model]++
		} else {
			free = append(free, engine)
		}
	}
	for _, target := range targets {
		free = a.follow(free, target.Model, counts, wanted)
	}
	for _, target := range targets {
		if counts[target.Model] < wanted[target.Model] {
			a.move(engines, target.Model, counts, wanted)
		}
	}
	return a.models
}

// follow has free engines follow a model until it has as many as wanted, those with its newest weights
// first: after a change of leader they followed it before. It returns the engines that are left.
func (a *Allocator) follow(free []Engine, model string, counts, wanted map[string]int) []Engine {
	missing := min(wanted[model]-counts[model], len(free))
	if missing <= 0 {
		return free
	}
	byVersion(free, model)
	for _, engine := range free[:missing] {
		a.models[engine.ID] = model
	}
	counts[model] += missing
	return free[missing:]
}

// move has engines that other models can spare follow a model, those with its newest weights first.
func (a *Allocator) move(engines []Engine, model string, counts, wanted map[string]int) {
	var spare []Engine
	for _, engine := range engines {
		if from := a.models[engine.ID]; from != "" && from != model && counts[from] > wanted[from] {
			spare = append(spare, engine)
		}
	}
	byVersion(spare, model)
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

// byVersion puts the engines with the newest weights of a model first.
func byVersion(engines []Engine, model string) {
	slices.SortStableFunc(engines, func(one, other Engine) int {
		return cmp.Compare(other.Versions[model], one.Versions[model])
	})
}

// wantedEngines is the number of engines that are to follow each model: its share, or fewer if they have
// enough places for its items.
func wantedEngines(engines []Engine, targets []Target) map[string]int {
	wanted := shares(len(engines), targets)
	slots := 0
	for _, engine := range engines {
		slots += max(1, engine.Slots)
	}
	for _, target := range targets {
		need := unknownNeed
		if target.Items > 0 {
			places := float64(placesPerItem * target.Items)
			need = int(math.Ceil(places * float64(len(engines)) / float64(max(1, slots))))
		}
		wanted[target.Model] = min(wanted[target.Model], need)
	}
	return wanted
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
