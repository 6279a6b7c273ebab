// Package lease determines the leader from the records of one partition, applied in
// order. Every reader reaches the same result. It has no input, output or clock; the
// time of each event is passed in.
//
// Invariants:
//   - Epochs are monotonic, and an epoch has one holder.
//   - A holder appends each record on the condition that the log ends at the offset
//     up to which it has read, and that its epoch is in force there. An appended
//     record therefore proves that the epoch was in force at its offset, and no record
//     of a holder follows a later claim. An unconditional append proves neither, since
//     its acknowledgement names no epoch.
//   - A claim takes effect by its offset alone, for every reader, whatever records the
//     reader has missed. Older versions append renewals without a condition and claims
//     without their offset; in a cluster with these, readers that missed records may
//     disagree for a while.
//   - A holder measures its lease from before it sent the record, all others from
//     after they read it, so the holder always stops first.
package lease

import "time"

// RecordKind is the kind of a record.
type RecordKind uint8

// String returns the kind as logged.
func (k RecordKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

var kindNames = [...]string{Claim: "claim", Renew: "renew", Release: "release", Order: "order"}

// IsKnown reports whether the kind is one that this build knows.
func (k RecordKind) IsKnown() bool { return k >= Claim && k <= Order }

// The kinds of records.
const (
	Claim RecordKind = iota + 1
	Renew
	Release
	// Order announces that the holder is about to order engines.
	Order
)

// Record is one record of the partition, encoded as msgpack.
type Record struct {
	Kind   RecordKind `msgpack:"k"`
	Holder string     `msgpack:"h"`
	// Node is the machine's name. A replacement machine may have the same name.
	Node string `msgpack:"n"`
	// Address is bound by the process for its lifetime, so that no two processes have it
	// at the same time; empty if there is none.
	Address string `msgpack:"a,omitempty"`
	// Epoch is the holder's epoch; in a claim, the epoch that it succeeds.
	Epoch int64 `msgpack:"e"`
	// Begins is the epoch that a claim begins: its own offset plus one. It is zero in claims
	// of older versions, which win if they name the epoch in force.
	Begins int64 `msgpack:"b,omitempty"`
	// Sequence numbers the records of one holder.
	Sequence int64 `msgpack:"s,omitempty"`
	// Held is the time between the holder's read of its own claim and the sending of this
	// record, by its monotonic clock. It proves to later readers that this time has passed.
	Held time.Duration `msgpack:"t,omitempty"`
	// Engines are the engines of an Order.
	Engines []string `msgpack:"g,omitempty"`
}

func (r Record) machine() machine { return machine{node: r.Node, address: r.Address} }

// State is the lease as a reader knows it.
type State struct {
	// Epoch is the fencing token in force: the offset of its claim plus one.
	// Zero when there was no claim.
	Epoch    int64
	Holder   string
	Node     string
	Address  string
	Released bool
	// SeenAt is when the newest renewal of the epoch was read, or may have been missed.
	SeenAt time.Time
	// Next is the offset of the next record to read.
	Next int64

	// missed is true from a gap in the records until a record proves which epoch is in
	// force: the gap may hide a claim.
	missed  bool
	history history
}

// machine returns the machine of the holder.
func (s *State) machine() machine { return machine{node: s.Node, address: s.Address} }

// NewClaim returns a claim that succeeds the epoch in force. It must be appended on the condition
// that the log ends at Next.
func (s *State) NewClaim(node, holder, address string) Record {
	return Record{Kind: Claim, Node: node, Holder: holder, Address: address, Epoch: s.Epoch, Begins: s.Next + 1}
}

// Apply applies the record at the offset Next, read at the given time, and reports
// whether the epoch changed.
func (s *State) Apply(record Record, at time.Time) bool {
	offset := s.Next
	s.Next++
	s.history.recordRead(at)
	changed, proves := s.update(record, offset, at)
	if proves {
		s.missed = false
	}
	s.history.closeGap(proves)
	if record.Kind == Order {
		// The order may have been sent even if the record's epoch is over.
		s.history.addOrders(record, proves, at)
	}
	return changed
}

// update updates the lease by a record. It reports whether the epoch changed, and whether the
// record proves that its epoch is in force at its offset.
func (s *State) update(record Record, offset int64, at time.Time) (changed, proves bool) {
	if record.Kind == Claim {
		if !s.wins(record, offset) {
			return false, false
		}
		s.history.beginEpoch(0)
		s.adopt(offset+1, record, at)
		return true, true
	}
	switch {
	case record.Epoch < s.Epoch || record.Epoch == 0:
		return false, false
	case record.Epoch > s.Epoch:
		// The winning claim is among the missed records.
		s.history.beginEpoch(record.Held)
		s.adopt(record.Epoch, record, at)
		changed = true
	default:
		s.history.advance(record.Held)
	}
	switch record.Kind {
	case Renew:
		if !s.Released {
			s.SeenAt = at
		}
	case Release:
		s.Released = true
		s.history.markReleased(record.Epoch)
	}
	return changed, true
}

// wins reports whether a claim takes effect at the offset.
func (s *State) wins(claim Record, offset int64) bool {
	if claim.Begins == 0 {
		return claim.Epoch == s.Epoch
	}
	return claim.Begins == offset+1
}

func (s *State) adopt(epoch int64, record Record, at time.Time) {
	s.Epoch, s.Holder, s.Node, s.Address = epoch, record.Holder, record.Node, record.Address
	s.Released, s.SeenAt = false, at
}

// HeldBy reports whether the holder holds the epoch and it is in force. After a gap it is false, since
// the gap may hide another claim.
func (s *State) HeldBy(holder string, epoch int64) bool {
	return epoch > 0 && s.Epoch == epoch && s.Holder == holder && !s.Released && !s.missed
}

// IsBehind reports whether the next record belongs to an epoch that is over: its writer did not
// know of a later claim.
func (s *State) IsBehind(record Record) bool {
	return (record.Kind == Renew || record.Kind == Order) && record.Epoch < s.Epoch
}

// Skip skips an unreadable record.
func (s *State) Skip(at time.Time) { s.SkipTo(s.Next+1, at) }

// SkipTo skips records that the log has dropped, as found at the given time. The last of them
// may be a renewal.
func (s *State) SkipTo(next int64, at time.Time) {
	if next <= s.Next {
		return
	}
	s.Next = next
	s.SeenAt = at
	s.missed = true
	s.history.gap = true
}

// Claimable reports whether a process on the node that has bound the address may claim the
// lease: it was never held, is released, is held by an earlier process of the same machine, or
// was not renewed for ttl while the log was reachable since contactSince. After a gap only the
// last condition applies, since the gap may hide another claim.
func (s *State) Claimable(node, holder, address string, now, contactSince time.Time, ttl time.Duration) bool {
	if !s.missed && (s.Epoch == 0 || s.Released || s.heldByEarlierProcess(node, holder, address)) {
		return true
	}
	from := s.SeenAt
	if contactSince.After(from) {
		from = contactSince
	}
	return now.Sub(from) > ttl
}

// heldByEarlierProcess reports whether the holder is a process that has certainly ended: it ran on
// this machine and had bound the address that this process has bound now. The name alone is no
// proof: a replaced machine may still run, and so may a process that was not waited for.
func (s *State) heldByEarlierProcess(node, holder, address string) bool {
	return s.Holder != holder && s.machine().isSame(machine{node: node, address: address})
}

// MaxQuiet bounds the time between orders of two machines.
const MaxQuiet = 10 * time.Minute

// Quiet defines the minimum time between orders of two holders.
type Quiet struct {
	// Between is the least time between orders of two machines.
	Between time.Duration
	// Arrival is how long after its record an order may still arrive at the engine.
	Arrival time.Duration
	// EnginesFence is true when engines reject fencing tokens lower than the highest one seen.
	EnginesFence bool
}

// QuietUntil returns the time before which the holder must not order the engine: Between and
// Arrival after a possible order of another machine, Arrival after a possible order of the same
// machine in an earlier epoch. It is the zero time when that has certainly passed. A holder
// releases the lease only when its process ends; if engines also reject its fencing token, no
// quiet time follows its orders.
func (s *State) QuietUntil(engine string, quiet Quiet) time.Time {
	return s.history.quietUntil(s.Epoch, s.machine(), engine, quiet)
}
