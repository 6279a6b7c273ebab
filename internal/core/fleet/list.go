package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Change is what an entry of the list did to the fleet.
type Change uint8

// The changes.
const (
	// Added: no engine was known under the ID.
	Added Change = iota
	// Renewed: the entry is of the incarnation that was known.
	Renewed
	// Replaced: another incarnation was known; it has ended, and nothing is believed of this one but what
	// the entry says.
	Replaced
	// Deferred: the entry is of an incarnation that began before the known one. It changes nothing unless
	// the known one writes no entry for deferTime.
	Deferred
)

var changeNames = [...]string{Added: "added", Renewed: "renewed", Replaced: "replaced", Deferred: "deferred"}

// String returns the change as it stands in logs.
func (c Change) String() string { return changeNames[c] }

// deferTime is how long an entry of an earlier start is taken for one that was written late. Engines write
// their entries about every second, so a later incarnation that lives has written one by then; one that
// has not was followed by an engine whose clock had jumped back.
const deferTime = 3 * time.Second

// Put adds an engine or changes what its entry says. Entries of one ID come in the order of the list.
func (f *Fleet) Put(engine Engine) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.members[engine.ID]
	switch {
	case !found:
		f.begin(&member{engine: engine})
		return Added
	case known.engine.Born == engine.Born:
		f.renew(known, engine)
		return Renewed
	case engine.Born < known.engine.Born:
		known.postpone(engine)
		return Deferred
	default:
		f.replace(known, engine)
		return Replaced
	}
}

// Replacement is an engine whose deferred entry has come to hold.
type Replacement struct {
	Ended  Engine
	Engine Engine
}

// ApplyDeferred notes that the list is known as of a time, and returns what took the place of a later incarnation
// since.
func (f *Fleet) ApplyDeferred(asOf, now time.Time) []Replacement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var settled []Replacement
	for _, known := range f.members {
		if earlier := known.earlier; earlier != nil && asOf.Sub(earlier.ReadAt) >= deferTime {
			// No request may find it as a warm one first.
			f.cold.add(earlier.Incarnation(), doubt{reason: FirstSeen, at: now})
			f.replace(known, *earlier)
			settled = append(settled, Replacement{Ended: known.engine, Engine: *earlier})
		}
	}
	return settled
}

// place notes that a member is the last one that was listed at its address; mu is held.
func (f *Fleet) place(placed *member) {
	f.placements++
	placed.placed = f.placements
}

// add lists a member under the service of its engine; mu is held.
func (f *Fleet) add(added *member) {
	engine := added.engine
	f.members[engine.ID] = added
	f.byService[engine.Service] = insertOrdered(f.byService[engine.Service], engine.ID, strings.Compare)
}

// insertOrdered puts an ID into ordered ones, if it is not there. A list of E engines is read whole with
// E log E comparisons; sorting anew for each engine takes E times as many, seconds where there are 10,000.
func insertOrdered(ids []string, id string, compare func(a, b string) int) []string {
	place, found := slices.BinarySearchFunc(ids, id, compare)
	if found {
		return ids
	}
	return slices.Insert(ids, place, id)
}

// renew takes a further entry of a known incarnation; mu is held.
func (f *Fleet) renew(known *member, engine Engine) {
	engine.Versions = newest(known.engine.Versions, engine.Versions)
	if known.engine.Address != engine.Address {
		f.place(known)
	}
	moved := known.engine.Service != engine.Service
	if moved {
		f.unlist(known.engine)
	}
	known.engine, known.earlier = engine, nil
	if moved {
		f.add(known)
	}
}

// postpone keeps an entry of an earlier start. It waits from its first entry on.
func (m *member) postpone(engine Engine) {
	if m.earlier != nil && m.earlier.Born == engine.Born {
		engine.ReadAt = m.earlier.ReadAt
	}
	m.earlier = &engine
}

// replace ends an incarnation and begins another one; mu is held.
func (f *Fleet) replace(ended *member, engine Engine) {
	f.unlist(ended.engine)
	f.begin(&member{engine: engine, previous: ended.engine})
}

// begin lists an incarnation; mu is held.
func (f *Fleet) begin(started *member) {
	f.starts++
	f.place(started)
	f.add(started)
}

// Remove forgets an engine.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, found := f.members[id]; found {
		f.unlist(known.engine)
		delete(f.members, id)
	}
}

// unlist takes an engine out of its service; mu is held.
func (f *Fleet) unlist(engine Engine) {
	ids := f.byService[engine.Service]
	if place, found := slices.BinarySearch(ids, engine.ID); found {
		f.byService[engine.Service] = slices.Delete(ids, place, place+1)
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

// Starts returns how many incarnations have been listed so far. As long as it stays, none has taken the
// place of another one, so that whoever has work at engines need not ask after each of them.
func (f *Fleet) Starts() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Listing is what the list says of one incarnation of an engine.
type Listing struct {
	// Listed: it has an entry.
	Listed bool
	// Replaced: another incarnation has the entry of its ID, or another engine its address.
	Replaced bool
	// Draining: it had said that it leaves.
	Draining bool
}

// Listing returns what the list says of an engine that was asked.
func (f *Fleet) Listing(of Engine) Listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.members[of.ID]
	switch {
	case !found:
		return Listing{}
	case known.engine.Born == of.Born:
		return Listing{Listed: true, Replaced: f.addressTaken(of, known.placed), Draining: known.engine.Draining}
	case known.previous.ID == "":
		// Its entry went before this one came, so that nothing is known of its end.
		return Listing{}
	default:
		leaving := known.previous.Incarnation() == of.Incarnation() && known.previous.Draining
		return Listing{Replaced: true, Draining: leaving}
	}
}

// addressTaken tells whether an engine under another ID, of whatever service, was listed at the address since
// this one was. An entry from before may be of an engine that has ended: it stays for seconds. mu is held.
func (f *Fleet) addressTaken(of Engine, since int64) bool {
	for id, each := range f.members {
		if id != of.ID && each.engine.Address == of.Address && each.placed > since {
			return true
		}
	}
	return false
}

// Followed tells whether another incarnation has taken the place of this one.
func (f *Fleet) Followed(of incarnation.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.members[of.Engine]
	return found && known.engine.Born != of.Born
}
