package lease

import (
	"context"
	"time"
)

// MaxTransitTime bounds the transit time of an order. Sockets drop bytes that are unacknowledged for this
// time, senders reset connections that a middlebox delays, and the next holder waits this long.
const MaxTransitTime = 500 * time.Millisecond

// Permit allows one order to be sent within a short time window.
type Permit interface {
	// Valid reports whether the order may still be sent. Check it right before writing the bytes: dialing,
	// scheduling or a pause of the machine may have taken time since the permit was granted.
	Valid() bool
	// WithDeadline returns a context that ends when the order may no longer arrive. The sender must then discard
	// the bytes in transit, since the next holder waits no longer.
	WithDeadline(ctx context.Context) (context.Context, context.CancelFunc)
}

// Term is one term of leadership. The subject of an order identifies its target, such as an engine ID. Quiet
// periods are kept per subject.
type Term interface {
	// Valid reports whether this node is the leader, as far as it knows.
	Valid() bool
	// QuietUntil returns the time, on the clock of time.Now, before which no order about the subject may be
	// sent, since another holder may recently have sent one.
	QuietUntil(subject string) time.Time
	// Permit announces an order about the subject in the log and returns the permission to send it. It fails
	// if this node is not the leader or the quiet period is not over.
	Permit(ctx context.Context, subject string) (Permit, error)
}
