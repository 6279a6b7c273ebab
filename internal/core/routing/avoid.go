package routing

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// AvoidList is a temporary deny list of cells per service, for refusals that
// digests cannot predict, such as one because the cell has used its share of the
// service's cap. It is advisory: avoided cells are tried if no other cell is
// left. It is not safe for concurrent use.
type AvoidList struct {
	until map[avoidKey]time.Time
}

type avoidKey struct {
	service string
	cell    message.CellID
}

func NewAvoidList() *AvoidList {
	return &AvoidList{until: make(map[avoidKey]time.Time)}
}

// Add excludes the cell for the service's requests until the given time.
func (a *AvoidList) Add(service string, cell message.CellID, until time.Time) {
	a.until[avoidKey{service: service, cell: cell}] = until
}

// Cells returns the set of cells that the service avoids at time now and removes
// expired entries.
func (a *AvoidList) Cells(service string, now time.Time) map[message.CellID]struct{} {
	cells := make(map[message.CellID]struct{})
	for entry, until := range a.until {
		if !now.Before(until) {
			delete(a.until, entry)
			continue
		}
		if entry.service == service {
			cells[entry.cell] = struct{}{}
		}
	}
	return cells
}
