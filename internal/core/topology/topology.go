// Package topology maps zones to regions and defines distances between places. It has no input, output
// or clock.
package topology

import "time"

// Map holds the region of each zone. It is immutable.
type Map struct {
	regions map[string]string
}

// NewMap returns a map with the given regions and the node's own zone.
func NewMap(regions map[string]string, ownZone, ownRegion string) *Map {
	known := make(map[string]string, len(regions)+1)
	for zone, region := range regions {
		known[zone] = region
	}
	known[ownZone] = ownRegion
	return &Map{regions: known}
}

// Region returns the region of a zone; empty if unknown.
func (m *Map) Region(zone string) string { return m.regions[zone] }

// HasRegion reports whether the region has a zone.
func (m *Map) HasRegion(region string) bool {
	for _, each := range m.regions {
		if each == region {
			return true
		}
	}
	return false
}

// Place is the location of a machine.
type Place struct {
	Zone string
	// Region is empty if unknown.
	Region string
}

// Distance is the network distance of two places.
type Distance uint8

// The distances, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	// OtherRegion includes places in unknown regions.
	OtherRegion

	distances
)

var distanceNames = [distances]string{
	SameZone: "same_zone", SameRegion: "same_region", OtherRegion: "other_region",
}

// String returns the distance's name in logs and metrics.
func (d Distance) String() string { return distanceNames[d] }

// Between returns the distance between two places.
func Between(a, b Place) Distance {
	switch {
	case a.Zone == b.Zone:
		return SameZone
	case a.Region == b.Region && a.Region != "":
		return SameRegion
	default:
		return OtherRegion
	}
}

// roundTrips are typical round-trip times within a zone, between the zones of a region, and between regions
// of a continent.
var roundTrips = [distances]time.Duration{
	SameZone:    400 * time.Microsecond,
	SameRegion:  time.Millisecond,
	OtherRegion: 24 * time.Millisecond,
}

// RoundTrip returns the expected round-trip time.
func (d Distance) RoundTrip() time.Duration { return roundTrips[d] }
