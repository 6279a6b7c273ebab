package cluster

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recordKey identifies a process of a zone: a hash of its ID and writer, so that a restarted node gets a new
// key.
type recordKey uint32

func keyOf(id, writer string) recordKey {
	digest := xxhash.New()
	_, _ = digest.WriteString(id)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(writer)
	return recordKey(digest.Sum64())
}

// vectorEntrySize is the size of a vector entry in bytes: key and version, both big-endian uint32.
const vectorEntrySize = 8

// zoneRecords holds the records of one zone's processes.
type zoneRecords struct {
	records map[recordKey]record
	// lost holds the time at which each node disappeared without a planned shutdown, by ID.
	lost map[string]time.Time
	// lastContactAt is the time of the last direct contact with a node of the zone, failures the number of
	// failed contacts since. updatedAt is the time of the last direct or indirect information.
	lastContactAt time.Time
	failures      int
	updatedAt     time.Time
}

func newZoneRecords() *zoneRecords {
	return &zoneRecords{records: make(map[recordKey]record), lost: make(map[string]time.Time)}
}

// vector encodes the version of each record.
func (z *zoneRecords) vector() []byte {
	vector := make([]byte, 0, len(z.records)*vectorEntrySize)
	for key, held := range z.records {
		vector = binary.BigEndian.AppendUint32(vector, uint32(key))
		vector = binary.BigEndian.AppendUint32(vector, held.Version)
	}
	return vector
}

// parseVector decodes a vector. An incomplete last entry is ignored.
func parseVector(vector []byte) map[recordKey]uint32 {
	versions := make(map[recordKey]uint32, len(vector)/vectorEntrySize)
	for len(vector) >= vectorEntrySize {
		versions[recordKey(binary.BigEndian.Uint32(vector))] = binary.BigEndian.Uint32(vector[4:])
		vector = vector[vectorEntrySize:]
	}
	return versions
}

// put stores a record if it is newer than the stored one, and reports whether it was.
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

// raiseRevision records the table revision reported by a process, and reports whether it changed.
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

// equalMember reports whether the update leaves the Member unchanged. Most updates only change loads, which
// are not part of the view.
func (r record) equalMember(update record) bool {
	return r.Address == update.Address && r.Leaving == update.Leaving && r.Revision >= update.Revision &&
		slices.Equal(r.Owned, update.Owned)
}

// remove deletes a record and returns it.
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

// pruneLost removes the lost nodes that disappeared before the limit.
func (z *zoneRecords) pruneLost(limit time.Time) {
	for id, at := range z.lost {
		if at.Before(limit) {
			delete(z.lost, id)
		}
	}
}

// newer compares the stored records with a version vector. It returns the live records that are newer than the
// vector, the keys with a higher version in the vector, and the keys in the vector without a live record.
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

// byKeys returns the stored records of the keys.
func (z *zoneRecords) byKeys(keys []recordKey) []record {
	var picked []record
	for _, key := range keys {
		if held, known := z.records[key]; known {
			picked = append(picked, held)
		}
	}
	return picked
}
