// Package topology knows which zone lies in which region, and how far places are apart. It has no
// input, output or clock.
package topology

import "time"

// Map names the region of each zone. It is not changed once built.
type Map struct {
	regions map[string]string
}

// NewMap returns the map of a node that lies in a zone and region of its own.
func NewMap(regions map[string]string, ownZone, ownRegion string) *Map {
	known := make(map[string]string, len(regions)+1)
	for zone, region := range regions {
		known[zone] = region
	}
	known[ownZone] = ownRegion
	return &Map{regions: known}
}

// Region returns the region of a zone; empty where it is not known.
func (m *Map) Region(zone string) string { return m.regions[zone] }

// HasRegion tells whether a zone lies in the region.
func (m *Map) HasRegion(region string) bool {
	for _, each := range m.regions {
		if each == region {
			return true
		}
	}
	return false
}

// Place is where a machine stands.
type Place struct {
	Zone string
	// Region is empty where it is not known.
	Region string
}

// Distance says how far two places are apart.
type Distance uint8

// The distances, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	// OtherRegion holds for places of unknown regions as well.
	OtherRegion

	distances
)

var distanceNames = [distances]string{
	SameZone: "same_zone", SameRegion: "same_region", OtherRegion: "other_region",
}

// String returns the distance as it stands in logs and metrics.
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

// roundTrips are twice what packets usually need one way inside a zone (0.2 ms), between neighbouring data
// centres (0.5 ms), and between regions of a continent (12 ms, routers on the way included).
var roundTrips = [distances]time.Duration{
	SameZone:    400 * time.Microsecond,
	SameRegion:  time.Millisecond,
	OtherRegion: 24 * time.Millisecond,
}

// RoundTrip is the time that a question and its answer are expected to be on their way.
func (d Distance) RoundTrip() time.Duration { return roundTrips[d] }
