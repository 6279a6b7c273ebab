package weights

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

const (
	// The backoff of a cell doubles with each consecutive failure, from
	// minBackoff to maxBackoff.
	minBackoff = time.Second
	maxBackoff = time.Minute
	// stallTimeout is how long a cell may leave its allotment unused, for example
	// because its engines are unreachable, before it is given to other cells.
	stallTimeout = 10 * time.Second
)

// cellBackoff is the backoff state of one cell.
type cellBackoff struct {
	// broken and atVersion are the counts of the previous plan.
	broken, atVersion int
	delay             time.Duration
	until             time.Time
	// idleSince is when the cell was first observed with an unused allotment.
	idleSince time.Time
}

// extend starts a backoff twice as long as the previous one, up to maxBackoff.
func (b *cellBackoff) extend(now time.Time) {
	b.delay = min(max(minBackoff, 2*b.delay), maxBackoff)
	b.until = now.Add(b.delay)
	b.idleSince = time.Time{}
}

// stalled reports whether the cell has left its allotment unused for stallTimeout.
// It is called only if the cell made no progress since the previous plan.
func (b *cellBackoff) stalled(now time.Time, cell Cell) bool {
	if cell.Granted == 0 || cell.Loading > 0 {
		b.idleSince = time.Time{}
		return false
	}
	if b.idleSince.IsZero() {
		b.idleSince = now
	}
	return now.Sub(b.idleSince) >= stallTimeout
}

// observe updates the backoffs from the cells' counts and drops those of cells
// that no longer exist.
func (p *Planner) observe(now time.Time, cells []Cell) {
	updated := make(map[message.CellID]cellBackoff, len(cells))
	for _, cell := range cells {
		backoff := p.backoffs[cell.ID]
		switch {
		case cell.Broken > backoff.broken:
			backoff.extend(now)
		case cell.AtVersion > backoff.atVersion:
			backoff = cellBackoff{}
		case backoff.stalled(now, cell):
			backoff.extend(now)
		}
		backoff.broken = cell.Broken
		backoff.atVersion = cell.AtVersion
		updated[cell.ID] = backoff
	}
	p.backoffs = updated
}

func (p *Planner) backingOff(now time.Time, cell message.CellID) bool {
	return now.Before(p.backoffs[cell].until)
}
