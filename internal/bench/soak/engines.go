package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	lookupSlots = 8
	// draftSlots is small, so that items of an ended job still wait for an engine.
	draftSlots = 2
	eventTime  = 20 * time.Millisecond
	loadTime   = 700 * time.Millisecond
	// leaveTime is how long an engine serves on after it was listed as leaving: well
	// beyond the bound after which it must get no new work.
	leaveTime = 8 * time.Second
	// wrongShare is the share of answers that a faulty engine spoils.
	wrongShare = 0.3
)

// place is where engines of one service run, one after the other: each start is
// a new engine with a new ID, behind the same front.
type place struct {
	number  int
	service string
	store   *standin.Store
	history *History
	// checkFences: the engines refuse lower fencing tokens than one seen.
	checkFences bool
	front       *front
	// crashed is told of a run that ends the engine.
	crashed func(run standin.Run)
	listen  string

	// replacing is held while the engine here ends and another starts.
	replacing sync.Mutex

	mu     sync.Mutex
	starts int
	engine *standin.Engine
	server *http.Server
	// past holds the engines that ran here before.
	past []*standin.Engine
	// wrong is the fault that answers may have; Works for none.
	wrong standin.EngineFault
}

// start begins a new engine with the weight version that the place had.
func (p *place) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return errors.Wrap(err, "listen for an engine")
	}
	p.starts++
	options := standin.EngineOptions{
		ID: fmt.Sprintf("engine-%d-%d", p.number, p.starts), Service: p.service, Zone: zoneOf(p.number),
		Slots: lookupSlots, Events: eventsOf, EventTime: eventTime, Data: eventData, LoadTime: loadTime, CheckFences: p.checkFences,
		EndsUnder: func(run standin.Run) bool { return crashesEngine(run.Body) }, End: p.crashed,
	}
	if p.service == standin.ServiceDrafts {
		version := int64(1)
		if p.engine != nil {
			version = p.engine.Version(standin.ModelDrafts)
		}
		options.Versions = map[string]int64{standin.ModelDrafts: version}
		options.Slots = draftSlots
	}
	if p.engine != nil {
		p.past = append(p.past, p.engine)
	}
	p.engine = standin.NewEngine(options)
	p.engine.SetFault(p.fate)
	server := &http.Server{Handler: p.engine, ReadHeaderTimeout: time.Minute}
	p.server = server
	go func() { _ = server.Serve(listener) }()
	p.store.ListEngine(p.engine, p.front.address, false)
	return nil
}

// fate decides what happens to a request.
func (p *place) fate(id string) standin.EngineFault {
	switch {
	case failsAlways(id):
		return standin.Fails
	case neverPossible(id):
		return standin.Impossible
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wrong != standin.Works && rand.Float64() < wrongShare {
		return p.wrong
	}
	return standin.Works
}

// spoil makes the engine give wrong answers of the kind, Works for none.
func (p *place) spoil(fault standin.EngineFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrong = fault
}

// stop ends the engine without a word.
func (p *place) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
}

// leave lists the engine as leaving, lets it serve on, and ends it.
func (p *place) leave(ctx context.Context) {
	p.mu.Lock()
	engine := p.engine
	p.mu.Unlock()
	p.store.ListEngine(engine, p.front.address, true)
	p.history.update(func() { p.history.Leaves = append(p.history.Leaves, LeaveSeen{Engine: engine.ID(), At: time.Now()}) })
	retry.Sleep(ctx, leaveTime)
	p.stop()
	p.store.UnlistEngine(engine.ID())
}

// crash ends the engine without a word: its address refuses connections, until the next
// one starts, and its entry goes some time later. The returned function is the rest.
func (p *place) crash(ctx context.Context, lasting time.Duration) func() {
	p.mu.Lock()
	id := p.engine.ID()
	p.mu.Unlock()
	p.front.cut()
	p.stop()
	return func() {
		retry.Sleep(ctx, lasting)
		p.store.UnlistEngine(id)
	}
}

// seen returns what all engines of the place saw.
func (p *place) seen() []EngineSeen {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []EngineSeen
	for _, engine := range append(append([]*standin.Engine(nil), p.past...), p.engine) {
		all = append(all, EngineSeen{ID: engine.ID(), Service: engine.Service(), Runs: engine.Runs(), Orders: engine.Orders()})
	}
	return all
}
