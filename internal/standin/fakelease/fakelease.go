// Package fakelease implements lease.Term for tests, which control its validity and permits.
package fakelease

import (
	"context"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// Term is a lease term that is valid until SetEnded(true).
type Term struct {
	// QuietUntilFunc, if set, returns the time before which no order to a subject may be sent.
	QuietUntilFunc func(subject string) time.Time
	// PermitError, if set, returns the error with which a permit is refused.
	PermitError func(subject string) error

	mu            sync.Mutex
	ended         bool
	permitsClosed bool
	permitted     []string
}

var _ lease.Term = (*Term)(nil)

// Valid implements lease.Term.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended
}

// QuietUntil implements lease.Term.
func (t *Term) QuietUntil(subject string) time.Time {
	if t.QuietUntilFunc == nil {
		return time.Time{}
	}
	return t.QuietUntilFunc(subject)
}

// Permit implements lease.Term.
func (t *Term) Permit(_ context.Context, subject string) (lease.Permit, error) {
	if t.PermitError != nil {
		if err := t.PermitError(subject); err != nil {
			return nil, err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.permitted = append(t.permitted, subject)
	return permit{t}, nil
}

// permit is valid while its term is valid and permits are not closed.
type permit struct{ term *Term }

// Valid implements lease.Permit.
func (p permit) Valid() bool {
	p.term.mu.Lock()
	defer p.term.mu.Unlock()
	return !p.term.ended && !p.term.permitsClosed
}

// permitTimeout is the lifetime of the context that WithDeadline returns.
const permitTimeout = time.Second

// WithDeadline implements lease.Permit.
func (p permit) WithDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, permitTimeout)
}

// SetEnded ends the term, or makes it valid again.
func (t *Term) SetEnded(ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = ended
}

// SetPermitsClosed closes all permits, including future ones, or reopens them.
func (t *Term) SetPermitsClosed(closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.permitsClosed = closed
}

// Permitted returns the subjects of all permits granted so far.
func (t *Term) Permitted() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.permitted...)
}
