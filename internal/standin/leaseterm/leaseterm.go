// Package leaseterm stands in for a time of leading, which a test ends, holds back and watches.
package leaseterm

import (
	"context"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// Term is a time of leading that is valid until it is ended. It implements lease.Term.
type Term struct {
	// Quiet, if set, gives the time before which a subject may not be ordered.
	Quiet func(subject string) time.Time
	// Refuses, if set, decides whether the log does not take the record of an order.
	Refuses func(subject string) error

	mu        sync.Mutex
	over      bool
	closed    bool
	permitted []string
}

var _ lease.Term = (*Term)(nil)

// Valid implements lease.Term.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.over
}

// QuietUntil implements lease.Term.
func (t *Term) QuietUntil(subject string) time.Time {
	if t.Quiet == nil {
		return time.Time{}
	}
	return t.Quiet(subject)
}

// Permit implements lease.Term.
func (t *Term) Permit(_ context.Context, subject string) (lease.Permit, error) {
	if t.Refuses != nil {
		if err := t.Refuses(subject); err != nil {
			return nil, err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.permitted = append(t.permitted, subject)
	return permit{t}, nil
}

// permit is open while its term is valid and its permits are not closed.
type permit struct{ term *Term }

// Open implements lease.Permit.
func (p permit) Open() bool {
	p.term.mu.Lock()
	defer p.term.mu.Unlock()
	return !p.term.over && !p.term.closed
}

// permitTime is how long the bound of a permit lasts: as that of a real one.
const permitTime = time.Second

// Bound implements lease.Permit.
func (p permit) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, permitTime)
}

// SetOver ends the term, or begins it again.
func (t *Term) SetOver(over bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = over
}

// ClosePermits has each permit, also the next ones, end before its order leaves.
func (t *Term) ClosePermits(closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = closed
}

// Permitted returns the subjects of all permits so far.
func (t *Term) Permitted() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.permitted...)
}
