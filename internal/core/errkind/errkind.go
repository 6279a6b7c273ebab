// Package errkind defines the error kinds that corkpulley returns and maps
// each to its HTTP status, code, execution outcome and retry advice.
//
// Invariant: a kind whose Execution is NotExecuted may be returned only when
// no byte of the request reached an engine, or when the engine reported that
// it did not run the request. All other kinds are Unknown or Executed.
package errkind

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Kind identifies an error condition.
type Kind uint8

// Error kinds. The values are sent between processes: append new kinds at the
// end and never renumber.
const (
	Internal Kind = iota
	InvalidRequest
	UnsupportedMediaType
	PayloadTooLarge
	UnknownService
	NotFound
	MethodNotAllowed
	TableConflict
	TableInvalid
	// StepMismatch means that the step was submitted before with a different request.
	StepMismatch
	IdempotencyKeyReused
	IdempotencyInProgress
	QueueFull
	CapReached
	QueueTimeout
	NoCapacity
	Draining
	// NotCurrent means that the node's configuration may be out of date.
	NotCurrent
	// NotReady means that the node has not yet read the state that the request needs.
	NotReady
	LogUnavailable
	// NotOwner means that the node does not own the stream or cell that the request needs.
	NotOwner
	EngineRefused
	EngineFailed
	OutcomeUnknown
	Canceled
	Superseded
	ShuttingDown
	RequestTimeout
	// OutcomeUnknownRepeatable means that the request may have taken effect and
	// is safe to repeat. OutcomeUnknown does not imply that it is safe.
	OutcomeUnknownRepeatable
	HeaderTooLarge
	// Unauthorized means that the request has no configured API key.
	Unauthorized
	// Quarantined means that engines terminated while running this request, so
	// it is not sent to further engines.
	Quarantined
	// HistoryLost means that the log deleted records before this node read them, so that its
	// state may be incomplete; another node may be able to answer.
	HistoryLost
	// OutsideHomes means that no engine or node is available in the regions to which the request is restricted.
	OutsideHomes
	// UpgradeInProgress means that a node may still run a build that lacks a feature the request needs.
	UpgradeInProgress
	kindCount
)

// Execution states whether a failed request ran on an engine.
type Execution string

// Execution outcomes.
const (
	NotExecuted Execution = "no"
	Executed    Execution = "yes"
	Unknown     Execution = "unknown"
)

// Response is the response to a caller for one Kind.
type Response struct {
	// Code is the stable machine-readable name of the kind.
	Code string
	// Status is the HTTP status code.
	Status    int
	Execution Execution
	// Retryable is true if the same request may succeed when sent again.
	Retryable bool
	// RetryAfter is the suggested delay before a retry; zero when there is none.
	RetryAfter time.Duration
}

// statusClientClosedRequest is the de facto status for a caller that disconnected.
const statusClientClosedRequest = 499

