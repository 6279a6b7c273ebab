// Package logrecord defines the envelope of records in log streams, and the fencing and deduplication of records.
// Whether a record takes effect is decided when it is read: every reader runs the same reducer over a stream in offset
// order, so all readers reach the same verdict on each record.
package logrecord

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Kind identifies the type of a record's body. It is specific to a stream.
type Kind string

// Record kinds that are common to all streams. Reducers define additional ones.
const (
	KindClaim    Kind = "claim"
	KindRelease  Kind = "release"
	KindSnapshot Kind = "snapshot"
)

// Record is the envelope of one log record.
type Record struct {
	// Writer identifies a process. It is unique for each start.
	Writer string `msgpack:"w"`
	// Sequence numbers the records of a writer in a stream, starting at 1, in the order of their first append. A
	// writer has one append in flight per stream, so a repeat never has a higher number than a record appended
	// after it. It is 0 in snapshot records, which are idempotent.
	Sequence uint64 `msgpack:"s"`
	// Base is the offset up to which the writer had read the stream when it assigned Sequence, so every copy of
	// the record has at least this offset. It allows Sequences to remove old writers.
	Base int64 `msgpack:"o,omitempty"`
	// Epoch is the ownership epoch that the writer holds; zero in streams and kinds that need no owner.
	Epoch int64 `msgpack:"e,omitempty"`
	Kind  Kind  `msgpack:"k"`
	// Body is the msgpack encoding of the body, whose type is determined by Kind.
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
}

// Claim is the body of KindClaim, by which the writer claims ownership of the stream. It is accepted if PreviousEpoch
// is the current epoch at the record's offset. The new epoch is that offset plus one, so it is never zero.
type Claim struct {
	PreviousEpoch int64  `msgpack:"p"`
	Node          string `msgpack:"n"`
	Address       string `msgpack:"a"`
}

// Verdict is the decision about a record.
type Verdict uint8

// Verdicts. A record has no effect unless it is Accepted.
const (
	// Accepted means that the record takes effect.
	Accepted Verdict = iota
	// Repeated means that a record with the same writer and this or a higher sequence was read before.
	Repeated
	// Fenced means that the record's epoch is not current or its writer does not hold it.
	Fenced
	// Invalid means that the record is malformed or not allowed in the current state.
	Invalid
	// Expired means that the record's offset exceeds its Base by more than WriterRetentionOffsets, so that repeats
	// cannot be detected. No later copy takes effect either. The stream runtime appends the record again with a new
	// Sequence.
	Expired
)

// String returns the name of the verdict, for logs and metrics.
func (v Verdict) String() string {
	names := [...]string{"accepted", "repeated", "fenced", "invalid", "expired"}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}
