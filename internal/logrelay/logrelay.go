// Package logrelay lets a node that cannot reach the log itself, or is refused or throttled by it, call it through
// another node. A relayed call has the semantics of a direct one: the relaying node makes it once and reports its
// outcome.
package logrelay

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// operation identifies the log call that a request asks for.
type operation uint8

const (
	opAppend operation = iota + 1
	opAppendAt
	opRead
	opNewest
	opReadKeyed
	// opReplicaNewest and opReplicaRead are answered from the relaying node's own copy of a followed topic.
	opReplicaNewest
	opReplicaRead
	opPutKeyed
)

// request is a call of the log, encoded as msgpack.
type request struct {
	Operation operation              `msgpack:"o"`
	Topic     string                 `msgpack:"t"`
	Number    int                    `msgpack:"n,omitempty"`
	Records   [][]byte               `msgpack:"r,omitempty"`
	Keyed     []eventlog.KeyedRecord `msgpack:"k,omitempty"`
	Offset    int64                  `msgpack:"f,omitempty"`
	Limit     int                    `msgpack:"l,omitempty"`
	Wait      time.Duration          `msgpack:"w,omitempty"`
	// SenderTimeout is how long the sender of a write waits for the result; zero if unknown.
	SenderTimeout time.Duration `msgpack:"p,omitempty"`
	// ExcludedClasses are the record classes that a reader of a replica does not need. Earlier builds ignore the
	// field and return all records.
	ExcludedClasses []string `msgpack:"x,omitempty"`
}

// isWrite reports whether the call changes the log.
func (r request) isWrite() bool {
	return r.Operation == opAppend || r.Operation == opAppendAt || r.Operation == opPutKeyed
}

func (r request) partition() eventlog.Partition {
	return eventlog.Partition{Topic: r.Topic, Number: r.Number}
}

// outcome is the result of a call.
type outcome uint8

const (
	outcomeDone outcome = iota + 1
	outcomeNotDone
	outcomeUnknown
	outcomeConflict
	outcomeTrimmed
	// outcomeCannotRelay means that the node has no direct connection to the log, or no copy of the topic to read from;
	// nothing was attempted.
	outcomeCannotRelay
)

// errCannotRelay is returned if a peer replied outcomeCannotRelay; the call was not made.
var errCannotRelay = errors.Wrap(eventlog.ErrNotPerformed, "the other node has no direct connection to the log")

// response is the reply to a request, encoded as msgpack.
type response struct {
	Outcome outcome                `msgpack:"o"`
	Offset  int64                  `msgpack:"f,omitempty"`
	End     int64                  `msgpack:"e,omitempty"`
	Records [][]byte               `msgpack:"r,omitempty"`
	Keyed   []eventlog.KeyedRecord `msgpack:"k,omitempty"`
	Detail  string                 `msgpack:"d,omitempty"`
	// Age is the time since the replica was last known to be up to date with the log.
	Age time.Duration `msgpack:"g,omitempty"`
}

// errorResponse encodes an error as a response.
func errorResponse(err error) response {
	var conflicting *eventlog.ConflictError
	var trimmed *eventlog.TrimmedError
	switch {
	case errors.As(err, &conflicting):
		return response{Outcome: outcomeConflict, Offset: conflicting.End}
	case errors.As(err, &trimmed):
		return response{Outcome: outcomeTrimmed, Offset: trimmed.First}
	case errors.Is(err, eventlog.ErrNotPerformed):
		return response{Outcome: outcomeNotDone, Detail: err.Error()}
	default:
		return response{Outcome: outcomeUnknown, Detail: err.Error()}
	}
}

// err returns the error that the response encodes; nil if the call succeeded.
func (r response) err() error {
	switch r.Outcome {
	case outcomeDone:
		return nil
	case outcomeConflict:
		return &eventlog.ConflictError{End: r.Offset}
	case outcomeTrimmed:
		return &eventlog.TrimmedError{First: r.Offset}
	case outcomeCannotRelay:
		return errCannotRelay
	case outcomeNotDone:
		return errors.Wrap(eventlog.ErrNotPerformed, "call relayed by another node: "+r.Detail)
	default:
		return errors.Wrap(eventlog.ErrOutcomeUnknown, "call relayed by another node: "+r.Detail)
	}
}
