package routing

const (
	// regionPenalty and elsewherePenalty are the shares of a cell's slots that
	// must be free there beyond those of a nearer cell to make up for the way.
	regionPenalty    = 0.05
	elsewherePenalty = 0.25
)

var distancePenalty = [distanceCount]float64{
	SameZone:   0,
	SameRegion: regionPenalty,
	Elsewhere:  elsewherePenalty,
}

// Score rates a cell for a request that any of the cells may run; higher is
// better. It is the free share of the slots (1 idle, 0 full, below 0 when
// requests wait) less a penalty for distance.
func Score(cell *Cell, locality *Locality) float64 {
	return 1 - cell.Load() - distancePenalty[locality.Distance(cell.Digest.Cell.Zone)]
}
