package router

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// refusals sums up the cells that did not run a request.
type refusals struct {
	last *errkind.Error
	// soonest is the shortest delay after which one of the cells may take the request.
	soonest time.Duration
	// handover is set when a refusing cell is changing hands.
	handover bool
}

func (r *refusals) add(err error, outcome verdict) {
	known := asKind(err)
	delay := known.Delay()
	if r.last == nil || delay < r.soonest {
		r.soonest = delay
	}
	r.last = known
	r.handover = r.handover || outcome == verdictHandover
}

// final returns the answer for a request that no cell took: the last refusal
// with the shortest delay that any cell named.
func (r *refusals) final() *errkind.Error {
	if r.last == nil {
		return errkind.New(errkind.NoCapacity, "no cell is known that may run the request")
	}
	return &errkind.Error{Kind: r.last.Kind, Message: r.last.Message, RetryAfter: r.soonest}
}
