package coldpermits

import (
	"context"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// StockOptions are the parts that a stock works with.
type StockOptions struct {
	// Ask requests a permit from the leader; see Asker.Ask.
	Ask func(ctx context.Context, service string, engines []fleet.Engine) (Permit, Denial)
	// Find returns a listed engine.
	Find func(of incarnation.ID) (fleet.Engine, bool)
	// Granted is called after each granted permit.
	Granted func()
}

// Stock holds permits for the items of a runner on a node that does not lead. A runner places many items
// in one pass without blocking, so permits are requested in the background and are available to its next
// pass. It is safe for concurrent use.
type Stock struct {
	ctx     context.Context
	options StockOptions

	mu sync.Mutex
	// wanted holds the engines for which no permit was requested yet.
	wanted map[incarnation.ID]bool
	// asking is true while fill runs.
	asking bool
	// open holds the unused permits. Some may have expired.
	open map[incarnation.ID][]Permit
}

// NewStock returns a stock that requests permits until ctx ends.
func NewStock(ctx context.Context, options StockOptions) *Stock {
	return &Stock{
		ctx: ctx, options: options, wanted: make(map[incarnation.ID]bool), open: make(map[incarnation.ID][]Permit),
	}
}

// Room returns how many items may start at a cold engine now.
func (s *Stock) Room(to incarnation.ID, _ fleet.Coldness) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropEnded(to)
	return len(s.open[to])
}

// Want requests permits for a cold engine. A granted permit uses up the rate of all senders, so Want must
// be called only while items wait that the engine may run.
func (s *Stock) Want(to incarnation.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted[to] = true
	if !s.asking {
		s.asking = true
		go s.fill()
	}
}

// Admit uses a permit for one item.
func (s *Stock) Admit(_ Sender, to incarnation.ID, _ fleet.Coldness) (Permit, time.Duration, Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropEnded(to)
	permits := s.open[to]
	if len(permits) == 0 {
		return Permit{}, 0, Paced
	}
	s.open[to] = permits[1:]
	return permits[0], 0, Granted
}

// Note does nothing: only the leader counts requests to engines that are not known to be cold.
func (s *Stock) Note(incarnation.ID, float64) {}

// dropEnded drops the expired permits of an engine. Must be called with mu held.
func (s *Stock) dropEnded(to incarnation.ID) {
	var open []Permit
	for _, permit := range s.open[to] {
		if permit.Open() {
			open = append(open, permit)
		}
	}
	if len(open) == 0 {
		delete(s.open, to)
		return
	}
	s.open[to] = open
}

// fill requests permits until none are wanted.
func (s *Stock) fill() {
	for {
		services := s.takeWanted()
		if len(services) == 0 {
			return
		}
		for service, engines := range services {
			s.fillService(service, engines)
		}
	}
}

// takeWanted returns the wanted engines by service and clears them. Without any, fill ends.
func (s *Stock) takeWanted() map[string][]fleet.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	services := make(map[string][]fleet.Engine)
	for id := range s.wanted {
		if engine, listed := s.options.Find(id); listed {
			services[engine.Service] = append(services[engine.Service], engine)
		}
	}
	clear(s.wanted)
	s.asking = len(services) > 0 && s.ctx.Err() == nil
	if !s.asking {
		return nil
	}
	return services
}

// fillService requests permits one after the other until one is denied, at most one for each engine:
// more would expire before the runner's next pass.
func (s *Stock) fillService(service string, engines []fleet.Engine) {
	for len(engines) > 0 {
		permit, denial := s.options.Ask(s.ctx, service, engines)
		if denial.Outcome != Granted {
			return
		}
		s.mu.Lock()
		s.open[permit.Engine] = append(s.open[permit.Engine], permit)
		s.mu.Unlock()
		s.options.Granted()
		engines = without(engines, permit.Engine)
	}
}

func without(engines []fleet.Engine, left incarnation.ID) []fleet.Engine {
	var others []fleet.Engine
	for _, engine := range engines {
		if engine.Incarnation() != left {
			others = append(others, engine)
		}
	}
	return others
}
