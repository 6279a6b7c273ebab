package cluster

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recordKey names one process of a zone: a hash of its ID and writer, so that a
// restarted node has another key.
type recordKey uint32

func keyOf(id, writer string) recordKey {
	digest := xxhash.New()
	_, _ = digest.WriteString(id)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(writer)
	return recordKey(digest.Sum64())
}

// vectorEntrySize: key and version, big endian.
const vectorEntrySize = 8

// zoneRecords holds the records of one zone's processes.
type zoneRecords struct {
	records map[recordKey]record
	// lost holds when nodes vanished that had not announced a planned stop.
	lost map[string]time.Time
	// heardAt is when a node of the zone last spoke itself; failures counts
	// the contacts that failed since. touchedAt is when anything was last
	// heard of the zone.
	heardAt   time.Time
	failures  int
	touchedAt time.Time
}

func newZoneRecords() *zoneRecords {
	return &zoneRecords{records: make(map[recordKey]record), lost: make(map[string]time.Time)}
}

// vector encodes which version of each record is held.
func (z *zoneRecords) vector() []byte {
	vector := make([]byte, 0, len(z.records)*vectorEntrySize)
	for key, held := range z.records {
		vector = binary.BigEndian.AppendUint32(vector, uint32(key))
		vector = binary.BigEndian.AppendUint32(vector, held.Version)
	}
	return vector
}

// parseVector decodes a vector; a torn last entry is dropped.
func parseVector(vector []byte) map[recordKey]uint32 {
	versions := make(map[recordKey]uint32, len(vector)/vectorEntrySize)
	for len(vector) >= vectorEntrySize {
		versions[recordKey(binary.BigEndian.Uint32(vector))] = binary.BigEndian.Uint32(vector[4:])
		vector = vector[vectorEntrySize:]
	}
	return versions
}

// put keeps a record that is newer than the held one and reports whether it was.
func (z *zoneRecords) put(update record) bool {
	key := keyOf(update.ID, update.Writer)
	held, known := z.records[key]
	if known && update.Version <= held.Version {
		return false
	}
	update.Revision = max(update.Revision, held.Revision)
	z.records[key] = update
	delete(z.lost, update.ID)
	return true
}

// raiseRevision notes the table revision that a process told of itself.
func (z *zoneRecords) raiseRevision(from sender) bool {
	key := keyOf(from.ID, from.Writer)
	held, known := z.records[key]
	if !known {
		held = record{ID: from.ID, Writer: from.Writer, Address: from.Address, Zone: from.Zone}
	}
	if known && held.Revision >= from.Revision {
		return false
	}
	held.Revision = from.Revision
	z.records[key] = held
	return true
}

// sameMember reports whether both records make the same Member: most news is
// of loads, which the view of the members does not show.
func (r record) sameMember(other record) bool {
	return r.Address == other.Address && r.Leaving == other.Leaving && r.Revision >= other.Revision &&
		slices.Equal(r.Owned, other.Owned)
}

// remove drops a record and returns it.
func (z *zoneRecords) remove(key recordKey, now time.Time) (record, bool) {
	held, known := z.records[key]
	if !known {
		return record{}, false
	}
	delete(z.records, key)
	if !held.Leaving {
		z.lost[held.ID] = now
	}
	return held, true
}

// forgetLost drops losses from before the limit.
func (z *zoneRecords) forgetLost(limit time.Time) {
	for id, at := range z.lost {
		if at.Before(limit) {
			delete(z.lost, id)
		}
	}
}

// newer returns the held records that the vector lacks or has in an older
// version, and the keys of which the vector has more than is held.
func (z *zoneRecords) newer(versions map[recordKey]uint32, live func(record) bool) (newer []record, want, gone []recordKey) {
	for key, held := range z.records {
		if held.Version > versions[key] && live(held) {
			newer = append(newer, held)
		}
	}
	for key, version := range versions {
		held, known := z.records[key]
		switch {
		case !known || !live(held):
			gone = append(gone, key)
		case version > held.Version:
			want = append(want, key)
		}
	}
	return newer, want, gone
}

// pick returns the held records of the keys.
func (z *zoneRecords) pick(keys []recordKey) []record {
	var picked []record
	for _, key := range keys {
		if held, known := z.records[key]; known {
			picked = append(picked, held)
		}
	}
	return picked
}
