package lease

import (
	"context"
	"time"
)

// InFlight bounds the transit time of an order's bytes. The adapter's sockets drop bytes that are
// unacknowledged for this time, senders reset connections that a middlebox holds, and the next
// holder waits for it.
const InFlight = 500 * time.Millisecond

// Permit allows one order, or one call to the platform, within a short window.
type Permit interface {
	// Open reports whether the order may still be sent. It is checked right before the bytes are
	// written: dialing, scheduling, or a pause of the whole machine may have taken time since the
	// permit was granted.
	Open() bool
	// Bound returns a context that ends when the order may no longer arrive. The sender must then
	// drop the bytes in transit, since the next holder waits no longer than that.
	Bound(ctx context.Context) (context.Context, context.CancelFunc)
}

// Term is one term of leadership.
type Term interface {
	// Valid reports whether this node leads, as far as it knows.
	Valid() bool
	// QuietUntil returns the time, by time.Now, before which the subject must not be ordered or
	// called about, since another holder may recently have done so.
	QuietUntil(subject string) time.Time
	// Permit announces an order about the subject in the log and returns the permission to send
	// it. It fails if this node does not lead or the quiet time is not over.
	Permit(ctx context.Context, subject string) (Permit, error)
}
