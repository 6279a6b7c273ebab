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

// String returns the kind as it stands in logs.
func (k RecordKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

var kindNames = [...]string{Claim: "claim", Renew: "renew", Release: "release", Order: "order"}

// The kinds of records.
const (
	Claim RecordKind = iota + 1
	Renew
	Release
	// Order says that the holder is about to order engines.
	Order
)

// Record is one record of the partition, encoded as msgpack.
type Record struct {
	Kind   RecordKind `msgpack:"k"`
	Holder string     `msgpack:"h"`
	// Node is the machine's name. A machine runs one process at a time.
	Node string `msgpack:"n"`
	// Epoch is the holder's own; for a claim, the epoch that it follows.
	Epoch int64 `msgpack:"e"`
	// Sequence numbers the renewals of one holder.
	Sequence int64 `msgpack:"s,omitempty"`
	// Held is the time from when the holder read its own claim to when it sent this
	// record, by its steady clock. So the log proves that a time has passed to those
	// who read it later.
	Held time.Duration `msgpack:"t,omitempty"`
	// Engines are the engines that an Order is about.
	Engines []string `msgpack:"g,omitempty"`
}

// State is what a reader knows of the lease.
type State struct {
	// Epoch is the fencing token in force: the offset of its claim plus one.
	// Zero when nobody ever claimed.
	Epoch    int64
	Holder   string
	Node     string
	Released bool
	// SeenAt is when the newest record of the epoch was read.
	SeenAt time.Time
	// Next is the offset of the next record to read.
	Next int64

	history history
}

// Apply takes the record at the offset Next, read at the given time. It reports
// whether the epoch changed.
func (s *State) Apply(record Record, at time.Time) bool {
	offset := s.Next
	s.Next++
	s.history.read(at)
	switch record.Kind {
	case Claim:
		if record.Epoch != s.Epoch {
			return false
		}
		s.history.began(0)
		s.adopt(offset+1, record, at)
		return true
	case Renew:
		if record.Epoch > s.Epoch {
			// The claim was won in records that are no longer kept.
			s.history.began(record.Held)
			s.adopt(record.Epoch, record, at)
			return true
		}
		if record.Epoch == s.Epoch && !s.Released {
			s.SeenAt = at
			s.history.heard(record.Held)
		}
	case Release:
		if record.Epoch == s.Epoch {
			s.Released = true
			s.history.released(record.Node)
		}
	case Order:
		if record.Epoch == s.Epoch {
			s.history.heard(record.Held)
		}
		// One of an earlier epoch may have been followed by its order all the same.
		s.history.ordered(record.Node, record.Engines, at)
	}
	return false
}

func (s *State) adopt(epoch int64, record Record, at time.Time) {
	s.Epoch, s.Holder, s.Node, s.Released, s.SeenAt = epoch, record.Holder, record.Node, false, at
}

// IsBehind tells whether a record that comes next is one of a holder whose epoch is over: it
// was written after another claim had won. It tells an observer that its writer did not know.
func (s *State) IsBehind(record Record) bool {
	return (record.Kind == Renew || record.Kind == Order) && record.Epoch < s.Epoch
}

// Skip passes over a record that cannot be read.
func (s *State) Skip() { s.SkipTo(s.Next + 1) }

// SkipTo passes over records that are no longer kept.
func (s *State) SkipTo(next int64) {
	s.Next = max(s.Next, next)
	s.history.gap = true
}

// Claimable tells whether the lease may be claimed by a process on the node:
// never held, released, held by an earlier process of the same machine, or not
// renewed for ttl while the log was in reach since contactSince.
func (s *State) Claimable(node, holder string, now, contactSince time.Time, ttl time.Duration) bool {
	if s.Epoch == 0 || s.Released {
		return true
	}
	if s.Node == node && s.Holder != holder {
		// A machine runs one process at a time: the holder is no more.
		return true
	}
	from := s.SeenAt
	if contactSince.After(from) {
		from = contactSince
	}
	return now.Sub(from) > ttl
}

// QuietUntil is the time before which the node in force may not order the engine:
// quiet after another machine may have ordered it last, or the zero time when that
// has passed for certain. A holder that gave the lease up orders no more; where
// engines refuse its fencing token as well, it needs no quiet time.
func (s *State) QuietUntil(engine string, quiet time.Duration, enginesFence bool) time.Time {
	return s.history.quietUntil(s.Node, engine, quiet, enginesFence)
}
