package batchplan

import (
	"cmp"
	"slices"
)

// comparedClasses is the number of classes of items, those with the most waiting items, whose demand for the same slots
// is compared pair by pair. It bounds the time that this takes with many models; see demand.exceeds for the others.
const comparedClasses = 8

// classDemand is the demand of the waiting items of a class.
type classDemand struct {
	class   class
	waiting int
	// need is the memory that all of the items need together, leastNeed that of the item that needs the least.
	need, leastNeed int
}

func (d *classDemand) add(other *classDemand) {
	if d.waiting == 0 {
		d.leastNeed = other.leastNeed
	}
	d.waiting += other.waiting
	d.need += other.need
	d.leastNeed = min(d.leastNeed, other.leastNeed)
}

// countDemand counts the demand of one of the job's items.
func (r *jobRank) countDemand(added *classDemand) {
	for i := range r.demands {
		if r.demands[i].class.service == added.class.service {
			r.demands[i].add(added)
			return
		}
	}
	r.demands = append(r.demands, *added)
}

// demand is the demand for the engines of a service.
type demand struct {
	byClass map[class]*classDemand
	// classes holds the classes in descending order of their waiting items; the first comparedClasses are compared.
	classes []*classDemand
	waiting int
	// slots is the number of free slots at engines that may run items of compared classes, shared the number of those
	// that two of them may both use, by index; an entry on the diagonal is the number of slots of one class.
	slots  int
	shared [comparedClasses][comparedClasses]int
	// exceedsSlots is true if items of a class compete for slots.
	exceedsSlots bool
}

// countDemands determines for each service whether its waiting items, as counted by job, compete for slots.
func (d *dueOrder) countDemands(p *pass) {
	clear(d.demands)
	for _, job := range p.plan.order {
		for i := range job.demands {
			name := job.demands[i].class.service
			service, found := d.demands[name]
			if !found {
				service = &demand{byClass: make(map[class]*classDemand)}
				d.demands[name] = service
			}
			service.add(&job.demands[i])
		}
	}
	for _, service := range d.demands {
		service.sortClasses()
	}
	for i := range p.engines {
		if service, found := d.demands[p.engines[i].Service]; found && p.hasSlot(&p.engines[i]) {
			service.countSlots(p, &p.engines[i])
		}
	}
	for _, service := range d.demands {
		service.exceedsSlots = service.exceeds(p)
	}
}

func (d *demand) add(added *classDemand) {
	known, found := d.byClass[added.class]
	if !found {
		known = &classDemand{class: added.class}
		d.byClass[added.class] = known
		d.classes = append(d.classes, known)
	}
	known.add(added)
	d.waiting += added.waiting
}

func (d *demand) sortClasses() {
	slices.SortFunc(d.classes, func(a, b *classDemand) int {
		return cmp.Or(
			b.waiting-a.waiting, cmp.Compare(a.class.model, b.class.model), cmp.Compare(a.class.minVersion, b.class.minVersion),
		)
	})
}

// compared returns the classes that are compared pair by pair.
func (d *demand) compared() []*classDemand { return d.classes[:min(len(d.classes), comparedClasses)] }

// countSlots counts the free slots of an engine for the compared classes.
func (d *demand) countSlots(p *pass, engine *Engine) {
	var free [comparedClasses]int
	most := 0
	for i, each := range d.compared() {
		free[i] = p.startsAt(engine, each)
		most = max(most, free[i])
	}
	if most == 0 {
		return
	}
	d.slots += most
	for i := range d.compared() {
		for j := range d.compared() {
			d.shared[i][j] += min(free[i], free[j])
		}
	}
}

// exceeds reports whether some item of a class may be left without a slot, whichever items start first. A class
// competes if its items, and those of other classes that may take slots of it, outnumber its slots. A class without any
// slot does not compete: no order lets one of its items start now.
//
// The classes that are not compared pair by pair compete if their own items outnumber their slots, or if all items
// outnumber the slots of the compared classes. The latter may order items although each has a slot.
func (d *demand) exceeds(p *pass) bool {
	compared := d.compared()
	if len(d.classes) > len(compared) && d.waiting > d.slots {
		return true
	}
	for i, each := range compared {
		competing := each.waiting
		for j, other := range compared {
			if i != j {
				competing += min(other.waiting, d.shared[i][j])
			}
		}
		if d.shared[i][i] > 0 && competing > d.shared[i][i] {
			return true
		}
	}
	return slices.ContainsFunc(d.classes[len(compared):], func(each *classDemand) bool { return p.lacksSlots(each) })
}

// lacksSlots reports whether the items of a class outnumber its free slots, of which there are some.
func (p *pass) lacksSlots(demand *classDemand) bool {
	free := 0
	for i := range p.engines {
		if p.hasSlot(&p.engines[i]) {
			free += p.startsAt(&p.engines[i], demand)
		}
		if free >= demand.waiting {
			return false
		}
	}
	return free > 0
}

// startsAt returns the number of items of a class that an engine with a free slot can start: as many as it has slots
// and memory for, given their mean need, and at least one if the smallest fits.
func (p *pass) startsAt(engine *Engine, demand *classDemand) int {
	if !p.eligible(engine, demand.class) || demand.leastNeed > p.freeTokens(engine) || p.isReserved(engine) {
		return 0
	}
	free := min(engine.Slots-p.plan.runningCount[engine.ID], p.startsLeft[p.byID[engine.ID]])
	if engine.Tokens > 0 && demand.need > 0 {
		free = min(free, max(p.unreservedTokens(engine)*demand.waiting/demand.need, 1))
	}
	return free
}
