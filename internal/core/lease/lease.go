// Package lease decides who leads, from the records of one partition read in
// order. Every reader comes to the same answer. It has no input, output or
// clock; every event comes with its time.
//
// Invariants: epochs only rise; an epoch has one holder; a claim wins only if it
// names the epoch in force at its place in the log. A holder counts its lease
// from before it sent a renewal, all others from after they read it, so the
// holder always stops first.
package lease

import "time"

// RecordKind is what a record does.
type RecordKind uint8

// The kinds of records.
const (
	Claim RecordKind = iota + 1
	Renew
	Release
)

// Record is one record of the partition, encoded as msgpack.
type Record struct {
	Kind   RecordKind `msgpack:"k"`
	Holder string     `msgpack:"h"`
	// Epoch is the holder's own; for a claim, the epoch that it follows.
	Epoch int64 `msgpack:"e"`
}

// State is what a reader knows of the lease.
type State struct {
	// Epoch is the fencing token in force: the offset of its claim plus one.
	// Zero when nobody ever claimed.
	Epoch    int64
	Holder   string
	Released bool
	// SeenAt is when the newest record of the epoch was read.
	SeenAt time.Time
	// Next is the offset of the next record to read.
	Next int64
}

// Apply takes the record at the offset Next, read at the given time. It reports
// whether the epoch changed.
func (s *State) Apply(record Record, at time.Time) bool {
	offset := s.Next
	s.Next++
	switch record.Kind {
	case Claim:
		if record.Epoch != s.Epoch {
			return false
		}
		s.Epoch, s.Holder, s.Released, s.SeenAt = offset+1, record.Holder, false, at
		return true
	case Renew:
		if record.Epoch > s.Epoch {
			// The claim was won in records that are no longer kept.
			s.Epoch, s.Holder, s.Released, s.SeenAt = record.Epoch, record.Holder, false, at
			return true
		}
		if record.Epoch == s.Epoch && !s.Released {
			s.SeenAt = at
		}
	case Release:
		if record.Epoch == s.Epoch {
			s.Released = true
		}
	}
	return false
}

// Skip passes over a record that cannot be read.
func (s *State) Skip() { s.Next++ }

// Claimable tells whether the lease may be claimed: never held, released, or
// not renewed for ttl while the log was in reach since contactSince.
func (s *State) Claimable(now, contactSince time.Time, ttl time.Duration) bool {
	if s.Epoch == 0 || s.Released {
		return true
	}
	from := s.SeenAt
	if contactSince.After(from) {
		from = contactSince
	}
	return now.Sub(from) > ttl
}
