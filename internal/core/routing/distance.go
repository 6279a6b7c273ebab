package routing

// Distance is how far a zone is from this node.
type Distance uint8

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	Elsewhere
	distanceCount
)

// Locality is where this node stands.
type Locality struct {
	Zone   string
	Region string
	// Regions maps the known zones to their regions. A zone that is missing
	// counts as being in another region.
	Regions map[string]string
}

// Distance returns how far the zone is.
func (l *Locality) Distance(zone string) Distance {
	if zone == l.Zone {
		return SameZone
	}
	region, known := l.Regions[zone]
	if known && region == l.Region {
		return SameRegion
	}
	return Elsewhere
}

// Nearest returns the cells of the nearest distance at which at least one cell
// has a free slot, or all cells when none has one.
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
	SameZone:   "zone",
	SameRegion: "region",
	Elsewhere:  "elsewhere",
}

// String returns the distance's name for logs and metrics.
func (d Distance) String() string { return distanceNames[d] }
