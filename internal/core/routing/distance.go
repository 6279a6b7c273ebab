package routing

// Distance is the network distance between this node and a zone.
type Distance uint8

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	distanceCount
)

// Locality is the zone and region of this node.
type Locality struct {
	Zone   string
	Region string
	// Regions maps zones to regions. A missing zone counts as being in another
	// region.
	Regions map[string]string
}

func (l *Locality) Distance(zone string) Distance {
	if zone == l.Zone {
		return SameZone
	}
	region, known := l.Regions[zone]
	if known && region == l.Region {
		return SameRegion
	}
	return OtherRegion
}

// Nearest returns the cells at the smallest distance where at least one cell has
// a free slot, or all cells if none has a free slot.
func Nearest(cells []*Cell, locality *Locality) []*Cell {
	var tiers [distanceCount][]*Cell
	var hasFree [distanceCount]bool
	for _, cell := range cells {
		distance := locality.Distance(cell.Digest.Cell.Zone)
		tiers[distance] = append(tiers[distance], cell)
		hasFree[distance] = hasFree[distance] || cell.Free() > 0
	}
	for distance, free := range hasFree {
		if free {
			return tiers[distance]
		}
	}
	return cells
}

var distanceNames = [distanceCount]string{
	SameZone:    "zone",
	SameRegion:  "region",
	OtherRegion: "elsewhere",
}

// String returns the name used in logs and metrics.
func (d Distance) String() string { return distanceNames[d] }
