// Package duties makes the calls to the platform that one node at a time may make: it
// reports the tenants' use and orders engines. Both ride the leader's lease: the epoch is
// the fencing token, and a call follows only after the log says that it may come.
package duties

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/usage"
)

// Holder says who makes a call.
type Holder struct {
	// Node is the machine's name.
	Node string
	// Fence is the fencing token, which rises with each holder.
	Fence int64
	// MayLeave tells whether a call may still leave this node. It is asked right before
	// its bytes do, in any goroutine; nil sets no limit.
	MayLeave func() bool
}

// Answer is the platform's answer to a call.
type Answer uint8

// The answers.
const (
	// Unanswered: the call may be carried out now, later or never.
	Unanswered Answer = iota
	// Done: the call has its effect.
	Done
	// Conflict: a higher fencing token was seen, or there is nothing to be had.
	Conflict
	// NotDone: the call had no effect; another try may.
	NotDone
	// Refused: the platform cannot read the call, another try is of no use.
	Refused
)

var answerNames = [...]string{
	Unanswered: "unanswered", Done: "done", Conflict: "conflict", NotDone: "not_done", Refused: "refused",
}

// String returns the answer as it stands in logs.
func (a Answer) String() string { return answerNames[a] }

// EngineOrder sets the number of a service's engines in a zone.
type EngineOrder struct {
	Service string
	Zone    string
	Count   int
	// Preemptible engines cost less and may be taken away; they are counted apart.
	Preemptible bool
}

// Platform takes the calls. An error tells why an answer is not Done.
type Platform interface {
	ReportUsage(ctx context.Context, holder Holder, window usage.Window, counts usage.Counts) (Answer, error)
	OrderEngines(ctx context.Context, holder Holder, order EngineOrder) (Answer, error)
}

// caller makes calls under a term.
type caller struct {
	term   lease.Term
	holder Holder
}

// call makes a call about a subject if this node may, and returns NotDone if not.
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
	if !permit.Open() || ctx.Err() != nil {
		return NotDone, ctx.Err()
	}
	holder := c.holder
	holder.MayLeave = permit.Open
	calling, cancel := permit.Bound(ctx)
	defer cancel()
	return call(calling, holder)
}
