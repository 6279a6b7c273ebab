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
	// draftSlots is small, so that items of a cancelled job still wait for an engine.
	draftSlots = 2
	eventTime  = 20 * time.Millisecond
	loadTime   = 700 * time.Millisecond
	// drainTime is how long an engine keeps serving after it was listed as draining: well beyond
	// Bounds.Drain.
	drainTime = 8 * time.Second
	// answerFaultShare is the share of answers affected by an engine's answer fault.
	answerFaultShare = 0.3
	// entryInterval is the interval between two writes of an engine's entry.
	entryInterval = time.Second
	// firstVersion is the weight version of a new engine.
	firstVersion = 1
)

// incarnation is one run of an engine's process.
type incarnation struct {
	engine *standin.Engine
	// restarted is set if an engine ran under this ID before; version is the weight version at the start.
	restarted bool
	version   int64
	startedAt time.Time
	// endedAt is zero while it runs.
	endedAt      time.Time
	draining     bool
	cold         []ColdPeriod
	entryInvalid []TimeSpan
}

// engineSlot runs engines of one service, one after the other, behind the same proxy. Each start is a new
// engine with a new ID, or the next incarnation of the same engine.
type engineSlot struct {
	number  int
	service string
	store   *standin.Store
	history *History
	// checkFences is set if the engines reject fencing tokens lower than one that they saw.
	checkFences bool
	senderProxy *senderProxy
	// coldFor is how long engines are cold after each start but the first.
	coldFor time.Duration
	// onCrash is called with the run that crashes the engine.
	onCrash func(run standin.Run)
	listen  string

	// replacing is held while the engine is replaced.
	replacing sync.Mutex

	mu     sync.Mutex
	starts int
	server *http.Server
	// incarnations holds all incarnations of all engines, the newest last.
	incarnations []*incarnation
	// lastBorn is the time of the newest start in Unix milliseconds, strictly increasing.
	lastBorn int64
	// entryInvalid is set while an invalid entry replaces the engine's own.
	entryInvalid bool

	// answerMu guards answerFault. It is separate from mu because engines call faultFor with their own
	// lock held, which is acquired under mu.
	answerMu sync.Mutex
	// answerFault affects a share of the answers; NoFault for none.
	answerFault standin.EngineFault
}

// start starts a new engine with the weight version of the previous one.
func (p *engineSlot) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := int64(firstVersion)
	if len(p.incarnations) > 0 {
		version = p.engine().Version(standin.ModelDrafts)
	}
	p.starts++
	return p.startIncarnation(fmt.Sprintf("engine-%d-%d", p.number, p.starts), version)
}

// restartWithSameID starts the next incarnation of the last engine, which keeps its weights unless
// losesWeights is set.
func (p *engineSlot) restartWithSameID(losesWeights bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.engine()
	version := int64(firstVersion)
	if !losesWeights {
		version = before.Version(standin.ModelDrafts)
	}
	return p.startIncarnation(before.ID(), version)
}

// engine returns the newest engine. Must be called with mu held.
func (p *engineSlot) engine() *standin.Engine { return p.incarnations[len(p.incarnations)-1].engine }

func (p *engineSlot) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine().ID()
}

// overwriteEntry replaces the engine's entry with content. The returned function restores the entry.
func (p *engineSlot) overwriteEntry(content []byte) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryInvalid = true
	engine := p.engine()
	p.store.PutEngineEntry(engine.ID(), content)
	running := p.incarnations[len(p.incarnations)-1]
	began := time.Now()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		running.entryInvalid = append(running.entryInvalid, TimeSpan{From: began, To: time.Now()})
		p.entryInvalid = false
		p.store.ListEngine(engine, p.senderProxy.address, false)
	}
}

// unlist removes the engine's entry.
func (p *engineSlot) unlist() { p.store.UnlistEngine(p.id()) }

