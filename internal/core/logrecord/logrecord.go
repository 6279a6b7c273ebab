// Package logrecord defines the envelope of every record that corkpulley
// appends to the platform's log, and the fence that each reducer applies to
// it. Every reader runs the same reducer over a stream in offset order, so all
// readers reach the same verdict on each record ("decide at read").
package logrecord

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Kind names the type of a record's body within its stream.
type Kind string

// Record kinds that the fence itself understands; each reducer adds its own.
const (
	KindClaim    Kind = "claim"
	KindRelease  Kind = "release"
	KindSnapshot Kind = "snapshot"
)

// Record is the envelope of one log record.
type Record struct {
	// Writer identifies one process start; it is never used twice.
	Writer string `msgpack:"w"`
	// Sequence numbers the records of one writer in one stream from 1, in the
	// order in which the writer first tried to append them. A writer has one
	// append in flight for a stream, so a repeat never has a higher number than
	// a record that is appended after it.
	// Snapshot records are idempotent by nature and carry 0.
	Sequence uint64 `msgpack:"s"`
	// Base is the offset up to which the writer had read the stream when it
	// gave out Sequence, so no copy of the record can stand below it. It lets
	// Sequences forget old writers safely.
	Base int64 `msgpack:"o,omitempty"`
	// Epoch is the ownership epoch the writer holds; zero in streams or for
	// kinds that need no owner.
	Epoch int64 `msgpack:"e,omitempty"`
	Kind  Kind  `msgpack:"k"`
	// Body is the msgpack encoding of the body type that Kind names.
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
}

// Claim is the body of KindClaim: the writer asks to own the stream. It wins
// when PreviousEpoch is the epoch in force where the record stands; the new
// epoch is then the record's offset + 1 (so never zero).
type Claim struct {
	PreviousEpoch int64  `msgpack:"p"`
	Node          string `msgpack:"n"`
	Address       string `msgpack:"a"`
}

// Verdict is what the fence decides about one record.
type Verdict uint8

// The verdicts of a fence.
const (
	// Accepted: the record counts.
	Accepted Verdict = iota
	// Repeated: the same writer and sequence was seen before; no effect.
	Repeated
	// Fenced: the epoch is not the one in force; no effect.
	Fenced
	// Invalid: the record is malformed or not allowed in this state; no effect.
	Invalid
	// Expired: the record stands more than ForgetAfter offsets after its Base,
	// where repeats can no longer be told apart; no effect, and no other copy
	// of it can have one. The stream runtime proposes it again by itself.
	Expired
)

// String returns the verdict's name, for logs and metrics.
func (v Verdict) String() string {
	names := [...]string{"accepted", "repeated", "fenced", "invalid", "expired"}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}
