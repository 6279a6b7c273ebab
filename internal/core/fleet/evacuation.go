package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Hold is why an engine is currently sent no new requests.
type Hold uint8

// Reasons for a hold.
const (
	// NotHeld: the engine may be sent requests.
	NotHeld Hold = iota
	// HeldDraining: the engine is draining.
	HeldDraining
	// HeldEvacuated: an operator evacuated its zone.
	HeldEvacuated
	// HeldGone: this incarnation is no longer listed.
	HeldGone
	// HeldUnknown: this process was paused, so its evacuation and engine state is stale and is being read again.
	HeldUnknown
	// HeldWithoutPermit: the engine is cold, and the request has no valid permit.
	HeldWithoutPermit
)

var holdNames = [...]string{
	NotHeld: "none", HeldDraining: "draining", HeldEvacuated: "evacuated", HeldGone: "gone", HeldUnknown: "unknown",
	HeldWithoutPermit: "paced",
}

// String returns the reason's name in logs and metrics.
func (h Hold) String() string { return holdNames[h] }

func Holds() []Hold {
	return []Hold{HeldDraining, HeldEvacuated, HeldGone, HeldUnknown, HeldWithoutPermit}
}

// zoneState is the newest evacuation state of a zone.
type zoneState struct {
	evacuated bool
	// since is when the state took effect in this process, offset the offset of its record in the log.
	since  time.Time
	offset int64
}

// Evacuate stops new requests to the engines of a zone, including engines listed later. It reports whether
// the zone was not evacuated before.
func (f *Fleet) Evacuate(zone string, now time.Time, offset int64) bool {
	return f.setZone(zone, zoneState{evacuated: true, since: now, offset: offset})
}

// EndEvacuation ends the evacuation of a zone. It reports whether the zone was evacuated.
func (f *Fleet) EndEvacuation(zone string, now time.Time, offset int64) bool {
	return f.setZone(zone, zoneState{since: now, offset: offset})
}

func (f *Fleet) setZone(zone string, state zoneState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.zones[zone]
	if current.evacuated == state.evacuated {
		if current.evacuated {
			current.offset = state.offset
			f.zones[zone] = current
		}
		return false
	}
	f.zones[zone] = state
	return true
}

func (f *Fleet) IsEvacuated(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones[zone].evacuated
}

// EvacuatedZones returns the evacuated zones, sorted.
func (f *Fleet) EvacuatedZones() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var zones []string
	for zone, state := range f.zones {
		if state.evacuated {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Hold returns why an incarnation may not be sent new requests, or NotHeld. Callers check it when choosing an
// engine and again right before sending.
func (f *Fleet) Hold(id incarnation.ID) Hold {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.lookUp(id)
	if !found {
		return HeldGone
	}
	return f.hold(m.engine)
}

// hold returns the hold of a listed engine. Must be called with mu held.
func (f *Fleet) hold(engine Engine) Hold {
	switch {
	case engine.Draining:
		return HeldDraining
	case f.zones[engine.Zone].evacuated:
		return HeldEvacuated
	default:
		return NotHeld
	}
}

// CountEvacuated returns the number of a service's engines that are held by an evacuation.
func (f *Fleet) CountEvacuated(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, id := range f.byService[service] {
		if f.hold(f.members[id].engine) == HeldEvacuated {
			count++
		}
	}
	return count
}

// Zone is the state of one zone.
type Zone struct {
	Name      string
	Evacuated bool
	// Since is when the newest evacuation state took effect in this process, and Offset the offset of its record in
	// the log; both are zero if the zone was never evacuated.
	Since  time.Time
	Offset int64
	// Engines is the number of engines listed in the zone, InFlight the number of this process's requests at them.
	Engines  int
	InFlight int
	// Incarnations are the IDs of the engines listed in the zone.
	Incarnations []incarnation.ID
}

// Zones returns all zones that have engines or an evacuation state, sorted by name.
func (f *Fleet) Zones() []Zone {
	f.mu.Lock()
	defer f.mu.Unlock()
	byName := make(map[string]*Zone)
	zone := func(name string) *Zone {
		if byName[name] == nil {
			byName[name] = &Zone{Name: name}
		}
		return byName[name]
	}
	for name, state := range f.zones {
		entry := zone(name)
		entry.Evacuated, entry.Since, entry.Offset = state.evacuated, state.since, state.offset
	}
	for _, m := range f.members {
		entry := zone(m.engine.Zone)
		entry.Engines++
		entry.InFlight += m.inFlight
		entry.Incarnations = append(entry.Incarnations, m.engine.Incarnation())
	}
	zones := make([]Zone, 0, len(byName))
	for _, entry := range byName {
		zones = append(zones, *entry)
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// maxZoneName is the maximum length of a zone name, in bytes.
const maxZoneName = 128

// ZoneNameError is returned for an invalid zone name.
type ZoneNameError struct {
	Name   string
	Reason string
}

// Error implements the error interface. Long names are truncated.
func (e *ZoneNameError) Error() string {
	return fmt.Sprintf("%.*q names no zone: %s", maxZoneName, e.Name, e.Reason)
}

// CheckZoneName returns a *ZoneNameError if the name is not a valid zone name.
func CheckZoneName(name string) error {
	switch {
	case name == "":
		return &ZoneNameError{Name: name, Reason: "it is empty"}
	case len(name) > maxZoneName:
		return &ZoneNameError{Name: name, Reason: fmt.Sprintf("it has %d bytes, at most %d", len(name), maxZoneName)}
	case !utf8.ValidString(name):
		return &ZoneNameError{Name: name, Reason: "it is not valid UTF-8"}
	case strings.ContainsFunc(name, func(r rune) bool { return r == '/' || !unicode.IsGraphic(r) || unicode.IsSpace(r) }):
		return &ZoneNameError{Name: name, Reason: "it has a slash, white space or a non-printable character"}
	default:
		return nil
	}
}
