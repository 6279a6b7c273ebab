// Package duties makes the calls to the platform that are reserved to the leader: it reports the tenants' usage and
// orders engines. The leader's epoch is the fencing token of a call, and each call needs a permit from the log.
package duties

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/usage"
)

// Holder identifies the caller.
type Holder struct {
	// Node is the machine's name.
	Node string
	// Fence is the fencing token. It increases with each term.
	Fence int64
	// MaySend reports whether the call may still be sent. It is called right before the first byte is written, from
	// any goroutine; nil means always.
	MaySend func() bool
}

// Answer is the platform's answer to a call.
type Answer uint8

// The answers.
const (
	// Unanswered: the call may take effect now, later or never.
	Unanswered Answer = iota
	// Done: the call took effect.
	Done
	// Conflict: the platform has seen a higher fencing token, or lacks the capacity for the order.
	Conflict
	// NotDone: the call had no effect and may be retried.
	NotDone
	// Refused: the platform rejected the call as invalid; it must not be retried.
	Refused
)

var answerNames = [...]string{
	Unanswered: "unanswered", Done: "done", Conflict: "conflict", NotDone: "not_done", Refused: "refused",
}

// String returns the answer as logged.
func (a Answer) String() string { return answerNames[a] }

// EngineOrder sets the number of a service's engines in a zone.
type EngineOrder struct {
	Service string
	Zone    string
	Count   int
	// Preemptible engines cost less and may be reclaimed; they are counted separately.
	Preemptible bool
}

// Platform is the client of the platform. An error explains an answer other than Done.
type Platform interface {
	ReportUsage(ctx context.Context, holder Holder, window usage.Window, counts usage.Counts) (Answer, error)
	OrderEngines(ctx context.Context, holder Holder, order EngineOrder) (Answer, error)
}

// caller makes calls during a term.
type caller struct {
	term   lease.Term
	holder Holder
}

// call makes a call about a subject if a permit is granted. Otherwise, it returns NotDone.
func (c *caller) call(
	ctx context.Context, subject string, call func(context.Context, Holder) (Answer, error),
) (Answer, error) {
	if !c.term.Valid() || time.Now().Before(c.term.QuietUntil(subject)) {
		return NotDone, nil
	}
	permit, err := c.term.Permit(ctx, subject)
	if err != nil {
		return NotDone, err
	}
	if !permit.Valid() || ctx.Err() != nil {
		return NotDone, ctx.Err()
	}
	holder := c.holder
	holder.MaySend = permit.Valid
	callContext, cancel := permit.WithDeadline(ctx)
	defer cancel()
	return call(callContext, holder)
}
