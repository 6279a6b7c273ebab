package livequeue

import "github.com/corkpulley/corkpulley/internal/core/homes"

// Started records that the slot granted to an entry is now seen as a request at an engine. Next must be called: until
// then, the slot counted as taken in all regions of the entry.
func (q *Queue) Started(entry *Entry) { q.endGrant(entry) }

// Abandon withdraws an entry: its caller left, or it is not sent for another reason. The slot granted to it, if any, is
// free again, so that Next must be called.
func (q *Queue) Abandon(entry *Entry) {
	if entry.State == Waiting {
		q.remove(entry, Left, NotRefused)
		return
	}
	q.endGrant(entry)
}

func (q *Queue) endGrant(entry *Entry) {
	if entry.State == Granted {
		entry.State = Left
		q.services[entry.Service].granted.add(entry.held, -1)
	}
}

// HoldIn holds the slot of a granted entry only in the given regions, once it is known where it is used. Next must be
// called. The slot stays held: requests that could only use the same slot would follow one another to it.
func (q *Queue) HoldIn(entry *Entry, regions homes.Set) {
	if entry.State == Granted {
		granted := &q.services[entry.Service].granted
		granted.add(entry.held, -1)
		granted.add(regions, 1)
		entry.held = regions
	}
}

// hasSlot reports whether the entry may be granted a slot: one is free and not granted, or there are no engines.
func (s *service) hasSlot(entry *Entry, capacity Capacity) bool {
	return capacity.Candidates == 0 || capacity.Free > s.granted.sharing(entry.Regions)
}

// grant holds a slot for the entry in all its regions.
func (s *service) grant(entry *Entry) {
	entry.State, entry.held = Granted, entry.Regions
	s.granted.add(entry.held, 1)
}

// grant takes a waiting entry out of the queue and grants it a slot.
func (q *Queue) grant(entry *Entry) {
	s := q.services[entry.Service]
	class := s.class(entry.Priority)
	class.advance(class.flows[entry.Flow])
	q.remove(entry, Granted, NotRefused)
	s.grant(entry)
}
