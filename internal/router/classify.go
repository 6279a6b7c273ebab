package router

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/answer"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// attemptOutcome is what the error of an answer stream means for the request.
type attemptOutcome uint8

const (
	// outcomeDone: the answer is complete.
	outcomeDone attemptOutcome = iota
	// outcomeFailed: the error is returned to the caller.
	outcomeFailed
	// outcomeRetryElsewhere: the cell did not run the request; another cell may.
	outcomeRetryElsewhere
	// outcomeHandover: as outcomeRetryElsewhere, but the dispatcher has stopped or no longer owns the
	// cell, so the same cell may accept the request soon.
	outcomeHandover
	// outcomeReattach: the stream broke; the dispatcher may still be running the request.
	outcomeReattach
	// outcomeLost: the dispatcher no longer has the request, which may have run.
	outcomeLost
)

// consumerError wraps an error returned by onPiece, or the end of the request context.
type consumerError struct{ err error }

func (e *consumerError) Error() string { return e.err.Error() }
func (e *consumerError) Unwrap() error { return e.err }

var (
	// errIncompleteAnswer: the stream ended cleanly before the answer was complete.
	errIncompleteAnswer = errors.New("router: answer stream ended before the answer was complete")
	// errDispatcherNotMember: the dispatcher of the stream is no longer a cluster member.
	errDispatcherNotMember = errors.New("router: the dispatcher is no longer a member")
)

// classify maps the error of a stream to an outcome. attached is set for streams opened by attaching,
// delivered if the attempt produced tokens. In both cases a refusal no longer proves that the request
// did not run, unless an attached stream fails with a kind that endedInQueue accepts.
func classify(err error, attached, delivered bool) attemptOutcome {
	var consumer *consumerError
	if errors.As(err, &consumer) {
		return outcomeFailed
	}
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		return classifyKind(kindErr.Kind, delivered || (attached && !endedInQueue(kindErr.Kind)))
	}
	var delivery *peer.DeliveryError
	if errors.As(err, &delivery) && !delivery.Sent && !attached {
		return outcomeHandover
	}
	if isMalformedAnswer(err) {
		return outcomeLost
	}
	return outcomeReattach
}

func classifyKind(kind errkind.Kind, started bool) attemptOutcome {
	switch kind {
	case errkind.QueueFull, errkind.CapReached, errkind.EngineRefused, errkind.NoCapacity:
		return unlessStarted(outcomeRetryElsewhere, started)
	case errkind.Draining, errkind.NotOwner, errkind.ShuttingDown, errkind.NotReady, errkind.NotCurrent:
		return unlessStarted(outcomeHandover, started)
	case errkind.NotFound, errkind.QueueTimeout:
		return unlessStarted(outcomeFailed, started)
	case errkind.EngineFailed, errkind.OutcomeUnknown, errkind.Internal, errkind.Canceled:
		return outcomeLost
	default:
		return outcomeFailed
	}
}

// endedInQueue reports whether an attempt that ends with this kind never left its dispatcher's queue.
// Nodes without a record of the attempt answer with other kinds, so the kind proves that the attempt
// did not run even after a broken stream.
func endedInQueue(kind errkind.Kind) bool {
	switch kind {
	case errkind.QueueTimeout, errkind.QueueFull, errkind.CapReached, errkind.EngineRefused, errkind.Draining:
		return true
	default:
		return false
	}
}

func unlessStarted(refusal attemptOutcome, started bool) attemptOutcome {
	if started {
		return outcomeLost
	}
	return refusal
}

// isMalformedAnswer reports whether err is a fault in the answer itself, which attaching again would
// repeat.
func isMalformedAnswer(err error) bool {
	var short *answer.ShortError
	return errors.As(err, &short) ||
		errors.Is(err, answer.ErrMissingVersion) ||
		errors.Is(err, answer.ErrNegativeIndex)
}

// callerError converts err for the caller. If an attempt may have run, the result never claims that
// the request was not executed.
func callerError(err error, mayHaveRun, repeatable bool) *errkind.Error {
	kindErr := toKindError(err)
	if !mayHaveRun || kindErr.Kind.Response().Execution != errkind.NotExecuted {
		return kindErr
	}
	kind := errkind.OutcomeUnknown
	if repeatable {
		kind = errkind.EngineFailed
	}
	return errkind.New(kind, "an attempt of the request was interrupted and could not be continued: %s", kindErr.Message)
}

// toKindError converts transport, context and consumer errors to an errkind.Error.
func toKindError(err error) *errkind.Error {
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		return kindErr
	}
	var consumer *consumerError
	if errors.As(err, &consumer) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return errkind.New(errkind.Canceled, "request canceled: %v", err)
	}
	var delivery *peer.DeliveryError
	if errors.As(err, &delivery) && !delivery.Sent {
		return errkind.New(errkind.NoCapacity, "no dispatcher could be reached: %v", delivery.Err)
	}
	if errors.As(err, &delivery) || errors.Is(err, errIncompleteAnswer) || errors.Is(err, errDispatcherNotMember) {
		return errkind.New(errkind.OutcomeUnknown, "answer stream interrupted: %v", err)
	}
	return errkind.New(errkind.EngineFailed, "%v", err)
}
