package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Change is the effect of a list entry on the fleet.
type Change uint8

// Effects of a list entry.
const (
	// Added: no engine was known under the ID.
	Added Change = iota
	// Renewed: the entry is of the known incarnation.
	Renewed
	// Replaced: the entry is of a later incarnation than the known one, whose state is discarded.
	Replaced
	// Deferred: the entry is of an earlier incarnation than the known one. It takes effect only if the known
	// one writes no entry for deferPeriod.
	Deferred
)

var changeNames = [...]string{Added: "added", Renewed: "renewed", Replaced: "replaced", Deferred: "deferred"}

// String returns the change's name in logs.
func (c Change) String() string { return changeNames[c] }

// deferPeriod is how long an entry of an earlier incarnation is considered delayed. Engines write an entry
// about every second, so a running later incarnation has written one by then. If it has not, the earlier
// start time comes from a clock that was set back.
const deferPeriod = 3 * time.Second

// Put adds or updates an engine. Entries of one ID must arrive in list order.
func (f *Fleet) Put(engine Engine) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.members[engine.ID]
	switch {
	case !found:
		f.addIncarnation(&member{engine: engine})
		return Added
	case m.engine.StartMillis == engine.StartMillis:
		f.renew(m, engine)
		return Renewed
	case engine.StartMillis < m.engine.StartMillis:
		m.deferEntry(engine)
		return Deferred
	default:
		f.replace(m, engine)
		return Replaced
	}
}

// Replacement is an engine whose deferred entry took effect.
type Replacement struct {
	Ended  Engine
	Engine Engine
}

// ApplyDeferred applies the entries that have been deferred for deferPeriod in a list read up to asOf, and
// returns the engines that it replaced.
func (f *Fleet) ApplyDeferred(asOf, now time.Time) []Replacement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var applied []Replacement
	for _, m := range f.members {
		if deferred := m.deferred; deferred != nil && asOf.Sub(deferred.ReadAt) >= deferPeriod {
			// Marked under the same lock, so that no request sees the replacement as a warm engine.
			f.cold.add(deferred.Incarnation(), coldMark{reason: FirstSeen, at: now})
			f.replace(m, *deferred)
			applied = append(applied, Replacement{Ended: m.engine, Engine: *deferred})
		}
	}
	return applied
}

// claimAddress records that a member is the last one listed at its address. Must be called with mu held.
func (f *Fleet) claimAddress(m *member) {
	f.lastClaim++
	m.addressClaim = f.lastClaim
}

// insert adds a member to the indexes. Must be called with mu held.
func (f *Fleet) insert(m *member) {
	engine := m.engine
	f.members[engine.ID] = m
	f.byService[engine.Service] = insertSorted(f.byService[engine.Service], engine.ID, strings.Compare)
}

// insertSorted inserts an ID into a sorted slice unless present. Sorting after each insertion instead would take
// seconds for 10,000 engines.
func insertSorted(ids []string, id string, compare func(a, b string) int) []string {
	index, found := slices.BinarySearchFunc(ids, id, compare)
	if found {
		return ids
	}
	return slices.Insert(ids, index, id)
}

// renew applies a further entry of a known incarnation. Must be called with mu held.
func (f *Fleet) renew(m *member, engine Engine) {
	engine.Versions = mergeVersions(m.engine.Versions, engine.Versions)
	if m.engine.Address != engine.Address {
		f.claimAddress(m)
	}
	moved := m.engine.Service != engine.Service
	if moved {
		f.removeFromService(m.engine)
	}
	m.engine, m.deferred = engine, nil
	if moved {
		f.insert(m)
	}
}

// deferEntry keeps an entry of an earlier incarnation; its period starts with the first such entry.
func (m *member) deferEntry(engine Engine) {
	if m.deferred != nil && m.deferred.StartMillis == engine.StartMillis {
		engine.ReadAt = m.deferred.ReadAt
	}
	m.deferred = &engine
}

// replace ends an incarnation and adds its replacement. Must be called with mu held.
func (f *Fleet) replace(ended *member, engine Engine) {
	f.removeFromService(ended.engine)
	f.addIncarnation(&member{engine: engine, predecessor: ended.engine})
}

// addIncarnation adds a member for a newly listed incarnation. Must be called with mu held.
func (f *Fleet) addIncarnation(m *member) {
	f.incarnationsListed++
	f.claimAddress(m)
	f.insert(m)
}

func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, found := f.members[id]; found {
		f.removeFromService(m.engine)
		delete(f.members, id)
	}
}

// removeFromService removes an engine from the index of its service. Must be called with mu held.
func (f *Fleet) removeFromService(engine Engine) {
	ids := f.byService[engine.Service]
	if index, found := slices.BinarySearch(ids, engine.ID); found {
		f.byService[engine.Service] = slices.Delete(ids, index, index+1)
	}
}

// Services returns the services that have engines.
func (f *Fleet) Services() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var services []string
	for service, ids := range f.byService {
		if len(ids) > 0 {
			services = append(services, service)
		}
	}
	return services
}

// IncarnationsListed returns how many incarnations have been listed so far. While it is unchanged, no incarnation was
// replaced, so callers with requests at many engines need not check each of them.
func (f *Fleet) IncarnationsListed() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnationsListed
}

// ListStatus is the list state of one incarnation of an engine.
type ListStatus struct {
	// Listed is true if the list has an entry of the incarnation.
	Listed bool
	// Replaced is true if another incarnation uses its ID, or another engine its address.
	Replaced bool
	// Draining is true if its newest entry said that it is draining.
	Draining bool
}

// ListStatus returns the list state of an incarnation that requests were sent to.
func (f *Fleet) ListStatus(engine Engine) ListStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.members[engine.ID]
	switch {
	case !found:
		return ListStatus{}
	case m.engine.StartMillis == engine.StartMillis:
		return ListStatus{
			Listed: true, Replaced: f.addressReused(engine, m.addressClaim), Draining: m.engine.Draining,
		}
	case m.predecessor.ID == "":
		// The earlier entry was removed before this one was added, so whether its engine has ended is unknown.
		return ListStatus{}
	default:
		draining := m.predecessor.Incarnation() == engine.Incarnation() && m.predecessor.Draining
		return ListStatus{Replaced: true, Draining: draining}
	}
}

// addressReused reports whether an engine with another ID, of any service, claimed the engine's address after the
// given claim. Earlier claims do not count: the entry of an engine that exited stays for seconds. Must be called
// with mu held.
func (f *Fleet) addressReused(engine Engine, claim int64) bool {
	for id, m := range f.members {
		if id != engine.ID && m.engine.Address == engine.Address && m.addressClaim > claim {
			return true
		}
	}
	return false
}

// IsReplaced reports whether another incarnation has replaced this one.
func (f *Fleet) IsReplaced(id incarnation.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.members[id.Engine]
	return found && m.engine.StartMillis != id.StartMillis
}
