package routing

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// Eligible returns the cells that may run the request, in input order: matching
// pool, allowed zone, at least one engine in service with the model at
// MinVersion or later, and not excluded.
//
// Cells whose digest is older than staleAfter are returned only if no other cell
// is eligible: a late digest doesn't prove that the cell is down.
func Eligible(cells []Cell, query Query, staleAfter time.Duration) []*Cell {
	var fresh, stale []*Cell
	for index := range cells {
		cell := &cells[index]
		if !isEligible(cell.Digest, &query) {
			continue
		}
		if cell.Age > staleAfter {
			stale = append(stale, cell)
			continue
		}
		fresh = append(fresh, cell)
	}
	if len(fresh) > 0 {
		return fresh
	}
	return stale
}

func isEligible(digest *message.CellDigest, query *Query) bool {
	if digest.Cell.Pool != query.Pool || !query.allowsZone(digest.Cell.Zone) {
		return false
	}
	if _, excluded := query.Excluded[digest.Cell]; excluded {
		return false
	}
	return servesVersion(digest, query.Model, query.MinVersion)
}

func servesVersion(digest *message.CellDigest, model string, minVersion uint64) bool {
	for _, count := range digest.Models {
		if count.Model == model && count.Version >= minVersion && count.Engines > 0 {
			return true
		}
	}
	return false
}
