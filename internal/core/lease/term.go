package lease

import (
	"context"
	"time"
)

// InFlight is how long the bytes of an order that have left may be on their way. The adapter's sockets
// drop what nobody acknowledges for so long, senders reset what something between holds, and the
// next holder waits for it.
const InFlight = 500 * time.Millisecond

// Permit allows one order, or one call to the platform, for a short time.
type Permit interface {
	// Open tells whether the order may still leave this node. It is asked right before the bytes
	// do: between the permit and them may lie a connection to be made, the scheduler, or a pause
	// of the whole machine.
	Open() bool
	// Bound returns a context that ends when the order may no longer arrive. Whoever sends it drops
	// what is still on its way then: the next holder waits that long, and no longer.
	Bound(ctx context.Context) (context.Context, context.CancelFunc)
}

// Term is one time of leading: what its holder may do in it.
type Term interface {
	// Valid tells whether this node leads at this moment, as far as it knows.
	Valid() bool
	// QuietUntil is the time before which a subject may not be ordered, or called about, since
	// another holder may just have done so. It is a time of time.Now.
	QuietUntil(subject string) time.Time
	// Permit says in the log that an order about the subject may follow, and returns the leave to
	// send it. It fails where this node does not lead, or the quiet time is not over.
	Permit(ctx context.Context, subject string) (Permit, error)
}