// startIncarnation starts an incarnation of an engine. Must be called with mu held.
func (p *engineSlot) startIncarnation(id string, version int64) error {
	var listener net.Listener
	err := retryUntilFree(func() (err error) {
		listener, err = net.Listen("tcp", p.listen)
		return err
	})
	if err != nil {
		return errors.Wrap(err, "listen for an engine")
	}
	p.lastBorn = max(p.lastBorn+1, time.Now().UnixMilli())
	options := standin.EngineOptions{
		ID: id, Service: p.service, Zone: zoneOf(p.number), StartMillis: p.lastBorn,
		Slots: lookupSlots, Events: eventsOf, EventTime: eventTime, Data: eventData, LoadTime: loadTime, CheckFences: p.checkFences,
		CrashesOn: func(run standin.Run) bool { return crashesEngine(run.Body) }, Crash: p.onCrash,
	}
	if p.service == standin.ServiceDrafts {
		options.Versions = map[string]int64{standin.ModelDrafts: version}
		options.Slots = draftSlots
	}
	started := &incarnation{version: version, startedAt: time.Now()}
	if len(p.incarnations) > 0 {
		options.ColdFor = p.coldFor
		started.restarted = p.engine().ID() == id
	}
	if options.ColdFor > 0 {
		started.cold = append(started.cold, ColdPeriod{From: started.startedAt, To: started.startedAt.Add(options.ColdFor)})
	}
	started.engine = standin.NewEngine(options)
	started.engine.SetFault(p.faultFor)
	server := &http.Server{Handler: started.engine, ReadHeaderTimeout: time.Minute}
	p.server, p.incarnations = server, append(p.incarnations, started)
	go func() { _ = server.Serve(listener) }()
	p.store.ListEngine(started.engine, p.senderProxy.address, false)
	return nil
}

// markCold makes the running engine cold and updates its entry at once.
func (p *engineSlot) markCold(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := p.incarnations[len(p.incarnations)-1]
	if !running.endedAt.IsZero() || running.draining || p.entryInvalid {
		return
	}
	running.engine.SetCold(duration)
	p.store.ListEngine(running.engine, p.senderProxy.address, false)
	now := time.Now()
	running.cold = append(running.cold, ColdPeriod{From: now, To: now.Add(duration), Announced: true})
}

// faultFor returns the fault for a request.
func (p *engineSlot) faultFor(id string) standin.EngineFault {
	switch {
	case failsAlways(id):
		return standin.RespondsError
	case isImpossible(id):
		return standin.RespondsUnprocessable
	}
	p.answerMu.Lock()
	defer p.answerMu.Unlock()
	if p.answerFault != standin.NoFault && rand.Float64() < answerFaultShare {
		return p.answerFault
	}
	return standin.NoFault
}

// setAnswerFault sets the fault that affects a share of the answers; NoFault for none.
func (p *engineSlot) setAnswerFault(fault standin.EngineFault) {
	p.answerMu.Lock()
	defer p.answerMu.Unlock()
	p.answerFault = fault
}

// stop ends the engine without updating its entry.
func (p *engineSlot) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
	if running := p.incarnations[len(p.incarnations)-1]; running.endedAt.IsZero() {
		running.endedAt = time.Now()
	}
}

// writeEntry writes the running engine's entry, unless it drains or an invalid entry replaces it.
func (p *engineSlot) writeEntry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if running := p.incarnations[len(p.incarnations)-1]; running.endedAt.IsZero() && !running.draining && !p.entryInvalid {
		p.store.ListEngine(running.engine, p.senderProxy.address, false)
	}
}

// writeEntryPeriodically writes the engine's entry at each entryInterval until ctx ends.
func (p *engineSlot) writeEntryPeriodically(ctx context.Context) {
	for retry.Sleep(ctx, entryInterval) {
		p.writeEntry()
	}
}

// entry returns the engine's current entry.
func (p *engineSlot) entry() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine().Entry(p.senderProxy.address, standin.StateReady)
}

// drain lists the engine as draining, keeps it serving for drainTime, and stops it.
func (p *engineSlot) drain(ctx context.Context) {
	p.mu.Lock()
	engine := p.engine()
	p.incarnations[len(p.incarnations)-1].draining = true
	p.mu.Unlock()
	p.store.ListEngine(engine, p.senderProxy.address, true)
	p.history.update(func() { p.history.Drains = append(p.history.Drains, DrainRecord{Engine: engine.ID(), At: time.Now()}) })
	retry.Sleep(ctx, drainTime)
	p.stop()
	p.store.UnlistEngine(engine.ID())
}

// crash stops the engine and refuses connections until the next one starts. The returned function removes
// the entry after the given time.
func (p *engineSlot) crash(ctx context.Context, duration time.Duration) func() {
	id := p.id()
	p.senderProxy.cut()
	p.stop()
	return func() {
		retry.Sleep(ctx, duration)
		p.store.UnlistEngine(id)
	}
}

// records returns what all incarnations observed.
func (p *engineSlot) records() []EngineRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []EngineRecord
	for _, each := range p.incarnations {
		engine := each.engine
		all = append(all, EngineRecord{
			ID: engine.ID(), Service: engine.Service(), Zone: zoneOf(p.number), Region: regionOf(p.number),
			Restarted: each.restarted, Version: each.version, StartedAt: each.startedAt, EndedAt: each.endedAt,
			Runs: engine.Runs(), Orders: engine.Orders(), Arrivals: engine.Arrivals(), Cold: each.cold, EntryInvalid: each.entryInvalid,
		})
	}
	return all
}
