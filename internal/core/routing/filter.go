package routing

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// Eligible returns the cells that may run the request, in the given order:
// right pool, allowed zone, an engine in service that holds the model at
// MinVersion or later, and not excluded.
//
// Cells whose digest is older than staleAfter are left out as long as a
// fresher one qualifies. When only stale ones do they are returned after all:
// a late digest is no proof that the cell is gone, and trying is cheap.
func Eligible(cells []Cell, query Query, staleAfter time.Duration) []*Cell {
	var fresh, stale []*Cell
	for index := range cells {
		cell := &cells[index]
		if !qualifies(cell.Digest, &query) {
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

func qualifies(digest *message.CellDigest, query *Query) bool {
	if digest.Cell.Pool != query.Pool || !query.allowsZone(digest.Cell.Zone) {
		return false
	}
	if _, excluded := query.Excluded[digest.Cell]; excluded {
		return false
	}
	return holdsVersion(digest, query.Model, query.MinVersion)
}

func holdsVersion(digest *message.CellDigest, model string, minVersion uint64) bool {
	for _, count := range digest.Models {
		if count.Model == model && count.Version >= minVersion && count.Engines > 0 {
			return true
		}
	}
	return false
}
