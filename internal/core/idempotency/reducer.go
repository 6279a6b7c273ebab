package idempotency

import (
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// Retention of keys. A key is forgotten only when both bounds have passed since
// its latest record; a caller that repeats a request later than that runs it again.
const (
	// RetentionMS is the time by the records' own timestamps: 24 hours. A
	// process that is paused for longer between its intent and its submission
	// is outside the promise.
	RetentionMS = 24 * 60 * 60 * 1000
	// RetentionRecords is the age in offsets. It is not below
	// logrecord.ForgetAfter, so a late copy of an intent is Expired before its
	// key can be forgotten. It also keeps a node with a wrong clock from
	// making the others forget keys at once.
	RetentionRecords = logrecord.ForgetAfter
	// maxClockStepMS bounds how far one record moves the stream's time.
	maxClockStepMS = 5 * 60 * 1000
	// MaxKeys bounds the remembered keys; intents over it are Invalid.
	MaxKeys = 1 << 20
	// sweepEvery is the number of offsets between removals of expired keys.
	sweepEvery = 1 << 10
)

// NoResult is Entry.ResultOffset while no result is recorded.
const NoResult int64 = -1

// Entry is what the stream has decided about one key.
type Entry struct {
	Fingerprint string `msgpack:"f"`
	// Writer appended the intent; only it may record its result or release it.
	Writer       string `msgpack:"w"`
	IntentOffset int64  `msgpack:"i"`
	// ResultOffset is the offset of the Result record, or NoResult.
	ResultOffset int64 `msgpack:"r"`
	// LastOffset and LastMS are those of the key's latest record.
	LastOffset int64 `msgpack:"l"`
	LastMS     int64 `msgpack:"t"`
}

// Reducer holds the keys of one stream. It implements logstream.Reducer.
//
// Invariant: each key has at most one entry, thus at most one intent that was
// accepted and not released.
type Reducer struct {
	sequences logrecord.Sequences
	entries   map[string]Entry
	// clockMS is the stream's time: it never falls, and follows the records'
	// timestamps by steps of at most maxClockStepMS.
	clockMS int64
	// next is the offset after the last applied record.
	next int64
}

// NewReducer returns a Reducer of an empty stream.
func NewReducer() *Reducer {
	return &Reducer{entries: make(map[string]Entry)}
}

// Lookup returns the entry of a key; false when none is remembered.
func (r *Reducer) Lookup(key string) (Entry, bool) { return r.lookup(key, r.next) }

// Len returns the number of keys in memory.
func (r *Reducer) Len() int { return len(r.entries) }

// Apply implements logstream.Reducer. An intent for a key that has an entry is
// Invalid, as is a result or a release from another writer than the intent's.
func (r *Reducer) Apply(offset int64, record logrecord.Record) logrecord.Verdict {
	r.advance(offset)
	if verdict := r.sequences.Admit(offset, record); verdict != logrecord.Accepted {
		return verdict
	}
	switch record.Kind {
	case KindIntent:
		return r.applyIntent(offset, record)
	case KindResult:
		return r.applyResult(offset, record)
	case KindRelease:
		return r.applyRelease(offset, record)
	default:
		return logrecord.Invalid
	}
}

func (r *Reducer) applyIntent(offset int64, record logrecord.Record) logrecord.Verdict {
	var intent Intent
	if logrecord.DecodeBody(record, &intent) != nil || intent.Validate() != nil {
		return logrecord.Invalid
	}
	r.tick(intent.UnixMS)
	if _, taken := r.lookup(intent.Key, offset); taken {
		return logrecord.Invalid
	}
	delete(r.entries, intent.Key)
	if len(r.entries) >= MaxKeys {
		return logrecord.Invalid
	}
	r.entries[intent.Key] = Entry{
		Fingerprint:  intent.Fingerprint,
		Writer:       record.Writer,
		IntentOffset: offset,
		ResultOffset: NoResult,
		LastOffset:   offset,
		LastMS:       r.clockMS,
	}
	return logrecord.Accepted
}

func (r *Reducer) applyResult(offset int64, record logrecord.Record) logrecord.Verdict {
	var result Result
	if logrecord.DecodeBody(record, &result) != nil || result.Validate() != nil {
		return logrecord.Invalid
	}
	r.tick(result.UnixMS)
	entry, open := r.openIntent(offset, record.Writer, result.Key, result.IntentOffset)
	if !open {
		return logrecord.Invalid
	}
	entry.ResultOffset = offset
	entry.LastOffset = offset
	entry.LastMS = r.clockMS
	r.entries[result.Key] = entry
	return logrecord.Accepted
}

func (r *Reducer) applyRelease(offset int64, record logrecord.Record) logrecord.Verdict {
	var release Release
	if logrecord.DecodeBody(record, &release) != nil || release.Validate() != nil {
		return logrecord.Invalid
	}
	r.tick(release.UnixMS)
	if _, open := r.openIntent(offset, record.Writer, release.Key, release.IntentOffset); !open {
		return logrecord.Invalid
	}
	delete(r.entries, release.Key)
	return logrecord.Accepted
}

// openIntent returns the key's entry when it is the named intent of the writer
// and has no result yet.
func (r *Reducer) openIntent(offset int64, writer, key string, intentOffset int64) (Entry, bool) {
	entry, known := r.lookup(key, offset)
	open := known &&
		entry.Writer == writer &&
		entry.IntentOffset == intentOffset &&
		entry.ResultOffset == NoResult
	return entry, open
}

// lookup leaves out expired entries, whether they were swept yet or not, so
// that sweeping has no visible effect.
func (r *Reducer) lookup(key string, offset int64) (Entry, bool) {
	entry, known := r.entries[key]
	if !known || r.expired(entry, offset) {
		return Entry{}, false
	}
	return entry, true
}

func (r *Reducer) expired(entry Entry, offset int64) bool {
	return offset-entry.LastOffset > RetentionRecords && r.clockMS-entry.LastMS > RetentionMS
}

// tick moves the stream's time towards a record's timestamp, never back.
func (r *Reducer) tick(unixMS int64) {
	if r.clockMS == 0 {
		r.clockMS = max(unixMS, 0)
		return
	}
	if unixMS > r.clockMS {
		r.clockMS = min(unixMS, r.clockMS+maxClockStepMS)
	}
}

// advance notes the offset and sweeps now and then.
func (r *Reducer) advance(offset int64) {
	if offset/sweepEvery != (r.next-1)/sweepEvery {
		r.sweep(offset)
	}
	r.next = offset + 1
}

func (r *Reducer) sweep(offset int64) {
	for key, entry := range r.entries {
		if r.expired(entry, offset) {
			delete(r.entries, key)
		}
	}
}
