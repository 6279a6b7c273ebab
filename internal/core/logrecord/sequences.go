package logrecord

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// WriterRetentionOffsets is the number of offsets after which a writer without further records is removed.
	WriterRetentionOffsets = 1 << 16
	// sweepInterval is the number of offsets between removals of inactive writers.
	sweepInterval = 1 << 10
)

// Sequences detects repeated records of a stream by the highest sequence of each writer. Its state is a deterministic
// function of the records and their offsets. The zero value is ready to use.
//
// The number of writers is bounded: a writer is removed WriterRetentionOffsets offsets after its last record. Repeats
// are still detected, since a record whose offset exceeds its Base by more than WriterRetentionOffsets is Expired.
// This holds for every repeat of a removed writer's record: its Base is at most the offset of its first copy, which
// is at most the offset of the writer's last record.
type Sequences struct {
	writers map[string]writerState
	// next is the offset after the last admitted record.
	next int64
}

type writerState struct {
	sequence uint64
	offset   int64
}

// Admit returns Accepted for the first copy of a record, otherwise Repeated or Expired. A reducer must call it for each
// record, in offset order, and ignore records that are not Accepted. Repeats are detected even if the reducer rejects
// the first copy.
func (s *Sequences) Admit(offset int64, record Record) Verdict {
	if s.writers == nil {
		s.writers = make(map[string]writerState)
	}
	s.advance(offset)
	if offset-record.Base > WriterRetentionOffsets {
		return Expired
	}
	last, known := s.writers[record.Writer]
	known = known && !isInactive(last, offset)
	if known && record.Sequence <= last.sequence {
		return Repeated
	}
	s.writers[record.Writer] = writerState{sequence: record.Sequence, offset: offset}
	return Accepted
}

func (s *Sequences) advance(offset int64) {
	if offset/sweepInterval != (s.next-1)/sweepInterval {
		s.removeInactive(offset)
	}
	s.next = offset + 1
}

func (s *Sequences) removeInactive(offset int64) {
	for writer, last := range s.writers {
		if isInactive(last, offset) {
			delete(s.writers, writer)
		}
	}
}

func isInactive(last writerState, offset int64) bool {
	return offset-last.offset > WriterRetentionOffsets
}

// sequencesSnapshot is the encoded form of Sequences. Writers are sorted, so that equal states have equal encodings.
type sequencesSnapshot struct {
	Next    int64            `msgpack:"n"`
	Writers []writerSnapshot `msgpack:"w"`
}

type writerSnapshot struct {
	Writer   string `msgpack:"w"`
	Sequence uint64 `msgpack:"s"`
	Offset   int64  `msgpack:"o"`
}

var (
	_ msgpack.CustomEncoder = Sequences{}
	_ msgpack.CustomDecoder = (*Sequences)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s Sequences) EncodeMsgpack(encoder *msgpack.Encoder) error {
	snapshot := sequencesSnapshot{Next: s.next}
	for writer, last := range s.writers {
		if isInactive(last, s.next) {
			continue
		}
		entry := writerSnapshot{Writer: writer, Sequence: last.sequence, Offset: last.offset}
		snapshot.Writers = append(snapshot.Writers, entry)
	}
	slices.SortFunc(snapshot.Writers, func(a, b writerSnapshot) int {
		return cmp.Compare(a.Writer, b.Writer)
	})
	return encoder.Encode(snapshot)
}

// DecodeMsgpack implements msgpack.CustomDecoder. It replaces the state.
func (s *Sequences) DecodeMsgpack(decoder *msgpack.Decoder) error {
	var snapshot sequencesSnapshot
	if err := decoder.Decode(&snapshot); err != nil {
		return err
	}
	s.next = snapshot.Next
	s.writers = make(map[string]writerState, len(snapshot.Writers))
	for _, entry := range snapshot.Writers {
		s.writers[entry.Writer] = writerState{sequence: entry.Sequence, offset: entry.Offset}
	}
	return nil
}
