package batchplan

import (
	"maps"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// maxReservedShare bounds the share of a service's engines that are reserved at a time; one always may be.
const maxReservedShare = 0.25

// reserve reserves the engine that is expected to have the memory for an overdue item first: no other item starts there
// until the item has started. Without it, small items would use each piece of memory that becomes free.
func (p *pass) reserve(item *Item) {
	if p.hasReservation(item.Key) || !p.mayReserve(item.Service) {
		return
	}
	key := p.classOf(item)
	var best *Engine
	for i := range p.engines {
		engine := &p.engines[i]
		if !p.eligible(engine, key) || p.isReserved(engine) || engine.Slots <= 0 || !engine.mayContinue(item) {
			continue
		}
		if best == nil || p.missingTokens(item, engine) < p.missingTokens(item, best) {
			best = engine
		}
	}
	if best != nil {
		p.plan.reservations[best.ID] = item.Key
	}
}

// missingTokens returns the memory that has to become free at an engine before it can take an item.
func (p *pass) missingTokens(item *Item, engine *Engine) int {
	return max(0, p.need(item)-p.freeTokens(engine))
}

func (p *pass) hasReservation(key Key) bool {
	for _, reserved := range p.plan.reservations {
		if reserved == key {
			return true
		}
	}
	return false
}

// mayReserve reports whether another engine of a service may be reserved.
func (p *pass) mayReserve(service string) bool {
	engines, reserved := 0, 0
	for i := range p.engines {
		if p.engines[i].Service != service {
			continue
		}
		engines++
		if p.isReserved(&p.engines[i]) {
			reserved++
		}
	}
	return reserved == 0 || float64(reserved+1) <= maxReservedShare*float64(engines)
}

func (p *pass) isReserved(engine *Engine) bool {
	_, reserved := p.plan.reservations[engine.ID]
	return reserved
}

// isReservedForOther reports whether an engine is reserved for an item other than the given one.
func (p *pass) isReservedForOther(item *Item, engine *Engine) bool {
	key, reserved := p.plan.reservations[engine.ID]
	return reserved && key != item.Key
}

// releaseReservation drops the reservation for an item.
func (p *Plan) releaseReservation(key Key) {
	maps.DeleteFunc(p.reservations, func(_ incarnation.ID, reserved Key) bool { return reserved == key })
}

// dropReservations drops the reservations of items that no longer wait, and of engines that can no longer run them.
func (p *pass) dropReservations() {
	maps.DeleteFunc(p.plan.reservations, func(engine incarnation.ID, key Key) bool {
		item, waiting := p.plan.waiting[key]
		index, known := p.byID[engine]
		return !waiting || !known || !p.eligible(&p.engines[index], p.classOf(&item))
	})
}
