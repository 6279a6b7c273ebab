package coldpermits

import (
	"context"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// PoolOptions configures the prefetching of permits.
type PoolOptions struct {
	// RequestPermit requests a permit from the leader.
	RequestPermit func(ctx context.Context, service string, engines []fleet.Engine) (Permit, Decision)
	// Find returns a listed engine, and false if it is not listed.
	Find func(of incarnation.ID) (fleet.Engine, bool)
	// Granted is called after each permit that was added to the pool.
	Granted func()
}

// Pool prefetches permits for the items of a runner on a node that does not lead. A runner schedules many items in
// one pass and must not block, so permits are requested in the background for its next pass. It is safe for
// concurrent use.
type Pool struct {
	ctx     context.Context
	options PoolOptions

	mu sync.Mutex
	// wanted holds the engines for which fill has to request permits.
	wanted map[incarnation.ID]bool
	// filling is true while fill runs.
	filling bool
	// unused holds the unused permits by engine. Some may have expired.
	unused map[incarnation.ID][]Permit
}

// NewPool returns a pool that requests permits on calls of Prefetch until ctx ends.
func NewPool(ctx context.Context, options PoolOptions) *Pool {
	return &Pool{
		ctx: ctx, options: options, wanted: make(map[incarnation.ID]bool), unused: make(map[incarnation.ID][]Permit),
	}
}

// Available returns the number of items that may start on a cold engine now.
func (p *Pool) Available(to incarnation.ID, _ fleet.Coldness) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(to)
	return len(p.unused[to])
}

// Prefetch requests a permit for a cold engine in the background. A granted permit counts toward the engine's rate even
// if it is not used, so Prefetch must be called only while items wait that the engine can run.
func (p *Pool) Prefetch(to incarnation.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted[to] = true
	if !p.filling {
		p.filling = true
		go p.fill()
	}
}

// Admit uses a permit for one item.
func (p *Pool) Admit(_ Sender, to incarnation.ID, _ fleet.Coldness) (Permit, time.Duration, Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(to)
	permits := p.unused[to]
	if len(permits) == 0 {
		return Permit{}, 0, RateLimited
	}
	p.unused[to] = permits[1:]
	return permits[0], 0, Granted
}

// RecordUnpaced does nothing, since only the leader counts requests to engines that are not known to be cold.
func (p *Pool) RecordUnpaced(incarnation.ID, float64) {}

// dropExpired drops the expired permits of an engine. Must be called with mu held.
func (p *Pool) dropExpired(to incarnation.ID) {
	var unused []Permit
	for _, permit := range p.unused[to] {
		if permit.Valid() {
			unused = append(unused, permit)
		}
	}
	if len(unused) == 0 {
		delete(p.unused, to)
		return
	}
	p.unused[to] = unused
}

// fill requests permits until no engine is wanted.
func (p *Pool) fill() {
	for {
		services := p.takeWanted()
		if len(services) == 0 {
			return
		}
		for service, engines := range services {
			p.fillService(service, engines)
		}
	}
}

// takeWanted returns the wanted engines by service and clears them. It resets filling if it returns none.
func (p *Pool) takeWanted() map[string][]fleet.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	services := make(map[string][]fleet.Engine)
	for id := range p.wanted {
		if engine, listed := p.options.Find(id); listed {
			services[engine.Service] = append(services[engine.Service], engine)
		}
	}
	clear(p.wanted)
	p.filling = len(services) > 0 && p.ctx.Err() == nil
	if !p.filling {
		return nil
	}
	return services
}

// fillService requests permits one after the other until one is denied, at most one per engine: more would expire
// before the runner's next pass.
func (p *Pool) fillService(service string, engines []fleet.Engine) {
	for len(engines) > 0 {
		permit, decision := p.options.RequestPermit(p.ctx, service, engines)
		if decision.Outcome != Granted {
			return
		}
		p.mu.Lock()
		p.unused[permit.Engine] = append(p.unused[permit.Engine], permit)
		p.mu.Unlock()
		p.options.Granted()
		engines = withoutEngine(engines, permit.Engine)
	}
}

func withoutEngine(engines []fleet.Engine, excluded incarnation.ID) []fleet.Engine {
	var others []fleet.Engine
	for _, engine := range engines {
		if engine.Incarnation() != excluded {
			others = append(others, engine)
		}
	}
	return others
}
