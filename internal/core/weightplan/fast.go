package weightplan

import "maps"

// divide returns the fast engines and the others.
func divide(engines []Engine) (fast, others []Engine) {
	for _, engine := range engines {
		if engine.Fast {
			fast = append(fast, engine)
		} else {
			others = append(others, engine)
		}
	}
	return fast, others
}

// allocateFast divides the fast engines between the models by demand, with at least one for each model and no more than
// wanted in total. An engine is reassigned only from a model with more than its share to one that lacks a full engine
// of its share, or has none: so a change of an engine's class moves at most one other engine.
func (a *Allocator) allocateFast(fast []Engine, targets []Target, wanted map[string]int) {
	fastWanted, exact := shares(len(fast), targets), exactShares(len(fast), targets)
	for model := range fastWanted {
		fastWanted[model] = min(fastWanted[model], wanted[model])
	}
	counts, free := a.countEngines(fast)
	for _, target := range targets {
		free = a.assign(free, target.Model, counts, fastWanted)
	}
	for _, target := range targets {
		model := target.Model
		for counts[model] < fastWanted[model] && (counts[model] == 0 || exact[model]-float64(counts[model]) >= 1) {
			if !a.takeFast(fast, model, counts, exact) {
				break
			}
		}
	}
}

// takeFast reassigns to a model one engine of the model with the most engines above its share, with the newest weights
// of the former. It returns false if no model has an engine to spare: only to a model without any, a model with more
// than one gives one that is within its share.
func (a *Allocator) takeFast(fast []Engine, model string, counts map[string]int, exact map[string]float64) bool {
	donor, surplus := "", 0.0
	if counts[model] == 0 {
		surplus = -float64(len(fast))
	}
	for _, engine := range fast {
		from := a.models[engine.ID]
		if _, isTarget := exact[from]; from == model || isTarget && counts[from] <= 1 {
			continue
		}
		if above := float64(counts[from]) - exact[from]; above > surplus {
			donor, surplus = from, above
		}
	}
	if donor == "" {
		return false
	}
	var spare []Engine
	for _, engine := range fast {
		if a.models[engine.ID] == donor {
			spare = append(spare, engine)
		}
	}
	sortByVersion(spare, model)
	a.models[spare[0].ID] = model
	counts[donor]--
	counts[model]++
	return true
}

// without returns how many further engines each model wants besides the given ones that it has.
func (a *Allocator) without(fast []Engine, wanted map[string]int) map[string]int {
	further := maps.Clone(wanted)
	counts, _ := a.countEngines(fast)
	for model, count := range counts {
		further[model] = max(0, further[model]-count)
	}
	return further
}
