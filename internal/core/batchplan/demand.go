package batchplan

import (
	"cmp"
	"slices"
)

// comparedClasses is the number of classes of items, those with the most waiting items, for which a service's free
// slots are counted. It bounds the time that this takes with many models; a slot that serves only other classes is not
// counted, so that the items are ordered by due times although some of them may have a slot.
const comparedClasses = 8

// demand is the demand for the engines of a service.
type demand struct {
	// waiting is the number of waiting items by class, classes the ones with the most waiting items.
	waiting map[class]int
	classes []class
	total   int
	// freeSlots is the number of free slots at engines that may run items of classes.
	freeSlots int
}

// exceedsSlots reports whether more items wait than slots are free.
func (d *demand) exceedsSlots() bool { return d != nil && d.total > d.freeSlots }

// countDemands counts the waiting items, as counted by job, and the free slots of each service.
func (d *dueOrder) countDemands(p *Plan, engines []Engine) {
	clear(d.demands)
	for _, job := range p.order {
		if job.waiting == 0 {
			continue
		}
		counted, found := d.demands[job.class.service]
		if !found {
			counted = &demand{waiting: make(map[class]int)}
			d.demands[job.class.service] = counted
		}
		counted.total += job.waiting
		counted.waiting[job.class] += job.waiting
	}
	for _, counted := range d.demands {
		counted.selectClasses()
	}
	for i := range engines {
		if counted, found := d.demands[engines[i].Service]; found {
			counted.freeSlots += counted.slotsAt(&engines[i], p.runningCount[engines[i].ID])
		}
	}
}

// selectClasses selects the classes with the most waiting items.
func (d *demand) selectClasses() {
	for each := range d.waiting {
		d.classes = append(d.classes, each)
	}
	slices.SortFunc(d.classes, func(a, b class) int {
		return cmp.Or(d.waiting[b]-d.waiting[a], cmp.Compare(a.model, b.model), cmp.Compare(a.minVersion, b.minVersion))
	})
	d.classes = d.classes[:min(len(d.classes), comparedClasses)]
}

// slotsAt returns the number of items of the selected classes that an engine can start.
func (d *demand) slotsAt(engine *Engine, running int) int {
	if !slices.ContainsFunc(d.classes, engine.eligible) {
		return 0
	}
	free := max(engine.Slots-running, 0)
	if engine.Cold {
		free = min(free, engine.MaxStarts)
	}
	return free
}
