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

// maxDeletions is how many deletions a replica remembers. A reader that may have missed
// an older one reads whole.
const maxDeletions = 4096

// Replica holds the newest record of each key of a followed topic, for nodes that do not
// read the log themselves. It is safe for concurrent use.
//
// Invariant: what it tells is what the log said at the time of its age or later, and
// offsets are those of the log, so a reader may change between replicas and the log.
type Replica struct {
	mu      sync.Mutex
	records map[string]entry
	// order holds the offsets at which records were kept, with their keys, rising; some were followed by newer
	// ones of their keys. So a reader costs what is new to it, and not a look at all records.
	order []place
	// deleted counts the records without a value; deletions below forgotten were dropped.
	deleted   int
	forgotten int64
	next      int64
	// contactAt is the newest moment at which this was all there was, by the clock of
	// package boottime: a machine that was suspended knows nothing of the time since.
	contactAt time.Time
	// now reads that clock.
	now func() time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// entry is the newest record of a key.
type entry struct {
	eventlog.KeyedRecord
	// class is that of the record; empty for one that all readers get.
	class string
}

// place is where a record of a key stands.
type place struct {
	offset int64
	key    string
}

// spareOrder is how many places may be of records that were followed by newer ones, beside as many as there are
// records, before they are dropped.
const spareOrder = 1024

// isFor tells whether a reader that leaves out some classes gets the entry.
func (e entry) isFor(leftOut []string) bool {
	return e.class == "" || !slices.Contains(leftOut, e.class)
}

func newReplica() *Replica {
	return &Replica{records: make(map[string]entry), changed: make(chan struct{}), now: boottime.Now}
}

// take keeps a record of a class that the follower has handled. A deletion is for those who got what was
// deleted. A key whose class changes is for all from then on: those who left out the new class have the old
// record.
func (r *Replica) take(record eventlog.KeyedRecord, class string) {
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
		r.deleted--
	}
	if record.Deleted {
		r.deleted++
	}
	if !found || known.Offset != record.Offset {
		r.keepPlace(place{offset: record.Offset, key: record.Key})
	}
	r.records[record.Key] = entry{KeyedRecord: record, class: class}
	if r.deleted > maxDeletions {
		r.forgetDeletions()
	}
}

// keepPlace notes where a record stands; mu is held. Only one that was missed before comes out of order.
func (r *Replica) keepPlace(kept place) {
	if len(r.order) > 2*len(r.records)+spareOrder {
		r.order = slices.DeleteFunc(r.order, func(each place) bool { return r.records[each.key].Offset != each.offset })
	}
	at := len(r.order)
	for at > 0 && r.order[at-1].offset > kept.offset {
		at--
	}
	r.order = slices.Insert(r.order, at, kept)
}

// forgetDeletions drops all deletions; mu is held.
func (r *Replica) forgetDeletions() {
	for key, record := range r.records {
		if record.Deleted {
			r.forgotten = max(r.forgotten, record.Offset+1)
			delete(r.records, key)
		}
	}
	r.deleted = 0
}

// reached notes that at the given time there was nothing from next on. A read may leave
// records beyond a megabyte to the next one, which follows within a read's gap.
func (r *Replica) reached(next int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contactAt = at
	if next > r.next {
		r.next = next
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// age is the time since this was last known to be all there was.
func (r *Replica) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.contactAt)
}

// Newest returns the newest record of each key but those of the classes left out, and the age of that
// knowledge; false until the topic was read whole.
func (r *Replica) Newest(leftOut []string) (eventlog.KeyedBatch, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := eventlog.KeyedBatch{Next: r.next}
	for _, record := range r.records {
		if !record.Deleted && record.isFor(leftOut) {
			batch.Records = append(batch.Records, record.KeyedRecord)
		}
	}
	return batch, r.now().Sub(r.contactAt), !r.contactAt.IsZero()
}

// Read returns the records from an offset on but those of the classes left out, waiting for one up to the
// given time, and the age of that knowledge. A reader that may have missed a deletion gets a
// *eventlog.GoneError.
func (r *Replica) Read(
	ctx context.Context, from int64, wait time.Duration, leftOut []string,
) (eventlog.KeyedBatch, time.Duration, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		batch, err := r.since(from, leftOut)
		age, changed := r.now().Sub(r.contactAt), r.changed
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

// since returns what is known from an offset on; mu is held.
func (r *Replica) since(from int64, leftOut []string) (eventlog.KeyedBatch, error) {
	if from < r.forgotten {
		return eventlog.KeyedBatch{}, &eventlog.GoneError{First: r.forgotten}
	}
	// A reader that comes from a replica which knows more keeps its place.
	batch := eventlog.KeyedBatch{Next: max(from, r.next)}
	first, _ := slices.BinarySearchFunc(r.order, from, func(each place, from int64) int {
		return cmp.Compare(each.offset, from)
	})
	for _, each := range r.order[first:] {
		if each.offset >= r.next {
			break
		}
		record, found := r.records[each.key]
		if found && record.Offset == each.offset && record.isFor(leftOut) {
			batch.Records = append(batch.Records, record.KeyedRecord)
		}
	}
	return batch, nil
}
