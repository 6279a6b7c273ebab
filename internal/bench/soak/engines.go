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
	// heartbeat is the time between two writes of an engine's entry.
	heartbeat = time.Second
	// firstVersion is the weight version that an engine begins with.
	firstVersion = 1
)

// incarnation is one run of an engine's process.
type incarnation struct {
	engine *standin.Engine
	// restarted: an engine ran under this ID before. version is what it began with.
	restarted bool
	version   int64
	startedAt time.Time
	// endedAt is zero while it runs.
	endedAt time.Time
	leaving bool
	cold    []ColdSeen
	spoiled []TimeSpan
}

// place is where engines of one service run, one after the other, behind the same front:
// each start is a new engine with a new ID, or the same engine's next incarnation.
type place struct {
	number  int
	service string
	store   *standin.Store
	history *History
	// checkFences: the engines refuse lower fencing tokens than one seen.
	checkFences bool
	front       *front
	// coldFor is how long engines are cold after each start but the first.
	coldFor time.Duration
	// crashed is told of a run that ends the engine.
	crashed func(run standin.Run)
	listen  string

	// replacing is held while the engine here ends and another starts.
	replacing sync.Mutex

	mu     sync.Mutex
	starts int
	server *http.Server
	// runs holds the incarnations of engines here, the newest last.
	runs []*incarnation
	// born is the newest start in Unix milliseconds.
	born int64
	// spoiled is true while an entry that names no engine stands in the place of this one's.
	spoiled bool

	// answers guards wrong. It is a lock of its own: engines ask for the fate of a request
	// under their own lock, which is taken under mu.
	answers sync.Mutex
	// wrong is the fault that answers may have; Works for none.
	wrong standin.EngineFault
}

// start begins a new engine with the weight version that the place had.
func (p *place) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := int64(firstVersion)
	if len(p.runs) > 0 {
		version = p.engine().Version(standin.ModelDrafts)
	}
	p.starts++
	return p.begin(fmt.Sprintf("engine-%d-%d", p.number, p.starts), version)
}

// startUnderID begins the next incarnation of the engine that ran here last. It has the
// weights of the one before, unless it forgets them.
func (p *place) startUnderID(forgets bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.engine()
	version := int64(firstVersion)
	if !forgets {
		version = before.Version(standin.ModelDrafts)
	}
	return p.begin(before.ID(), version)
}

// engine is the one that runs here; mu is held.
func (p *place) engine() *standin.Engine { return p.runs[len(p.runs)-1].engine }

// id is the ID of the engine that runs here.
func (p *place) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine().ID()
}

// spoilEntry puts content in the place of the engine's entry. The returned function writes
// the entry again.
func (p *place) spoilEntry(content []byte) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoiled = true
	engine := p.engine()
	p.store.PutEngineEntry(engine.ID(), content)
	running := p.runs[len(p.runs)-1]
	began := time.Now()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		running.spoiled = append(running.spoiled, TimeSpan{From: began, To: time.Now()})
		p.spoiled = false
		p.store.ListEngine(engine, p.front.address, false)
	}
}

// unlist takes the engine's entry away.
func (p *place) unlist() { p.store.UnlistEngine(p.id()) }

// begin begins an incarnation of an engine; mu is held.
func (p *place) begin(id string, version int64) error {
	var listener net.Listener
	err := untilFree(func() (err error) {
		listener, err = net.Listen("tcp", p.listen)
		return err
	})
	if err != nil {
		return errors.Wrap(err, "listen for an engine")
	}
	p.born = max(p.born+1, time.Now().UnixMilli())
	options := standin.EngineOptions{
		ID: id, Service: p.service, Zone: zoneOf(p.number), Born: p.born,
		Slots: lookupSlots, Events: eventsOf, EventTime: eventTime, Data: eventData, LoadTime: loadTime, CheckFences: p.checkFences,
		EndsUnder: func(run standin.Run) bool { return crashesEngine(run.Body) }, End: p.crashed,
	}
	if p.service == standin.ServiceDrafts {
		options.Versions = map[string]int64{standin.ModelDrafts: version}
		options.Slots = draftSlots
	}
	started := &incarnation{version: version, startedAt: time.Now()}
	if len(p.runs) > 0 {
		options.ColdFor = p.coldFor
		started.restarted = p.engine().ID() == id
	}
	if options.ColdFor > 0 {
		started.cold = append(started.cold, ColdSeen{From: started.startedAt, To: started.startedAt.Add(options.ColdFor)})
	}
	started.engine = standin.NewEngine(options)
	started.engine.SetFault(p.fate)
	server := &http.Server{Handler: started.engine, ReadHeaderTimeout: time.Minute}
	p.server, p.runs = server, append(p.runs, started)
	go func() { _ = server.Serve(listener) }()
	p.store.ListEngine(started.engine, p.front.address, false)
	return nil
}

// turnCold makes the engine that runs here cold, which its entry tells at once.
func (p *place) turnCold(lasting time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := p.runs[len(p.runs)-1]
	if !running.endedAt.IsZero() || running.leaving || p.spoiled {
		return
	}
	running.engine.TurnCold(lasting)
	p.store.ListEngine(running.engine, p.front.address, false)
	now := time.Now()
	running.cold = append(running.cold, ColdSeen{From: now, To: now.Add(lasting), Announced: true})
}

// fate decides what happens to a request.
func (p *place) fate(id string) standin.EngineFault {
	switch {
	case failsAlways(id):
		return standin.Fails
	case neverPossible(id):
		return standin.Impossible
	}
	p.answers.Lock()
	defer p.answers.Unlock()
	if p.wrong != standin.Works && rand.Float64() < wrongShare {
		return p.wrong
	}
	return standin.Works
}

// spoil makes the engine give wrong answers of the kind, Works for none.
func (p *place) spoil(fault standin.EngineFault) {
	p.answers.Lock()
	defer p.answers.Unlock()
	p.wrong = fault
}

// stop ends the engine without a word.
func (p *place) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
	if running := p.runs[len(p.runs)-1]; running.endedAt.IsZero() {
		running.endedAt = time.Now()
	}
}

// write writes the entry of the engine that runs here, unless it leaves or another writer's
// entry stands in its place.
func (p *place) write() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if running := p.runs[len(p.runs)-1]; running.endedAt.IsZero() && !running.leaving && !p.spoiled {
		p.store.ListEngine(running.engine, p.front.address, false)
	}
}

// writeOnAndOn has the engine write its entry again and again until ctx ends.
func (p *place) writeOnAndOn(ctx context.Context) {
	for retry.Sleep(ctx, heartbeat) {
		p.write()
	}
}

// entry is the engine's entry as it stands now.
func (p *place) entry() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine().Entry(p.front.address, standin.StateReady)
}

// leave lists the engine as leaving, lets it serve on, and ends it.
func (p *place) leave(ctx context.Context) {
	p.mu.Lock()
	engine := p.engine()
	p.runs[len(p.runs)-1].leaving = true
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
	id := p.id()
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
	for _, each := range p.runs {
		engine := each.engine
		all = append(all, EngineSeen{
			ID: engine.ID(), Service: engine.Service(), Zone: zoneOf(p.number), Region: regionOf(p.number),
			Restarted: each.restarted, Version: each.version, StartedAt: each.startedAt, EndedAt: each.endedAt,
			Runs: engine.Runs(), Orders: engine.Orders(), Arrivals: engine.ArrivalsSeen(), Cold: each.cold, Spoiled: each.spoiled,
		})
	}
	return all
}
