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
	// lookupSlots and draftSlots are how many requests an engine runs at once. draftSlots is small, so that
	// items of a canceled job still wait for an engine.
	lookupSlots = 8
	draftSlots  = 2
	eventTime   = 20 * time.Millisecond
	loadTime    = 700 * time.Millisecond
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
	paces        []PaceChange
}

// engineSlot runs engines of one service, one after the other, behind the same proxy. Each start creates a new
// engine with a new ID, or the next incarnation of the previous engine.
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
	// slots, eventTime and plainTime are the options of its engines.
	slots     int
	eventTime time.Duration
	plainTime time.Duration
	// ownPace is the pace of its engines unless a fault has changed it.
	ownPace float64
	// reportsPace is set if the engines report their pace with their load.
	reportsPace bool
	// onCrash is called with the run that crashes the engine.
	onCrash func(run standin.Run)
	// itemCrashes counts the crashes under interrupted items at all engines.
	itemCrashes *itemCrashes
	// listenAddress is the address that engines listen on, behind the proxy.
	listenAddress string

	// replacing is held while the engine is replaced.
	replacing sync.Mutex

	mu     sync.Mutex
	starts int
	server *http.Server
	// incarnations holds all incarnations of all engines, the newest last.
	incarnations []*incarnation
	// lastStartMillis is the time of the newest start in Unix milliseconds, strictly increasing.
	lastStartMillis int64
	// pace is the current pace of the running engine and of its replacements.
	pace float64
	// entryInvalid is set while an invalid entry replaces the engine's own.
	entryInvalid bool

	// answerMu guards answerFault. It is separate from mu because engines call faultFor with their own
	// lock held, which is acquired under mu.
	answerMu sync.Mutex
	// answerFault affects a share of the answers; NoFault for none.
	answerFault standin.EngineFault
}

// start starts a new engine with the weight version of the previous one.
func (s *engineSlot) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := int64(firstVersion)
	if len(s.incarnations) > 0 {
		version = s.engine().Version(standin.ModelDrafts)
	}
	s.starts++
	return s.startIncarnation(fmt.Sprintf("engine-%d-%d", s.number, s.starts), version)
}

// restartWithSameID starts the next incarnation of the last engine, which keeps its weights unless
// losesWeights is set.
func (s *engineSlot) restartWithSameID(losesWeights bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.engine()
	version := int64(firstVersion)
	if !losesWeights {
		version = before.Version(standin.ModelDrafts)
	}
	return s.startIncarnation(before.ID(), version)
}

// engine returns the newest engine. Must be called with mu held.
func (s *engineSlot) engine() *standin.Engine { return s.incarnations[len(s.incarnations)-1].engine }

func (s *engineSlot) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine().ID()
}

// overwriteEntry replaces the engine's entry with content. The returned function restores the entry.
func (s *engineSlot) overwriteEntry(content []byte) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryInvalid = true
	engine := s.engine()
	s.store.PutEngineEntry(engine.ID(), content)
	running := s.incarnations[len(s.incarnations)-1]
	began := time.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		running.entryInvalid = append(running.entryInvalid, TimeSpan{From: began, To: time.Now()})
		s.entryInvalid = false
		s.store.ListEngine(engine, s.senderProxy.address, false)
	}
}

// unlist removes the engine's entry.
func (s *engineSlot) unlist() { s.store.UnlistEngine(s.id()) }

// startIncarnation starts an incarnation of an engine. Must be called with mu held.
func (s *engineSlot) startIncarnation(id string, version int64) error {
	var listener net.Listener
	err := retryUntilFree(func() (err error) {
		listener, err = net.Listen("tcp", s.listenAddress)
		return err
	})
	if err != nil {
		return errors.Wrap(err, "listen for an engine")
	}
	s.lastStartMillis = max(s.lastStartMillis+1, time.Now().UnixMilli())
	options := standin.EngineOptions{
		ID: id, Service: s.service, Zone: zoneOf(s.number), StartMillis: s.lastStartMillis,
		Slots: s.slots, Events: eventsOf, EventTime: s.eventTime, Data: eventData, LoadTime: loadTime, CheckFences: s.checkFences,
		PlainTime: s.plainTime, Pace: s.pace, ReportsPace: s.reportsPace,
		CrashesOn: s.itemCrashes.crashesEngine, Crash: s.onCrash,
	}
	if s.service == standin.ServiceDrafts {
		options.Versions = map[string]int64{standin.ModelDrafts: version}
	}
	started := &incarnation{version: version, startedAt: time.Now()}
	started.paces = append(started.paces, PaceChange{At: started.startedAt, Pace: s.pace})
	if len(s.incarnations) > 0 {
		options.ColdFor = s.coldFor
		started.restarted = s.engine().ID() == id
	}
	if options.ColdFor > 0 {
		started.cold = append(started.cold, ColdPeriod{From: started.startedAt, To: started.startedAt.Add(options.ColdFor)})
	}
	started.engine = standin.NewEngine(options)
	started.engine.SetFault(s.faultFor)
	server := &http.Server{Handler: started.engine, ReadHeaderTimeout: time.Minute}
	s.server, s.incarnations = server, append(s.incarnations, started)
	go func() { _ = server.Serve(listener) }()
	s.store.ListEngine(started.engine, s.senderProxy.address, false)
	return nil
}

