// Package topology maps zones to regions and defines the network distance between locations.
package topology

import "time"

// Map maps zones to regions. It is immutable.
type Map struct {
	regions map[string]string
}

// NewMap returns a map of the given regions by zone and the node's own zone, which takes precedence.
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

// HasRegion reports whether the map contains a zone of the region.
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

// Distance is the network distance between two places, from SameZone to OtherRegion.
type Distance uint8

// Distances, from nearest to farthest.
const (
	SameZone Distance = iota
	SameRegion
	// OtherRegion also applies to different zones if a region is unknown.
	OtherRegion

	distanceCount
)

var distanceNames = [distanceCount]string{
	SameZone: "same_zone", SameRegion: "same_region", OtherRegion: "other_region",
}

// String returns the name of the distance, for logs and metrics.
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

// roundTrips holds typical round-trip times; that of OtherRegion applies to regions on one continent.
var roundTrips = [distanceCount]time.Duration{
	SameZone:    400 * time.Microsecond,
	SameRegion:  time.Millisecond,
	OtherRegion: 24 * time.Millisecond,
}

// RoundTrip returns the typical round-trip time.
func (d Distance) RoundTrip() time.Duration { return roundTrips[d] }
