package idempotency

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// SnapshotFormat is the version of the snapshot encoding.
const SnapshotFormat = 1

// snapshot is the encoded state. Entries are sorted by key, so that equal states have equal encodings.
type snapshot struct {
	Sequences logrecord.Sequences `msgpack:"s"`
	Entries   []keyedEntry        `msgpack:"e"`
	ClockMS   int64               `msgpack:"t"`
	Next      int64               `msgpack:"n"`
}

type keyedEntry struct {
	Key   string `msgpack:"k"`
	Entry Entry  `msgpack:"e"`
}

// Snapshot implements logstream.Reducer. It includes expired entries that were not swept yet: they
// count towards MaxKeys, so all readers must agree on them.
func (r *Reducer) Snapshot() ([]byte, error) {
	state := snapshot{Sequences: r.sequences, ClockMS: r.clockMS, Next: r.next}
	for key, entry := range r.entries {
		state.Entries = append(state.Entries, keyedEntry{Key: key, Entry: entry})
	}
	slices.SortFunc(state.Entries, func(a, b keyedEntry) int { return cmp.Compare(a.Key, b.Key) })
	return msgpack.Marshal(&state)
}

// Restore implements logstream.Reducer.
func (r *Reducer) Restore(data []byte) error {
	var state snapshot
	if err := msgpack.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode idempotency snapshot")
	}
	entries := make(map[string]Entry, len(state.Entries))
	for _, keyed := range state.Entries {
		entries[keyed.Key] = keyed.Entry
	}
	*r = Reducer{sequences: state.Sequences, entries: entries, clockMS: state.ClockMS, next: state.Next}
	return nil
}
