package routing

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// Tracker records, per cell, when the last digest arrived and how many requests
// were submitted since. It is not safe for concurrent use.
type Tracker struct {
	cells map[message.CellID]*trackedCell
}

type trackedCell struct {
	node      string
	sequence  uint64
	firstSeen time.Time
	pending   int
}

func NewTracker() *Tracker {
	return &Tracker{cells: make(map[message.CellID]*trackedCell)}
}

// Update returns a Cell per current digest and drops the state of all other
// cells. The result references the digests.
func (t *Tracker) Update(digests []*message.CellDigest, now time.Time) []Cell {
	cells := make([]Cell, 0, len(digests))
	for _, digest := range digests {
		tracked := t.track(digest, now)
		cells = append(cells, Cell{
			Digest:  digest,
			Pending: tracked.pending,
			Age:     now.Sub(tracked.firstSeen),
		})
	}
	if len(t.cells) > len(digests) {
		t.removeMissing(digests)
	}
	return cells
}

// Submitted counts a submission to the cell as pending until its next digest.
func (t *Tracker) Submitted(cell message.CellID) {
	if tracked, known := t.cells[cell]; known {
		tracked.pending++
	}
}

// Refused removes a pending submission that the cell refused.
func (t *Tracker) Refused(cell message.CellID) {
	if tracked, known := t.cells[cell]; known && tracked.pending > 0 {
		tracked.pending--
	}
}

// track returns the entry of the digest's cell. A new digest resets the pending
// count, since the dispatcher's counts now include those requests.
func (t *Tracker) track(digest *message.CellDigest, now time.Time) *trackedCell {
	tracked, known := t.cells[digest.Cell]
	if !known {
		tracked = &trackedCell{node: digest.Node, sequence: digest.Sequence, firstSeen: now}
		t.cells[digest.Cell] = tracked
		return tracked
	}
	if tracked.node != digest.Node || tracked.sequence != digest.Sequence {
		tracked.node = digest.Node
		tracked.sequence = digest.Sequence
		tracked.firstSeen = now
		tracked.pending = 0
	}
	return tracked
}

func (t *Tracker) removeMissing(digests []*message.CellDigest) {
	present := make(map[message.CellID]struct{}, len(digests))
	for _, digest := range digests {
		present[digest.Cell] = struct{}{}
	}
	for cell := range t.cells {
		if _, found := present[cell]; !found {
			delete(t.cells, cell)
		}
	}
}