var responses = [kindCount]Response{
	Internal:              {"internal", http.StatusInternalServerError, Unknown, false, 0},
	InvalidRequest:        {"invalid_request", http.StatusBadRequest, NotExecuted, false, 0},
	UnsupportedMediaType:  {"unsupported_media_type", http.StatusUnsupportedMediaType, NotExecuted, false, 0},
	PayloadTooLarge:       {"payload_too_large", http.StatusRequestEntityTooLarge, NotExecuted, false, 0},
	UnknownService:        {"unknown_service", http.StatusNotFound, NotExecuted, false, 0},
	NotFound:              {"not_found", http.StatusNotFound, NotExecuted, false, 0},
	MethodNotAllowed:      {"method_not_allowed", http.StatusMethodNotAllowed, NotExecuted, false, 0},
	TableConflict:         {"table_conflict", http.StatusConflict, NotExecuted, false, 0},
	TableInvalid:          {"table_invalid", http.StatusUnprocessableEntity, NotExecuted, false, 0},
	StepMismatch:          {"step_mismatch", http.StatusConflict, NotExecuted, false, 0},
	IdempotencyKeyReused:  {"idempotency_key_reused", http.StatusUnprocessableEntity, NotExecuted, false, 0},
	IdempotencyInProgress: {"idempotency_in_progress", http.StatusConflict, Unknown, true, time.Second},
	QueueFull:             {"queue_full", http.StatusTooManyRequests, NotExecuted, true, time.Second},
	CapReached:            {"cap_reached", http.StatusTooManyRequests, NotExecuted, true, time.Second},
	QueueTimeout:          {"queue_timeout", http.StatusServiceUnavailable, NotExecuted, true, 2 * time.Second},
	NoCapacity:            {"no_capacity", http.StatusServiceUnavailable, NotExecuted, true, 2 * time.Second},
	Draining:              {"draining", http.StatusServiceUnavailable, NotExecuted, true, time.Second},
	NotCurrent:            {"not_current", http.StatusServiceUnavailable, NotExecuted, true, 2 * time.Second},
	NotReady:              {"not_ready", http.StatusServiceUnavailable, NotExecuted, true, time.Second},
	LogUnavailable:        {"log_unavailable", http.StatusServiceUnavailable, NotExecuted, true, 5 * time.Second},
	NotOwner:              {"not_owner", http.StatusServiceUnavailable, NotExecuted, true, time.Second},
	EngineRefused:         {"engine_refused", http.StatusServiceUnavailable, NotExecuted, true, time.Second},
	EngineFailed:          {"engine_failed", http.StatusBadGateway, Unknown, false, 0},
	OutcomeUnknown:        {"outcome_unknown", http.StatusBadGateway, Unknown, false, 0},
	Canceled:              {"canceled", statusClientClosedRequest, Unknown, false, 0},
	Superseded:            {"superseded", http.StatusConflict, NotExecuted, true, 0},
	ShuttingDown:          {"shutting_down", http.StatusServiceUnavailable, NotExecuted, true, time.Second},
	RequestTimeout:        {"request_timeout", http.StatusRequestTimeout, NotExecuted, true, 0},
	OutcomeUnknownRepeatable: {
		"outcome_unknown_repeatable", http.StatusBadGateway, Unknown, true, time.Second,
	},
	HeaderTooLarge: {"header_too_large", http.StatusRequestHeaderFieldsTooLarge, NotExecuted, false, 0},
	Unauthorized:   {"unauthorized", http.StatusUnauthorized, NotExecuted, false, 0},
	Quarantined:    {"quarantined", http.StatusServiceUnavailable, NotExecuted, true, 10 * time.Second},
	HistoryLost:    {"history_lost", http.StatusServiceUnavailable, NotExecuted, true, time.Second},
	OutsideHomes:   {"outside_homes", http.StatusServiceUnavailable, NotExecuted, true, 2 * time.Second},
	UpgradeInProgress: {
		"upgrade_in_progress", http.StatusServiceUnavailable, NotExecuted, true, 5 * time.Second,
	},
}

// All returns every kind in ascending order.
func All() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Response returns the response for the kind; undefined kinds are treated as Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the stable code of the kind.
func (k Kind) String() string { return k.Response().Code }

// Error is an error with a kind. It is encoded for other processes without loss.
type Error struct {
	Kind    Kind   `msgpack:"k" json:"kind"`
	Message string `msgpack:"m" json:"message"`
	// RetryAfter overrides the kind's default delay when it is not zero.
	RetryAfter time.Duration `msgpack:"r,omitempty" json:"retry_after,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// Delay returns the delay before a retry: RetryAfter if set, else the kind's default.
func (e *Error) Delay() time.Duration {
	if e.RetryAfter != 0 {
		return e.RetryAfter
	}
	return e.Kind.Response().RetryAfter
}

// New returns an Error of the kind with a formatted message.
func New(kind Kind, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, arguments...)}
}

// From returns the Error in err's chain, or an Internal error with err's
// message. It returns nil for a nil err.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{Kind: Internal, Message: err.Error()}
}

// KindOf returns the kind of err, or Internal when its chain has no Error.
func KindOf(err error) Kind { return From(err).Kind }

// Is reports whether the Error in err's chain is of the kind.
func Is(err error, kind Kind) bool {
	var known *Error
	return errors.As(err, &known) && known.Kind == kind
}
