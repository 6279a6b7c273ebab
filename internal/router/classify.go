package router

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/answer"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// verdict is what an error of one answer stream means for the request.
type verdict uint8

const (
	// verdictDone: the answer is whole.
	verdictDone verdict = iota
	// verdictFail: the error is the request's answer.
	verdictFail
	// verdictElsewhere: the cell did not run the request; another may.
	verdictElsewhere
	// verdictHandover is verdictElsewhere for a dispatcher that is gone or no
	// longer the cell's owner: the cell itself may take the request soon.
	verdictHandover
	// verdictReattach: the stream broke; the dispatcher may still run the request.
	verdictReattach
	// verdictLost: the dispatcher no longer has the request, which may have run.
	verdictLost
)

// consumerError carries an error of the caller's onPiece.
type consumerError struct{ err error }

func (e *consumerError) Error() string { return e.err.Error() }
func (e *consumerError) Unwrap() error { return e.err }

var (
	// errUnfinished is a stream that ended cleanly before the answer was whole.
	errUnfinished = errors.New("router: answer stream ended before the answer was whole")
	// errDispatcherGone is the end of a stream whose dispatcher left the members.
	errDispatcherGone = errors.New("router: the dispatcher is no longer a member")
)

// classify judges the error of a stream. attached tells that the stream was
// opened by attaching, delivered that the attempt brought tokens: in both cases
// a refusal can no longer mean that the request did not run, but for an
// attached one that its dispatcher's queue gave up.
func classify(err error, attached, delivered bool) verdict {
	var consumer *consumerError
	if errors.As(err, &consumer) {
		return verdictFail
	}
	var known *errkind.Error
	if errors.As(err, &known) {
		return classifyKind(known.Kind, delivered || (attached && !endedInQueue(known.Kind)))
	}
	var delivery *peer.DeliveryError
	if errors.As(err, &delivery) && !delivery.Sent && !attached {
		return verdictHandover
	}
	if isFaultyAnswer(err) {
		return verdictLost
	}
	return verdictReattach
}

func classifyKind(kind errkind.Kind, begun bool) verdict {
	switch kind {
	case errkind.QueueFull, errkind.CapReached, errkind.EngineRefused, errkind.NoCapacity:
		return unlessBegun(verdictElsewhere, begun)
	case errkind.Draining, errkind.NotOwner, errkind.ShuttingDown, errkind.NotReady, errkind.NotCurrent:
		return unlessBegun(verdictHandover, begun)
	case errkind.NotFound, errkind.QueueTimeout:
		return unlessBegun(verdictFail, begun)
	case errkind.EngineFailed, errkind.OutcomeUnknown, errkind.Internal, errkind.Canceled:
		return verdictLost
	default:
		return verdictFail
	}
}

// endedInQueue reports a kind with which only a dispatcher's own record of the
// attempt ends, and only while no engine had any part of it. A node that knows
// nothing of the attempt answers with other kinds, so even after a broken
// stream this one tells that the attempt did not run.
func endedInQueue(kind errkind.Kind) bool {
	switch kind {
	case errkind.QueueTimeout, errkind.QueueFull, errkind.CapReached, errkind.EngineRefused, errkind.Draining:
		return true
	default:
		return false
	}
}

func unlessBegun(refusal verdict, begun bool) verdict {
	if begun {
		return verdictLost
	}
	return refusal
}

// isFaultyAnswer reports an answer that another attach would only repeat.
func isFaultyAnswer(err error) bool {
	var short *answer.ShortError
	return errors.As(err, &short) ||
		errors.Is(err, answer.ErrUnnamedVersion) ||
		errors.Is(err, answer.ErrNegativeIndex)
}

// truthful returns the error for the caller. Once an attempt may have run, no
// answer says that the request did not run.
func truthful(err error, mayHaveRun, repeatable bool) *errkind.Error {
	known := asKind(err)
	if !mayHaveRun || known.Kind.Answer().Execution != errkind.NotExecuted {
		return known
	}
	kind := errkind.OutcomeUnknown
	if repeatable {
		kind = errkind.EngineFailed
	}
	return errkind.New(kind, "an attempt of the request was lost part-way and it could not be continued: %s", known.Message)
}

// asKind gives errors of the transport and of the caller a kind.
func asKind(err error) *errkind.Error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	var consumer *consumerError
	if errors.As(err, &consumer) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return errkind.New(errkind.Canceled, "request canceled: %v", err)
	}
	var delivery *peer.DeliveryError
	if errors.As(err, &delivery) && !delivery.Sent {
		return errkind.New(errkind.NoCapacity, "no dispatcher could be reached: %v", delivery.Err)
	}
	if errors.As(err, &delivery) || errors.Is(err, errUnfinished) || errors.Is(err, errDispatcherGone) {
		return errkind.New(errkind.OutcomeUnknown, "the answer stream broke: %v", err)
	}
	return errkind.New(errkind.EngineFailed, "%v", err)
}
