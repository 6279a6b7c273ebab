package ingress

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// ErrStopEnds is the cause with which the contexts of callers are canceled when a planned stop ends.
var ErrStopEnds = errors.New("the planned stop of the node ends")

// plannedStop holds the times of a planned stop, by the relay's clock.
type plannedStop struct {
	// selectiveFrom is when the relay begins to refuse requests that may not end in time, end when the last one must have
	// ended.
	selectiveFrom, end time.Time
}

// BeginStop makes the relay refuse, after a time, requests that may not end before the planned stop does.
func (r *Relay) BeginStop(selectiveAfter, endAfter time.Duration) {
	now := r.now()
	r.stop.Store(&plannedStop{selectiveFrom: now.Add(selectiveAfter), end: now.Add(endAfter)})
}

// stopFailure refuses a request that no engine has run yet if it may not end before a planned stop does. A request ends in
// time if its deadline is earlier, or if it may be repeated and there is time for one try.
func (x *exchange) stopFailure() *errkind.Error {
	stop := x.relay.stop.Load()
	if stop == nil || x.executions > 0 || x.status != 0 || !x.endsAt.After(stop.end) {
		return nil
	}
	now := x.relay.now()
	left := stop.end.Sub(now)
	if now.Before(stop.selectiveFrom) || x.route.Kind == routes.Safe && left >= x.tryTimeout() {
		return nil
	}
	failure := errkind.New(errkind.ShuttingDown, "this node stops in %s, before the request has surely ended", max(left, 0))
	failure.RetryAfter = refusalRetryAfter
	return failure
}

// remaining returns the time that is left for an engine: until the deadline, or until the end of a planned stop.
func (x *exchange) remaining() time.Duration {
	endsAt := x.endsAt
	if stop := x.relay.stop.Load(); stop != nil && stop.end.Before(endsAt) {
		endsAt = stop.end
	}
	return endsAt.Sub(x.relay.now())
}

// callerLeft reports whether the caller has disconnected.
func (x *exchange) callerLeft() bool {
	return x.callerCtx.Err() != nil && !x.stopEnded()
}

// stopEnded reports whether the request was ended by the end of a planned stop.
func (x *exchange) stopEnded() bool { return errors.Is(context.Cause(x.callerCtx), ErrStopEnds) }
