package routing

const (
	// A farther cell is preferred only if its free share of slots exceeds that
	// of a nearer cell by more than the penalty.
	sameRegionPenalty  = 0.05
	otherRegionPenalty = 0.25
)

var distancePenalty = [distanceCount]float64{
	SameZone:    0,
	SameRegion:  sameRegionPenalty,
	OtherRegion: otherRegionPenalty,
}

// Score rates an eligible cell; higher is better. It is the free share of the
// slots (1 idle, 0 full, negative if requests are queued) minus a distance penalty.
func Score(cell *Cell, locality *Locality) float64 {
	return 1 - cell.Load() - distancePenalty[locality.Distance(cell.Digest.Cell.Zone)]
}