// markCold makes the running engine cold and updates its entry at once.
func (s *engineSlot) markCold(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.incarnations[len(s.incarnations)-1]
	if !running.endedAt.IsZero() || running.draining || s.entryInvalid {
		return
	}
	running.engine.SetCold(duration)
	s.store.ListEngine(running.engine, s.senderProxy.address, false)
	now := time.Now()
	running.cold = append(running.cold, ColdPeriod{From: now, To: now.Add(duration), Announced: true})
}

func (s *engineSlot) currentPace() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace
}

// setPace changes the pace of the running engine and of its replacements.
func (s *engineSlot) setPace(pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
	running := s.incarnations[len(s.incarnations)-1]
	running.engine.SetPace(pace)
	running.paces = append(running.paces, PaceChange{At: time.Now(), Pace: pace})
}

// faultFor returns the fault for a request.
func (s *engineSlot) faultFor(id string) standin.EngineFault {
	switch {
	case failsAlways(id):
		return standin.RespondsError
	case isImpossible(id):
		return standin.RespondsUnprocessable
	}
	s.answerMu.Lock()
	defer s.answerMu.Unlock()
	if s.answerFault != standin.NoFault && rand.Float64() < answerFaultShare {
		return s.answerFault
	}
	return standin.NoFault
}

// setAnswerFault sets the fault that affects a share of the answers; NoFault for none.
func (s *engineSlot) setAnswerFault(fault standin.EngineFault) {
	s.answerMu.Lock()
	defer s.answerMu.Unlock()
	s.answerFault = fault
}

// stop ends the engine without updating its entry.
func (s *engineSlot) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
	if running := s.incarnations[len(s.incarnations)-1]; running.endedAt.IsZero() {
		running.endedAt = time.Now()
	}
}

// writeEntry writes the running engine's entry, unless it drains or an invalid entry replaces it.
func (s *engineSlot) writeEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if running := s.incarnations[len(s.incarnations)-1]; running.endedAt.IsZero() && !running.draining && !s.entryInvalid {
		s.store.ListEngine(running.engine, s.senderProxy.address, false)
	}
}

// writeEntryPeriodically writes the engine's entry at each entryInterval until ctx ends.
func (s *engineSlot) writeEntryPeriodically(ctx context.Context) {
	for retry.Sleep(ctx, entryInterval) {
		s.writeEntry()
	}
}

// entry returns the engine's current entry.
func (s *engineSlot) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine().Entry(s.senderProxy.address, standin.StateReady)
}

// drain lists the engine as draining, keeps it serving for the given time, and stops it.
func (s *engineSlot) drain(ctx context.Context, serving time.Duration) {
	s.mu.Lock()
	engine := s.engine()
	s.incarnations[len(s.incarnations)-1].draining = true
	s.mu.Unlock()
	s.store.ListEngine(engine, s.senderProxy.address, true)
	s.history.update(func() { s.history.Drains = append(s.history.Drains, DrainRecord{Engine: engine.ID(), At: time.Now()}) })
	retry.Sleep(ctx, serving)
	s.stop()
	s.store.UnlistEngine(engine.ID())
}

// crash stops the engine and refuses connections until the next one starts. The returned function removes
// the entry after the given time.
func (s *engineSlot) crash(ctx context.Context, duration time.Duration) func() {
	id := s.id()
	s.senderProxy.cut()
	s.stop()
	return func() {
		retry.Sleep(ctx, duration)
		s.store.UnlistEngine(id)
	}
}

// records returns what all incarnations observed.
func (s *engineSlot) records() []EngineRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []EngineRecord
	for _, each := range s.incarnations {
		engine := each.engine
		all = append(all, EngineRecord{
			ID: engine.ID(), Service: engine.Service(), Zone: zoneOf(s.number), Region: regionOf(s.number),
			Restarted: each.restarted, Version: each.version, StartedAt: each.startedAt, EndedAt: each.endedAt,
			Runs: engine.Runs(), Orders: engine.Orders(), Arrivals: engine.Arrivals(), Cold: each.cold, EntryInvalid: each.entryInvalid,
			Slots: s.slots, PlainTime: s.plainTime, Paces: each.paces,
		})
	}
	return all
}
