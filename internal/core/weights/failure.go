package weights

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

const (
	// firstDelay is how long a cell with a failed load may not load again; it
	// doubles with each further failure up to longestDelay.
	firstDelay   = time.Second
	longestDelay = time.Minute
	// stallPatience is how long a cell may leave its allotment unused before
	// others get it for a while, as when its engines can't be reached.
	stallPatience = 10 * time.Second
)

// failure is the back-off of one cell.
type failure struct {
	// broken and atVersion are the counts last seen.
	broken, atVersion int
	delay             time.Duration
	until             time.Time
	// idleSince is when the cell was first seen to leave its allotment unused.
	idleSince time.Time
}

// backOff keeps the cell from loads, for longer with each time in a row.
func (f *failure) backOff(now time.Time) {
	f.delay = min(max(firstDelay, 2*f.delay), longestDelay)
	f.until = now.Add(f.delay)
	f.idleSince = time.Time{}
}

// stalled reports whether the cell, which made no progress since it was last
// seen, has left its allotment unused for too long.
func (f *failure) stalled(now time.Time, cell Cell) bool {
	if cell.Granted == 0 || cell.Loading > 0 {
		f.idleSince = time.Time{}
		return false
	}
	if f.idleSince.IsZero() {
		f.idleSince = now
	}
	return now.Sub(f.idleSince) >= stallPatience
}

// observe learns of failed, finished and stalled loads, and forgets cells that are gone.
func (p *Planner) observe(now time.Time, cells []Cell) {
	seen := make(map[message.CellID]failure, len(cells))
	for _, cell := range cells {
		known := p.failures[cell.ID]
		switch {
		case cell.Broken > known.broken:
			known.backOff(now)
		case cell.AtVersion > known.atVersion:
			known = failure{}
		case known.stalled(now, cell):
			known.backOff(now)
		}
		known.broken = cell.Broken
		known.atVersion = cell.AtVersion
		seen[cell.ID] = known
	}
	p.failures = seen
}

// waits reports whether the cell must not load yet.
func (p *Planner) waits(now time.Time, cell message.CellID) bool {
	return now.Before(p.failures[cell].until)
}
