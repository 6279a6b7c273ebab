package router

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// refusals collects the refusals of the cells that did not run a request.
type refusals struct {
	last *errkind.Error
	// minDelay is the shortest retry delay of any refusal.
	minDelay time.Duration
	// handover is set if the ownership of a refusing cell is changing.
	handover bool
}

func (r *refusals) add(err error, outcome attemptOutcome) {
	kindErr := toKindError(err)
	delay := kindErr.Delay()
	if r.last == nil || delay < r.minDelay {
		r.minDelay = delay
	}
	r.last = kindErr
	r.handover = r.handover || outcome == outcomeHandover
}

// finalError returns the last refusal with the shortest retry delay of all.
func (r *refusals) finalError() *errkind.Error {
	if r.last == nil {
		return errkind.New(errkind.NoCapacity, "no known cell can run the request")
	}
	return &errkind.Error{Kind: r.last.Kind, Message: r.last.Message, RetryAfter: r.minDelay}
}
