// Package logrelay lets a node that the log refuses, throttles or does not hear
// reach it through another node. A call by way of another node means just what
// the direct call means: that node makes it once, and tells how it ended.
package logrelay

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// operation says which call of the log a request asks for.
type operation uint8

const (
	opAppend operation = iota + 1
	opAppendAt
	opRead
	opNewest
	opReadKeyed
	// opReplicaNewest and opReplicaRead ask for what the other node itself has read.
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
	// Patience is how long the sender of a call that writes waits for its end; zero when
	// unknown.
	Patience time.Duration `msgpack:"p,omitempty"`
	// LeftOut are the classes of records that a reader of a replica does without. One that does not know the
	// field is sent all.
	LeftOut []string `msgpack:"x,omitempty"`
}

// writes tells whether the call changes the log.
func (r request) writes() bool {
	return r.Operation == opAppend || r.Operation == opAppendAt || r.Operation == opPutKeyed
}

func (r request) partition() eventlog.Partition {
	return eventlog.Partition{Topic: r.Topic, Number: r.Number}
}

// outcome says how a call ended.
type outcome uint8

const (
	done outcome = iota + 1
	notDone
	unknown
	conflict
	gone
	// noWay: the node cannot reach the log itself, so nothing was tried.
	noWay
)

// errNoWay means that another node was asked that cannot reach the log itself.
var errNoWay = errors.Wrap(eventlog.ErrNotDone, "the other node does not reach the log")

// response is the answer to a request, encoded as msgpack.
type response struct {
	Outcome outcome                `msgpack:"o"`
	Offset  int64                  `msgpack:"f,omitempty"`
	End     int64                  `msgpack:"e,omitempty"`
	Records [][]byte               `msgpack:"r,omitempty"`
	Keyed   []eventlog.KeyedRecord `msgpack:"k,omitempty"`
	Detail  string                 `msgpack:"d,omitempty"`
	// Age is how old the knowledge of a replica is.
	Age time.Duration `msgpack:"g,omitempty"`
}

// failed returns the response that tells of an error.
func failed(err error) response {
	var conflicting *eventlog.ConflictError
	var lost *eventlog.GoneError
	switch {
	case errors.As(err, &conflicting):
		return response{Outcome: conflict, Offset: conflicting.End}
	case errors.As(err, &lost):
		return response{Outcome: gone, Offset: lost.First}
	case errors.Is(err, eventlog.ErrNotDone):
		return response{Outcome: notDone, Detail: err.Error()}
	default:
		return response{Outcome: unknown, Detail: err.Error()}
	}
}

// err returns the error that the response tells of; nil when the call worked.
func (r response) err() error {
	switch r.Outcome {
	case done:
		return nil
	case conflict:
		return &eventlog.ConflictError{End: r.Offset}
	case gone:
		return &eventlog.GoneError{First: r.Offset}
	case noWay:
		return errNoWay
	case notDone:
		return errors.Wrap(eventlog.ErrNotDone, "through another node: "+r.Detail)
	default:
		return errors.Wrap(eventlog.ErrOutcomeUnknown, "through another node: "+r.Detail)
	}
}
