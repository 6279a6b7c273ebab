package routing

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// AvoidList remembers for a while which cells cannot take a service's requests
// for a reason that their digests do not show, such as the cell's part of the
// service's cap. It is a hint: when no other cell is left, the avoided ones are
// tried after all. It is not safe for concurrent use.
type AvoidList struct {
	until map[avoided]time.Time
}

type avoided struct {
	service string
	cell    message.CellID
}

// NewAvoidList returns an empty list.
func NewAvoidList() *AvoidList {
	return &AvoidList{until: make(map[avoided]time.Time)}
}

// Add avoids the cell for the service's requests until the time.
func (a *AvoidList) Add(service string, cell message.CellID, until time.Time) {
	a.until[avoided{service: service, cell: cell}] = until
}

// Cells returns the cells to avoid now, as a new set, and forgets old entries.
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
