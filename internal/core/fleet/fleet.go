// Package fleet keeps what is believed of the engines and chooses one for a
// request: filter, score, pick. It has no input, output or clock; every event
// comes with its time.
package fleet

import (
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Engine is one incarnation of an engine as its list entry describes it.
type Engine struct {
	// ID names the engine in the list. An engine may start again under its ID.
	ID string
	// Born is when the engine started, in milliseconds since 1970 by its own clock; zero where it does
	// not tell.
	Born    int64
	Service string
	// Address is ip:port.
	Address string
	Zone    string
	// Region is that of the zone; empty where it is not known.
	Region   string
	Slots    int
	Draining bool
	// Versions holds the weight version of each model.
	Versions map[string]int64
	// ColdUntil is the time until which the engine stays slow after its start.
	ColdUntil time.Time
	// ReadAt is when the entry was read from the list.
	ReadAt time.Time
}

// Incarnation names the engine since its start.
func (e Engine) Incarnation() incarnation.ID { return incarnation.ID{Engine: e.ID, Born: e.Born} }

// Load is what an engine said of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes at the engine at that moment in proportion to what is usual there; zero
	// where it does not tell. Engines share their machines with others.
	Slowdown float64
}

// member is an engine with what this process has seen of it.
type member struct {
	engine Engine
	// inFlight counts this process's own requests at the engine.
	inFlight int
	load     Load
	loadAt   time.Time
	// failures counts failures in a row; suspectUntil follows from it.
	failures     int
	suspectUntil time.Time
	latency      time.Duration
	// previous is the incarnation that this one followed, as its last entry described it; empty for none.
	previous Engine
	// earlier is an entry of an incarnation that began before this one, read after it; nil for none.
	earlier *Engine
	// placed orders the members by when they were listed at their addresses.
	placed int64
}

// Fleet is the set of engines that may be sent requests. It is safe for
// concurrent use.
type Fleet struct {
	mu      sync.Mutex
	members map[string]*member
	// byService holds the IDs of each service's engines in order.
	byService map[string][]string
	// starts counts the incarnations that were listed.
	starts int64
	// zones holds what was last said of the evacuation of each zone.
	zones map[string]zoneState
	cold  coldness
	// answerTimes holds the moving mean of the time of each service's whole answers.
	answerTimes map[string]time.Duration
	// placements counts the listings of engines at an address where they were not listed before.
	placements int64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		members: make(map[string]*member), byService: make(map[string][]string), zones: make(map[string]zoneState),
		cold:        newColdness(),
		answerTimes: make(map[string]time.Duration),
	}
}

// Observe notes that an engine has at least a version of a model. Versions of
// one incarnation only rise.
func (f *Fleet) Observe(of incarnation.ID, model string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(of)
	if !found || known.engine.Versions[model] >= version {
		return
	}
	known.engine.Versions = newest(known.engine.Versions, map[string]int64{model: version})
}

// newest returns a new map with the higher version of each model: maps that
// were handed out are never changed.
func newest(known, told map[string]int64) map[string]int64 {
	merged := make(map[string]int64, len(told))
	for model, version := range known {
		merged[model] = version
	}
	for model, version := range told {
		merged[model] = max(merged[model], version)
	}
	return merged
}

// lookUp returns an incarnation, unless another one took its place; mu is held.
func (f *Fleet) lookUp(of incarnation.ID) (*member, bool) {
	known, found := f.members[of.Engine]
	if !found || known.engine.Born != of.Born {
		return nil, false
	}
	return known, true
}

// TakesWork tells whether an engine may be sent anything new, however it is chosen: it has not said
// that it leaves, and its zone is not evacuated. What failed recently still does.
func (f *Fleet) TakesWork(engine Engine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.takesWork(engine)
}

// takesWork is TakesWork; mu is held.
func (f *Fleet) takesWork(engine Engine) bool { return f.hold(engine) == NotHeld }

// Get returns the current incarnation of an engine.
func (f *Fleet) Get(id string) (Engine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.members[id]
	if !found {
		return Engine{}, false
	}
	return known.engine, true
}

// Find returns an incarnation of an engine; found is false once another one took its place.
func (f *Fleet) Find(of incarnation.ID) (engine Engine, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(of)
	if !found {
		return Engine{}, false
	}
	return known.engine, true
}

// Engines returns the engines of a service in the order of their IDs.
func (f *Fleet) Engines(service string) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var engines []Engine
	for _, id := range f.byService[service] {
		engines = append(engines, f.members[id].engine)
	}
	return engines
}

// Listed is an engine of a service with what is believed of it at a moment.
type Listed struct {
	Engine Engine
	// TakesWork is false for one that has said that it leaves, or whose zone is evacuated.
	TakesWork bool
	// Suspected: recent failures keep new requests from it.
	Suspected bool
}

// List returns the engines of a service in the order of their IDs, with what is believed of each: whoever looks
// at thousands of them many times a second asks once.
func (f *Fleet) List(service string, now time.Time) []Listed {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := f.byService[service]
	listed := make([]Listed, 0, len(ids))
	for _, id := range ids {
		known := f.members[id]
		listed = append(listed, Listed{
			Engine: known.engine, TakesWork: f.takesWork(known.engine), Suspected: now.Before(known.suspectUntil),
		})
	}
	return listed
}

// Serves tells whether a service has an engine in one of the regions, be its zone evacuated now, that has not
// said that it leaves.
func (f *Fleet) Serves(service string, regions homes.Set) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.byService[service] {
		if engine := f.members[id].engine; !engine.Draining && regions.Allows(engine.Region) {
			return true
		}
	}
	return false
}

// Places returns how many requests the engines of a service work on at once, and
// how many they have as far as this process knows. Engines that leave or failed
// recently do not count.
func (f *Fleet) Places(service string, now time.Time) (slots, busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.byService[service] {
		each := f.members[id]
		if !f.takesWork(each.engine) || now.Before(each.suspectUntil) {
			continue
		}
		slots += each.engine.Slots
		busy += each.busy(now)
	}
	return slots, busy
}

// Began notes that a request was sent to the engine.
func (f *Fleet) Began(of incarnation.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, found := f.lookUp(of); found {
		known.inFlight++
	}
}

// Suspected tells whether recent failures keep new requests from the engine.
func (f *Fleet) Suspected(of incarnation.ID, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(of)
	return found && now.Before(known.suspectUntil)
}
