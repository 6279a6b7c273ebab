package idempotency

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// record returns a record with an encoded body.
func record(t assert.TestingT, writer string, sequence uint64, base int64, kind logrecord.Kind, body any) logrecord.Record {
	data, err := logrecord.EncodeBody(body)
	assert.NilError(t, err)
	return logrecord.Record{Writer: writer, Sequence: sequence, Base: base, Kind: kind, Body: data}
}

// model is the expected state of the reducer: open intents by key with their offsets, keys with a result, and
// the writer of each accepted intent by its offset.
type model struct {
	open    map[string]int64
	results map[string]bool
	writers map[int64]string
}

// Guards against two accepted intents for a key, under interleaved writers, duplicate records and snapshots.
func TestAtMostOneOpenIntent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reducer := NewReducer()
		want := model{open: map[string]int64{}, results: map[string]bool{}, writers: map[int64]string{}}
		sequences := map[string]uint64{}
		var sent []logrecord.Record
		for offset := range int64(rapid.IntRange(1, 80).Draw(t, "records")) {
			var next logrecord.Record
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
				next = rapid.SampledFrom(sent).Draw(t, "sent")
			} else {
				next = drawRecord(t, offset, sequences)
				sent = append(sent, next)
			}
			verdict := reducer.Apply(offset, next)
			if verdict == logrecord.Accepted {
				want.accept(t, offset, next)
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				reducer = snapshotRoundTrip(t, reducer)
			}
			want.compare(t, reducer)
		}
	})
}

func drawRecord(t *rapid.T, offset int64, sequences map[string]uint64) logrecord.Record {
	writer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	intentOffset := rapid.Int64Range(0, offset).Draw(t, "intent")
	sequences[writer]++
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		body := Intent{Key: key, Fingerprint: writer, UnixMS: offset}
		return record(t, writer, sequences[writer], offset, KindIntent, body)
	case 1:
		body := Result{Key: key, IntentOffset: intentOffset, Outcome: []byte("x"), UnixMS: offset}
		return record(t, writer, sequences[writer], offset, KindResult, body)
	default:
		body := Release{Key: key, IntentOffset: intentOffset, UnixMS: offset}
		return record(t, writer, sequences[writer], offset, KindRelease, body)
	}
}

// accept applies an accepted record to the model and checks the invariant.
func (m *model) accept(t *rapid.T, offset int64, accepted logrecord.Record) {
	switch accepted.Kind {
	case KindIntent:
		var intent Intent
		assert.NilError(t, logrecord.DecodeBody(accepted, &intent))
		_, taken := m.open[intent.Key]
		assert.Assert(t, !taken && !m.results[intent.Key], "a second intent was accepted")
		m.open[intent.Key] = offset
		m.writers[offset] = accepted.Writer
	case KindResult:
		var result Result
		assert.NilError(t, logrecord.DecodeBody(accepted, &result))
		m.closeIntent(t, result.Key, result.IntentOffset, accepted.Writer)
		m.results[result.Key] = true
	case KindRelease:
		var release Release
		assert.NilError(t, logrecord.DecodeBody(accepted, &release))
		m.closeIntent(t, release.Key, release.IntentOffset, accepted.Writer)
	}
}

func (m *model) closeIntent(t *rapid.T, key string, intentOffset int64, writer string) {
	current, open := m.open[key]
	assert.Assert(t, open && current == intentOffset)
	assert.Equal(t, m.writers[intentOffset], writer, "another writer closed the intent")
	delete(m.open, key)
}

func (m *model) compare(t *rapid.T, reducer *Reducer) {
	for _, key := range []string{"k1", "k2"} {
		entry, known := reducer.Lookup(key)
		offset, open := m.open[key]
		assert.Equal(t, known, open || m.results[key])
		if open {
			assert.Equal(t, entry.IntentOffset, offset)
		}
		if known {
			assert.Equal(t, entry.ResultOffset == NoResult, open)
		}
	}
}

func snapshotRoundTrip(t assert.TestingT, reducer *Reducer) *Reducer {
	data, err := reducer.Snapshot()
	assert.NilError(t, err)
	copied := NewReducer()
	assert.NilError(t, copied.Restore(data))
	again, err := copied.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, data)
	return copied
}

func TestKeysExpireAfterBothRetentionBounds(t *testing.T) {
	reducer := NewReducer()
	first := record(t, "a", 1, 0, KindIntent, Intent{Key: "k", Fingerprint: "f", UnixMS: 1000})
	assert.Equal(t, reducer.Apply(0, first), logrecord.Accepted)

	// Enough records in too short a time: the key is retained.
	filler := func(offset, unixMS int64) {
		body := Release{Key: "none", UnixMS: unixMS}
		reducer.Apply(offset, record(t, "b", uint64(offset), offset, KindRelease, body))
	}
	filler(RetentionRecords+1, 2000)
	_, known := reducer.Lookup("k")
	assert.Assert(t, known)

	// One timestamp far in the future advances the stream clock by only one step.
	filler(RetentionRecords+2, 1000*RetentionMS)
	_, known = reducer.Lookup("k")
	assert.Assert(t, known)

	for step := range int64(RetentionMS/maxClockStepMS + 1) {
		filler(RetentionRecords+3+step, 1000*RetentionMS)
	}
	_, known = reducer.Lookup("k")
	assert.Assert(t, !known)

	// Contiguous offsets trigger a sweep, which removes the entry.
	for offset := int64(RetentionRecords + 400); offset <= RetentionRecords+400+sweepInterval; offset++ {
		filler(offset, 1000*RetentionMS)
	}
	assert.Equal(t, reducer.Len(), 0)

	// A late duplicate of the expired intent is rejected; a new intent for the key is accepted.
	late := int64(RetentionRecords + 2000)
	assert.Equal(t, reducer.Apply(late, first), logrecord.Expired)
	again := record(t, "c", 1, late, KindIntent, Intent{Key: "k", Fingerprint: "f", UnixMS: 1})
	assert.Equal(t, reducer.Apply(late+1, again), logrecord.Accepted)
}

func FuzzApply(f *testing.F) {
	for _, body := range []any{
		Intent{Key: "k", Fingerprint: "f"}, Result{Key: "k", Outcome: []byte("o")}, Release{Key: "k"},
	} {
		data, err := logrecord.EncodeBody(body)
		assert.NilError(f, err)
		f.Add(string(KindIntent), []byte(data))
		f.Add(string(KindResult), []byte(data))
	}
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		reducer := NewReducer()
		reducer.Apply(0, record(t, "w", 1, 0, KindIntent, Intent{Key: "k", Fingerprint: "f"}))
		fuzzed := logrecord.Record{Writer: "w", Sequence: 2, Kind: logrecord.Kind(kind), Body: body}
		verdict := reducer.Apply(1, fuzzed)
		if verdict == logrecord.Invalid {
			entry, known := reducer.Lookup("k")
			assert.Assert(t, known && entry.ResultOffset == NoResult)
		}
		snapshotRoundTrip(t, reducer)
	})
}
