package idempotency

import (
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// Limits of the retained keys. A key expires only after both retention periods since its latest
// record. A request that is repeated later runs again.
const (
	// RetentionMS is the retention by the stream clock: 24 hours. There is no guarantee for a
	// process that is paused for longer between its intent and the submission of its request.
	RetentionMS = 24 * 60 * 60 * 1000
	// RetentionRecords is the retention in offsets. It must be at least logrecord.WriterRetentionOffsets, so
	// that a late duplicate of an intent is Expired before its key can expire. It also prevents a
	// node with a wrong clock from expiring keys at once.
	RetentionRecords = logrecord.WriterRetentionOffsets
	// maxClockStepMS bounds how far a single record advances the stream clock.
	maxClockStepMS = 5 * 60 * 1000
	// MaxKeys bounds the number of keys; further intents are Invalid.
	MaxKeys = 1 << 20
	// sweepInterval is the number of offsets between removals of expired keys.
	sweepInterval = 1 << 10
)

// NoResult is the value of Entry.ResultOffset until a result is recorded.
const NoResult int64 = -1

// Entry is the state of a key: an intent that is open or has a result.
type Entry struct {
	Fingerprint string `msgpack:"f"`
	// Writer is the writer of the intent, which alone may record a result or release it.
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
// Invariant: each key has at most one entry, and so at most one intent that was accepted and not
// released.
type Reducer struct {
	sequences logrecord.Sequences
	entries   map[string]Entry
	// clockMS is the stream clock. It never goes back, and follows the records' timestamps in steps
	// of at most maxClockStepMS.
	clockMS int64
	// next is the offset after the last applied record.
	next int64
}

// NewReducer returns a Reducer for an empty stream.
func NewReducer() *Reducer {
	return &Reducer{entries: make(map[string]Entry)}
}

// Lookup returns the entry of a key, and whether there is one that has not expired.
func (r *Reducer) Lookup(key string) (Entry, bool) { return r.lookup(key, r.next) }

// Len returns the number of keys in memory, including expired ones that were not swept yet.
func (r *Reducer) Len() int { return len(r.entries) }

// Apply implements logstream.Reducer. An intent for a key that has an entry is
// Invalid, as is a result or a release from another writer than the intent's.
func (r *Reducer) Apply(offset int64, record logrecord.Record) logrecord.Verdict {
	r.advanceOffset(offset)
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
	r.advanceClock(intent.UnixMS)
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
	r.advanceClock(result.UnixMS)
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
	r.advanceClock(release.UnixMS)
	if _, open := r.openIntent(offset, record.Writer, release.Key, release.IntentOffset); !open {
		return logrecord.Invalid
	}
	delete(r.entries, release.Key)
	return logrecord.Accepted
}

// openIntent returns the key's entry, and whether it is the given intent of the writer without a
// result.
func (r *Reducer) openIntent(offset int64, writer, key string, intentOffset int64) (Entry, bool) {
	entry, known := r.lookup(key, offset)
	open := known &&
		entry.Writer == writer &&
		entry.IntentOffset == intentOffset &&
		entry.ResultOffset == NoResult
	return entry, open
}

// lookup ignores expired entries even if they were not swept yet, so that sweeping has no visible
// effect.
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

// advanceClock advances the stream clock towards a record's timestamp.
func (r *Reducer) advanceClock(unixMS int64) {
	if r.clockMS == 0 {
		r.clockMS = max(unixMS, 0)
		return
	}
	if unixMS > r.clockMS {
		r.clockMS = min(unixMS, r.clockMS+maxClockStepMS)
	}
}

// advanceOffset sets the next offset, and sweeps once every sweepInterval offsets.
func (r *Reducer) advanceOffset(offset int64) {
	if offset/sweepInterval != (r.next-1)/sweepInterval {
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
