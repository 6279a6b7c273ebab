package follow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// maxDeletions is how many deletions a replica keeps. A reader that may have missed an older one has to make a full
// read.
const maxDeletions = 4096

// Replica holds the newest record of each key of a followed topic, for nodes that do not read the log themselves.
// It is safe for concurrent use.
//
// Invariant: its content is at least as new as its age says, and offsets are those of the log, so that a reader may
// switch between replicas and the log.
type Replica struct {
	mu      sync.Mutex
	records map[string]entry
	// positions holds the offsets and keys of records in ascending order, possibly including replaced ones. It lets
	// a reader find new records without scanning all.
	positions []position
	// deletions counts the deletions in records; those at offsets below droppedBefore are no longer kept.
	deletions     int
	droppedBefore int64
	next          int64
	// upToDateAt is the latest time at which the replica was up to date, by the clock of package boottime, which
	// advances while the machine is suspended.
	upToDateAt time.Time
	now        func() time.Time
	// changed is closed and replaced whenever next advances.
	changed chan struct{}
}

type entry struct {
	eventlog.KeyedRecord
	// class is empty for a record that all readers receive.
	class string
}

// position is the offset of a record and its key.
type position struct {
	offset int64
	key    string
}

// maxObsoletePositions is how many positions of replaced records may be kept, in addition to as many as there are
// records.
const maxObsoletePositions = 1024

// isIncluded reports whether a reader that excludes some classes receives the entry.
func (e entry) isIncluded(excluded []string) bool {
	return e.class == "" || !slices.Contains(excluded, e.class)
}

func newReplica() *Replica {
	return &Replica{records: make(map[string]entry), changed: make(chan struct{}), now: boottime.Now}
}

// put stores a record that the follower has handled, and its class. A deletion takes the class of the deleted record.
// A key whose class changes is included for all readers from then on: those that exclude the new class hold the old
// record.
func (r *Replica) put(record eventlog.KeyedRecord, class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.records[record.Key]
	switch {
	case record.Deleted:
		class = known.class
	case found && known.class != class:
		class = ""
	}
	if known.Deleted {
		r.deletions--
	}
	if record.Deleted {
		r.deletions++
	}
	if !found || known.Offset != record.Offset {
		r.insertPosition(position{offset: record.Offset, key: record.Key})
	}
	r.records[record.Key] = entry{KeyedRecord: record, class: class}
	if r.deletions > maxDeletions {
		r.dropDeletions()
	}
}

// insertPosition inserts the position of a record. Only records that were missed before arrive out of order. Must
// be called with mu held.
func (r *Replica) insertPosition(inserted position) {
	if len(r.positions) > 2*len(r.records)+maxObsoletePositions {
		r.positions = slices.DeleteFunc(r.positions, func(each position) bool {
			return r.records[each.key].Offset != each.offset
		})
	}
	at := len(r.positions)
	for at > 0 && r.positions[at-1].offset > inserted.offset {
		at--
	}
	r.positions = slices.Insert(r.positions, at, inserted)
}

// dropDeletions drops all deletions. Must be called with mu held.
func (r *Replica) dropDeletions() {
	for key, record := range r.records {
		if record.Deleted {
			r.droppedBefore = max(r.droppedBefore, record.Offset+1)
			delete(r.records, key)
		}
	}
	r.deletions = 0
}

// advance records that the replica holds all records below next and was up to date at the given time. A read that
// reached its size limit left out newer records; the next read, readGap later, returns them.
func (r *Replica) advance(next int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upToDateAt = at
	if next > r.next {
		r.next = next
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// age returns the time since the replica was last known to be up to date.
func (r *Replica) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.upToDateAt)
}

// Newest returns the newest record of each key except for the excluded classes, and the age of the replica; false
// until the first full read.
func (r *Replica) Newest(excluded []string) (eventlog.KeyedBatch, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := eventlog.KeyedBatch{Next: r.next}
	for _, record := range r.records {
		if !record.Deleted && record.isIncluded(excluded) {
			batch.Records = append(batch.Records, record.KeyedRecord)
		}
	}
	return batch, r.now().Sub(r.upToDateAt), !r.upToDateAt.IsZero()
}

// Read returns the newest records at offsets from on except for the excluded classes, and the age of the replica.
// It waits up to wait for a record. It returns a *eventlog.TrimmedError if the reader may have missed a deletion.
func (r *Replica) Read(
	ctx context.Context, from int64, wait time.Duration, excluded []string,
) (eventlog.KeyedBatch, time.Duration, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		batch, err := r.readFrom(from, excluded)
		age, changed := r.now().Sub(r.upToDateAt), r.changed
		r.mu.Unlock()
		if err != nil || len(batch.Records) > 0 {
			return batch, age, err
		}
		select {
		case <-ctx.Done():
			return batch, age, nil
		case <-timer.C:
			return batch, age, nil
		case <-changed:
		}
	}
}

// readFrom returns the records at offsets from on. Must be called with mu held.
func (r *Replica) readFrom(from int64, excluded []string) (eventlog.KeyedBatch, error) {
	if from < r.droppedBefore {
		return eventlog.KeyedBatch{}, &eventlog.TrimmedError{First: r.droppedBefore}
	}
	// A reader that comes from a more recent replica keeps its offset.
	batch := eventlog.KeyedBatch{Next: max(from, r.next)}
	first, _ := slices.BinarySearchFunc(r.positions, from, func(each position, from int64) int {
		return cmp.Compare(each.offset, from)
	})
	for _, each := range r.positions[first:] {
		if each.offset >= r.next {
			break
		}
		record, found := r.records[each.key]
		if found && record.Offset == each.offset && record.isIncluded(excluded) {
			batch.Records = append(batch.Records, record.KeyedRecord)
		}
	}
	return batch, nil
}
