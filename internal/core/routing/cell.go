package routing

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// Cell is this node's view of a cell: the last digest from its dispatcher and
// the local submissions since then.
type Cell struct {
	Digest *message.CellDigest
	// Pending counts the submissions that this node sent to the cell after the
	// digest arrived.
	Pending int
	// Age is the time since this node first received the digest.
	Age time.Duration
}

// Free returns the number of batch slots not occupied; negative if requests are
// queued.
func (c *Cell) Free() int {
	return c.Digest.Slots - c.Occupied()
}

// Occupied returns the number of requests running, queued or in transit to the
// cell.
func (c *Cell) Occupied() int {
	return c.Digest.Running + c.Digest.Queued + c.Pending
}

// Load returns the ratio of Occupied to the slots; 1 means full. A cell without
// slots counts as having one.
func (c *Cell) Load() float64 {
	return float64(c.Occupied()) / float64(max(c.Digest.Slots, 1))
}
