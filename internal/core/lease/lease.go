// Package lease decides who leads, from the records of one partition read in
// order. Every reader comes to the same answer. It has no input, output or
// clock; every event comes with its time.
//
// Invariants:
//   - Epochs only rise, and an epoch has one holder.
//   - Every record of a holder is appended on the condition that the log ends where
//     the holder has read to, and its epoch is in force there. So what the log took
//     is proof that the epoch was in force at that place, and no record of a holder
//     stands behind a later claim. A plain append proves neither: its
//     acknowledgement names no epoch, and two holders were seen to order engines for
//     half a lease by it.
//   - A claim counts by its place alone, for every reader, whatever it has missed.
//     Programs of before append renewals without a condition and claims without
//     their place; beside these, readers that missed records may differ for a while.
//   - A holder counts its lease from before it sent the record that took effect, all
//     others from after they read it, so the holder always stops first.
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

// IsKnown reports whether the kind is one that this build knows.
func (k RecordKind) IsKnown() bool { return k >= Claim && k <= Order }

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
	// Node is the machine's name, which another machine may be given.
	Node string `msgpack:"n"`
	// Address is held by the process for as long as it lives, so that no two processes
	// have it at one time; empty when it holds none.
	Address string `msgpack:"a,omitempty"`
	// Epoch is the holder's own; for a claim, the epoch that it follows.
	Epoch int64 `msgpack:"e"`
	// Begins is the epoch that a claim begins: its own offset plus one. Zero in claims
	// of programs that did not write it, which count where they name the epoch in force.
	Begins int64 `msgpack:"b,omitempty"`
	// Sequence numbers the records of one holder.
	Sequence int64 `msgpack:"s,omitempty"`
	// Held is the time from when the holder read its own claim to when it sent this
	// record, by its steady clock. So the log proves that a time has passed to those
	// who read it later.
	Held time.Duration `msgpack:"t,omitempty"`
	// Engines are the engines that an Order is about.
	Engines []string `msgpack:"g,omitempty"`
}

func (r Record) machine() machine { return machine{node: r.Node, address: r.Address} }

// State is what a reader knows of the lease.
type State struct {
	// Epoch is the fencing token in force: the offset of its claim plus one.
	// Zero when nobody ever claimed.
	Epoch    int64
	Holder   string
	Node     string
	Address  string
	Released bool
	// SeenAt is when the newest renewal of the epoch was read, or may have been missed.
	SeenAt time.Time
	// Next is the offset of the next record to read.
	Next int64

	// missed is true while records are missing since which no record told the epoch in
	// force: another one may be by now.
	missed  bool
	history history
}

// machine is that of the holder in force.
func (s *State) machine() machine { return machine{node: s.Node, address: s.Address} }

// NewClaim is the claim of a process that has read all records so far. It must be appended on the
// condition that the log ends at Next.
func (s *State) NewClaim(node, holder, address string) Record {
	return Record{Kind: Claim, Node: node, Holder: holder, Address: address, Epoch: s.Epoch, Begins: s.Next + 1}
}

// Apply takes the record at the offset Next, read at the given time. It reports
// whether the epoch changed.
func (s *State) Apply(record Record, at time.Time) bool {
	offset := s.Next
	s.Next++
	s.history.read(at)
	changed, proves := s.take(record, offset, at)
	if proves {
		s.missed = false
	}
	s.history.settle(proves)
	if record.Kind == Order {
		// One of an earlier epoch may have been followed by its order all the same.
		s.history.ordered(record, proves, at)
	}
	return changed
}

// take applies what a record says of the lease. It reports whether the epoch changed, and whether
// the record proves that its epoch is in force at its place.
func (s *State) take(record Record, offset int64, at time.Time) (changed, proves bool) {
	if record.Kind == Claim {
		if !s.wins(record, offset) {
			return false, false
		}
		s.history.began(0)
		s.adopt(offset+1, record, at)
		return true, true
	}
	switch {
	case record.Epoch < s.Epoch || record.Epoch == 0:
		return false, false
	case record.Epoch > s.Epoch:
		// The claim was won in records that are no longer kept.
		s.history.began(record.Held)
		s.adopt(record.Epoch, record, at)
		changed = true
	default:
		s.history.heard(record.Held)
	}
	switch record.Kind {
	case Renew:
		if !s.Released {
			s.SeenAt = at
		}
	case Release:
		s.Released = true
		s.history.released(record.Epoch)
	}
	return changed, true
}

// wins tells whether a claim takes effect at the offset.
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

// HeldBy tells whether the holder has the epoch in force. Where records are missing it may have lost
// it in one of them.
func (s *State) HeldBy(holder string, epoch int64) bool {
	return epoch > 0 && s.Epoch == epoch && s.Holder == holder && !s.Released && !s.missed
}

// IsBehind tells whether a record that comes next is one of a holder whose epoch is over: it
// was written after another claim had won. It tells an observer that its writer did not know.
func (s *State) IsBehind(record Record) bool {
	return (record.Kind == Renew || record.Kind == Order) && record.Epoch < s.Epoch
}

// Skip passes over a record that cannot be read.
func (s *State) Skip(at time.Time) { s.SkipTo(s.Next+1, at) }

// SkipTo passes over records that are no longer kept, as found at the given time. The holder
// may have renewed in the last of them.
func (s *State) SkipTo(next int64, at time.Time) {
	if next <= s.Next {
		return
	}
	s.Next = next
	s.SeenAt = at
	s.missed = true
	s.history.gap = true
}

// Claimable tells whether the lease may be claimed by a process on the node that holds
// the address: never held, released, held by an earlier process of the same machine, or not
// renewed for ttl while the log was in reach since contactSince. Where records are missing
// it is always the last: what was known before them may be over.
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

// heldByEarlierProcess tells whether the holder is a process that has ended for certain: it was on
// this machine and held the address that this process holds now. A name alone says nothing of
// that: a machine that was replaced may still run, and so may a process that was not
// waited for.
func (s *State) heldByEarlierProcess(node, holder, address string) bool {
	return s.Holder != holder && s.machine().same(machine{node: node, address: address})
}

// MaxQuiet bounds the time between orders of two machines.
const MaxQuiet = 10 * time.Minute

// Quiet says how long orders of two holders must lie apart.
type Quiet struct {
	// Between is the least time between orders of two machines.
	Between time.Duration
	// Arrival is how long after its record an order may still arrive.
	Arrival time.Duration
	// EnginesFence is true when engines refuse lower fencing tokens than one seen.
	EnginesFence bool
}

// QuietUntil is the time before which the holder in force may not order the engine: after
// another machine may have ordered it, the time between and the arrival; after the same machine
// may have in an earlier epoch, the arrival alone. It is the zero time when that has passed for
// certain. A holder that gave the lease up, which it does only where its process ends, orders no
// more; where engines refuse its fencing token as well, it needs no quiet time.
func (s *State) QuietUntil(engine string, quiet Quiet) time.Time {
	return s.history.quietUntil(s.Epoch, s.machine(), engine, quiet)
}
