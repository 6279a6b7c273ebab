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

// Hold is why an engine may be sent nothing new at the moment.
type Hold uint8

// The reasons.
const (
	// NotHeld: the engine may be sent requests.
	NotHeld Hold = iota
	// HeldDraining: the engine has said that it leaves.
	HeldDraining
	// HeldEvacuated: an operator has its zone evacuated.
	HeldEvacuated
	// HeldGone: this incarnation of the engine is not listed any more.
	HeldGone
	// HeldUnknown: what this process knows of evacuations and engines is from before a standstill, and is read again
	// shortly.
	HeldUnknown
	// HeldPaced: the engine is cold, and there is no permit to send to it, or it has ended.
	HeldPaced
)

var holdNames = [...]string{
	NotHeld: "none", HeldDraining: "draining", HeldEvacuated: "evacuated", HeldGone: "gone", HeldUnknown: "unknown",
	HeldPaced: "paced",
}

// String returns the reason as it stands in logs and metrics.
func (h Hold) String() string { return holdNames[h] }

// Holds returns every reason for which an engine is sent nothing.
func Holds() []Hold { return []Hold{HeldDraining, HeldEvacuated, HeldGone, HeldUnknown, HeldPaced} }

// zoneState is what was last said of a zone's evacuation.
type zoneState struct {
	evacuated bool
	// since is when that came into force here, offset the place of its record in the log.
	since  time.Time
	offset int64
}

// Evacuate keeps new work from the engines of a zone, those that are listed later included. It
// tells whether that is new.
func (f *Fleet) Evacuate(zone string, now time.Time, offset int64) bool {
	return f.setZone(zone, zoneState{evacuated: true, since: now, offset: offset})
}

// TakeBack ends the evacuation of a zone. It tells whether there was one.
func (f *Fleet) TakeBack(zone string, now time.Time, offset int64) bool {
	return f.setZone(zone, zoneState{since: now, offset: offset})
}

func (f *Fleet) setZone(zone string, state zoneState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.zones[zone]
	if known.evacuated == state.evacuated {
		if known.evacuated {
			known.offset = state.offset
			f.zones[zone] = known
		}
		return false
	}
	f.zones[zone] = state
	return true
}

// IsEvacuated tells whether a zone is evacuated.
func (f *Fleet) IsEvacuated(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones[zone].evacuated
}

// EvacuatedZones returns the zones that are evacuated, in order.
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

// Hold tells why an incarnation of an engine may be sent nothing new; NotHeld when it may. It is asked when
// an engine is chosen, and once more right before the bytes of a request leave.
func (f *Fleet) Hold(of incarnation.ID) Hold {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(of)
	if !found {
		return HeldGone
	}
	return f.hold(known.engine)
}

// hold tells why an engine of the list is sent nothing new; mu is held.
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

// Evacuated returns how many engines of a service get no work because of an evacuation.
func (f *Fleet) Evacuated(service string) int {
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

// Zone is what is known of one zone.
type Zone struct {
	Name      string
	Evacuated bool
	// Since is when the evacuation came into force or was taken back here, and Offset the place of its
	// record in the log; both are zero where there never was one.
	Since  time.Time
	Offset int64
	// Engines is the number of engines listed there, InFlight that of this process's requests at them.
	Engines  int
	InFlight int
	// Incarnations are these engines.
	Incarnations []incarnation.ID
}

// Zones returns all zones that have engines or of which an evacuation is known, in order.
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
		known := zone(name)
		known.Evacuated, known.Since, known.Offset = state.evacuated, state.since, state.offset
	}
	for _, each := range f.members {
		known := zone(each.engine.Zone)
		known.Engines++
		known.InFlight += each.inFlight
		known.Incarnations = append(known.Incarnations, each.engine.Incarnation())
	}
	zones := make([]Zone, 0, len(byName))
	for _, known := range byName {
		zones = append(zones, *known)
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// maxZoneName bounds the name of a zone, in bytes.
const maxZoneName = 128

// ZoneNameError says that a text names no zone.
type ZoneNameError struct {
	Name   string
	Reason string
}

// Error implements the error interface. A long name stands in it in part.
func (e *ZoneNameError) Error() string {
	return fmt.Sprintf("%.*q names no zone: %s", maxZoneName, e.Name, e.Reason)
}

// CheckZoneName returns a *ZoneNameError for a text that no zone can have as its name.
func CheckZoneName(name string) error {
	switch {
	case name == "":
		return &ZoneNameError{Name: name, Reason: "it is empty"}
	case len(name) > maxZoneName:
		return &ZoneNameError{Name: name, Reason: fmt.Sprintf("it has %d bytes, at most %d", len(name), maxZoneName)}
	case !utf8.ValidString(name):
		return &ZoneNameError{Name: name, Reason: "it is not valid UTF-8"}
	case strings.ContainsFunc(name, func(r rune) bool { return r == '/' || !unicode.IsGraphic(r) || unicode.IsSpace(r) }):
		return &ZoneNameError{Name: name, Reason: "it has a slash, a blank or a sign that cannot be printed"}
	default:
		return nil
	}
}
