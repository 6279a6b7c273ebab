package batchplan

import (
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// maxPartWait bounds how long an item waits for the service that it was given while another one of its route could
	// take it.
	maxPartWait = 2 * time.Second
	// busyShare is the share of the slots of a route's engines up to which items are sent to other services than their
	// own because that one is full. Above it the weights of the route decide, whichever service has a free slot.
	busyShare = 0.5
)

// SetServices sets the services that the route of a job leads to. Those of a job that was not given any are its items'.
func (p *Plan) SetServices(job string, services []string) {
	if rank, found := p.jobs[job]; found {
		rank.services = services
	}
}

// pool returns the name under which the items of a job at a service compete with those of other jobs. It is the same for
// all items of a job.
func (r *jobRank) pool(service string) string {
	if len(r.services) > 1 {
		return r.services[0]
	}
	return service
}

// serves reports whether the items of a job may run at a service, if they were given another one.
func (r *jobRank) serves(service string) bool {
	return slices.Contains(r.services, service)
}

// chooseAnyPart returns the item with the service and engine at which it starts, which are those of its own part of the
// route if that can take it, or why it waits.
func (p *pass) chooseAnyPart(item Item) (Item, incarnation.ID, WaitReason) {
	engine, reason := p.choose(item)
	if reason == NotWaiting {
		return item, engine, NotWaiting
	}
	rank := p.plan.jobs[item.Key.Job]
	if len(rank.services) < 2 || !p.mayLeavePart(&item, rank, reason) {
		return item, engine, reason
	}
	for _, service := range rank.services {
		if service == item.Service {
			continue
		}
		moved := item
		moved.Service = service
		if engine, wait := p.choose(moved); wait == NotWaiting {
			if _, counted := p.idle[rank]; counted {
				p.idle[rank]--
			}
			return moved, engine, NotWaiting
		}
	}
	return item, engine, reason
}

// mayLeavePart reports whether an item that waits for its own part may start at another one: to keep its output, or after
// maxPartWait if its part cannot run it or most engines of the route are idle.
func (p *pass) mayLeavePart(item *Item, rank *jobRank, reason WaitReason) bool {
	if item.SameVersion != 0 && reason == NoVersion {
		return true
	}
	if item.waited(p.now) < maxPartWait {
		return false
	}
	switch reason {
	case NoUsableEngine, NoVersion, EngineFailing:
		return true
	default:
		return p.idleSlots(rank) > 0
	}
}

// idleSlots returns how many more items may start at the engines of a job's route before a share of busyShare is in use. It
// is counted once in a pass.
func (p *pass) idleSlots(rank *jobRank) int {
	if idle, counted := p.idle[rank]; counted {
		return idle
	}
	slots, running := 0, 0
	for i := range p.engines {
		engine := &p.engines[i]
		if engine.Usable && rank.serves(engine.Service) {
			slots += engine.Slots
			running += p.plan.runningCount[engine.ID]
		}
	}
	idle := int(busyShare*float64(slots)) - running
	p.idle[rank] = idle
	return idle
}
