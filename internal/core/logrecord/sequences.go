package logrecord

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// ForgetAfter is the number of offsets after which a writer's highest
	// sequence is forgotten, unless it wrote again.
	ForgetAfter = 1 << 16
	// sweepEvery is the number of offsets between removals of forgotten writers.
	sweepEvery = 1 << 10
)

// Sequences remembers the highest sequence of each writer of one stream and so
// finds repeats. The zero value is ready. Its state is a pure function of the
// offsets and records it was given.
//
// It is bounded: a writer is forgotten ForgetAfter offsets after its last
// record. That is safe, because a record that stands more than ForgetAfter
// offsets after its Base is Expired, and a repeat of a forgotten writer's
// record always does: its Base is at most the offset of its first copy, which
// is at most the writer's last offset.
type Sequences struct {
	writers map[string]writerState
	// next is the offset after the last admitted record.
	next int64
}

type writerState struct {
	sequence uint64
	offset   int64
}

// Admit returns Accepted for a record that was not seen before, and notes it;
// Repeated or Expired otherwise. A reducer calls it first for each record,
// in offset order, and looks no further at one that is not Accepted. A record
// whose reducer then refuses it stays noted, so its repeats have no effect.
func (s *Sequences) Admit(offset int64, record Record) Verdict {
	if s.writers == nil {
		s.writers = make(map[string]writerState)
	}
	s.advance(offset)
	if offset-record.Base > ForgetAfter {
		return Expired
	}
	last, known := s.writers[record.Writer]
	known = known && !forgotten(last, offset)
	if known && record.Sequence <= last.sequence {
		return Repeated
	}
	s.writers[record.Writer] = writerState{sequence: record.Sequence, offset: offset}
	return Accepted
}

func (s *Sequences) advance(offset int64) {
	if offset/sweepEvery != (s.next-1)/sweepEvery {
		s.sweep(offset)
	}
	s.next = offset + 1
}

func (s *Sequences) sweep(offset int64) {
	for writer, last := range s.writers {
		if forgotten(last, offset) {
			delete(s.writers, writer)
		}
	}
}

func forgotten(last writerState, offset int64) bool {
	return offset-last.offset > ForgetAfter
}

// sequencesSnapshot is the encoded form, sorted so that equal states have
// equal bytes.
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

// EncodeMsgpack writes the state, for snapshots of reducers.
func (s Sequences) EncodeMsgpack(encoder *msgpack.Encoder) error {
	snapshot := sequencesSnapshot{Next: s.next}
	for writer, last := range s.writers {
		if forgotten(last, s.next) {
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

// DecodeMsgpack replaces the state by an encoded one.
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
