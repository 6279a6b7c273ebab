// Package fleet tracks the state of the engines and chooses one for a request: filter, score, pick.
// It has no input, output or clock; the time of each event is passed in.
package fleet

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Engine is one incarnation of an engine as described by its list entry.
type Engine struct {
	// ID identifies the engine in the list. A restarted engine may keep its ID.
	ID string
	// StartMillis is the engine's start time in milliseconds since 1970 by its own clock; zero if not reported.
	StartMillis int64
	Service     string
	// Address is ip:port.
	Address string
	Zone    string
	// Region is that of the zone; empty if unknown.
	Region   string
	Slots    int
	Draining bool
	// Versions holds the weight version of each model.
	Versions map[string]int64
	// ColdUntil is when the engine reaches its full speed after its start.
	ColdUntil time.Time
	// ReadAt is when the entry was read from the list.
	ReadAt time.Time
}

// Incarnation returns the engine's incarnation ID.
func (e Engine) Incarnation() incarnation.ID {
	return incarnation.ID{Engine: e.ID, StartMillis: e.StartMillis}
}

// Load is the load that an engine reported with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the ratio of the current duration of work to the engine's usual one. It exceeds 1 when other
	// processes use the engine's machine; zero if not reported.
	Slowdown float64
}

// member is an engine with its state as observed by this process.
type member struct {
	engine Engine
	// inFlight counts this process's own requests at the engine.
	inFlight int
	load     Load
	loadAt   time.Time
	// loadCountsEnded is true if load came with a complete answer, and so counts the request that the answer ended.
	loadCountsEnded bool
	// failures counts consecutive failures; suspectUntil follows from it.
	failures     int
	suspectUntil time.Time
	latency      time.Duration
	// predecessor is the last entry of the incarnation that this one replaced; empty for none.
	predecessor Engine
	// deferred is an entry of an earlier incarnation that was read after this one's; nil for none.
	deferred *Engine
	// addressClaim numbers the engine's claim to its current address. The highest claim to an address identifies
	// the engine that was listed there last.
	addressClaim int64
	// peers is the load that other nodes reported; nil without the exchange of load data.
	peers *peerLoad
	// used is true if a request of this process was at the engine at the last call of OwnLoad or later.
	used bool
}

// Fleet is the set of known engines. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	members map[string]*member
	// byService holds the IDs of each service's engines, sorted.
	byService map[string][]string
	// incarnationsListed counts the incarnations listed so far; it never decreases.
	incarnationsListed int64
	// zones holds the newest evacuation state of each zone.
	zones map[string]zoneState
	cold  coldTracker
	// answerTimes holds the moving mean of each service's response time.
	answerTimes map[string]time.Duration
	// lastClaim is the highest member.addressClaim assigned so far.
	lastClaim int64
	// withPeerLoad holds the members whose field peers is set.
	withPeerLoad []*member
}

func New() *Fleet {
	return &Fleet{
		members: make(map[string]*member), byService: make(map[string][]string), zones: make(map[string]zoneState),
		cold:        newColdTracker(),
		answerTimes: make(map[string]time.Duration),
	}
}

// ObserveVersion records that an engine has at least the given version of a model. Versions of an incarnation never
// decrease.
func (f *Fleet) ObserveVersion(id incarnation.ID, model string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.lookUp(id)
	if !found || m.engine.Versions[model] >= version {
		return
	}
	m.engine.Versions = mergeVersions(m.engine.Versions, map[string]int64{model: version})
}

// mergeVersions returns a new map with the higher version of each model. Maps returned to callers are never
// modified.
func mergeVersions(known, reported map[string]int64) map[string]int64 {
	merged := make(map[string]int64, len(reported))
	for model, version := range known {
		merged[model] = version
	}
	for model, version := range reported {
		merged[model] = max(merged[model], version)
	}
	return merged
}

// lookUp returns the member if it is still of the given incarnation. Must be called with mu held.
func (f *Fleet) lookUp(id incarnation.ID) (*member, bool) {
	m, found := f.members[id.Engine]
	if !found || m.engine.StartMillis != id.StartMillis {
		return nil, false
	}
	return m, true
}

// AcceptsWork reports whether an engine may be sent new requests: it is not draining and its zone is not
// evacuated. Recent failures do not matter.
func (f *Fleet) AcceptsWork(engine Engine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptsWork(engine)
}

// acceptsWork reports whether an engine may be sent new requests. Must be called with mu held.
func (f *Fleet) acceptsWork(engine Engine) bool { return f.hold(engine) == NotHeld }

// Get returns the current incarnation of an engine.
func (f *Fleet) Get(id string) (Engine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.members[id]
	if !found {
		return Engine{}, false
	}
	return m.engine, true
}

// Find returns an incarnation of an engine; found is false if it is not listed or was replaced by another one.
func (f *Fleet) Find(id incarnation.ID) (engine Engine, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.lookUp(id)
	if !found {
		return Engine{}, false
	}
	return m.engine, true
}

// Engines returns the engines of a service sorted by ID.
func (f *Fleet) Engines(service string) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var engines []Engine
	for _, id := range f.byService[service] {
		engines = append(engines, f.members[id].engine)
	}
	return engines
}

// EngineStatus is an engine of a service with its state at a given time.
type EngineStatus struct {
	Engine Engine
	// AcceptsWork is false if the engine is draining or its zone is evacuated.
	AcceptsWork bool
	// Suspected is true if the engine is avoided because of recent failures.
	Suspected bool
}

// List returns the engines of a service sorted by ID, each with its state, under a single lock acquisition:
// schedulers call it many times a second for thousands of engines.
func (f *Fleet) List(service string, now time.Time) []EngineStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := f.byService[service]
	listed := make([]EngineStatus, 0, len(ids))
	for _, id := range ids {
		m := f.members[id]
		listed = append(listed, EngineStatus{
			Engine: m.engine, AcceptsWork: f.acceptsWork(m.engine), Suspected: now.Before(m.suspectUntil),
		})
	}
	return listed
}

// HasEngines reports whether a service has an engine in one of the regions that is not draining, regardless of
// evacuations.
func (f *Fleet) HasEngines(service string, regions homes.Set) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.byService[service] {
		if engine := f.members[id].engine; !engine.Draining && regions.Allows(engine.Region) {
			return true
		}
	}
	return false
}

// Capacity returns the total slots of a service's engines, and the number of requests known to be at them.
// Engines that take no work or failed recently are excluded.
func (f *Fleet) Capacity(service string, now time.Time) (slots, occupied int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.byService[service] {
		m := f.members[id]
		if !f.acceptsWork(m.engine) || now.Before(m.suspectUntil) {
			continue
		}
		slots += m.engine.Slots
		occupied += m.occupied(now)
	}
	return slots, occupied
}

// RequestStarted records that a request was sent to the engine.
func (f *Fleet) RequestStarted(id incarnation.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, found := f.lookUp(id); found {
		m.inFlight++
		m.used = true
	}
}

// Suspected reports whether the engine is avoided because of recent failures.
func (f *Fleet) Suspected(id incarnation.ID, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.lookUp(id)
	return found && now.Before(m.suspectUntil)
}
