package routing

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// Cell is one cell as this node knows it: the last digest of its dispatcher
// and what happened here since.
type Cell struct {
	Digest *message.CellDigest
	// Pending counts the submissions that this node sent to the cell after the
	// digest arrived, which the digest therefore does not count.
	Pending int
	// Age is the time since this digest was first seen here.
	Age time.Duration
}

// Free returns the batch slots that are neither taken nor spoken for. It is
// negative when requests wait.
func (c *Cell) Free() int {
	return c.Digest.Slots - c.Occupied()
}

// Occupied returns the requests that run, wait or are under way to the cell.
func (c *Cell) Occupied() int {
	return c.Digest.Running + c.Digest.Queued + c.Pending
}

// Load returns Occupied as a share of the slots: 1 means full. A cell without
// slots counts as having one.
func (c *Cell) Load() float64 {
	return float64(c.Occupied()) / float64(max(c.Digest.Slots, 1))
}
