// Package lease elects a leader through the records of one log partition. Every reader that
// applies the records in order computes the same leader. The package does no I/O and reads no
// clock; callers pass in the time of each event.
//
// An order is a command of the leader to an engine, or a call to the platform, that must not
// overlap with one of another leader. Each is announced by an Order record. The quiet period
// separates the orders of two leaders.
//
// Invariants:
//   - Epochs are monotonic, and an epoch has one holder.
//   - A holder appends a record only if its epoch is current and the log still ends at
//     the offset up to which it has read (conditional append). An appended record
//     therefore proves that the epoch was current at its offset, and no record of a
//     holder follows a later claim. An unconditional append proves neither.
//   - Whether a claim takes effect depends on its offset alone, so readers that missed
//     records agree on it. Older versions append renewals unconditionally and claims
//     without their offset; while these run, readers that missed records may disagree.
//   - A holder measures its lease from before it sent a record, all others from after
//     they read it, so the holder always stops first.
package lease

import "time"

// RecordKind is the kind of a record. Values are stored in the log: never renumber.
type RecordKind uint8

// String returns the name of the kind, for logs.
func (k RecordKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

var kindNames = [...]string{Claim: "claim", Renew: "renew", Release: "release", Order: "order"}

// IsKnown reports whether this build supports the kind.
func (k RecordKind) IsKnown() bool { return k >= Claim && k <= Order }

// The kinds of records.
const (
	Claim RecordKind = iota + 1
	Renew
	Release
	// Order announces that the holder is about to send orders to Record.Engines.
	Order
)

// Record is one record of the partition, encoded as msgpack.
type Record struct {
	Kind   RecordKind `msgpack:"k"`
	Holder string     `msgpack:"h"`
	// Node is the machine's name. A replacement machine may have the same name.
	Node string `msgpack:"n"`
	// Address is the network address that the process keeps bound for its lifetime, so that no two
	// processes have it at the same time; empty if none.
	Address string `msgpack:"a,omitempty"`
	// Epoch is the holder's epoch; in a claim, the epoch that it succeeds.
	Epoch int64 `msgpack:"e"`
	// NewEpoch is the epoch that a claim starts: its own offset plus one. It is zero in claims of
	// older versions, which take effect if Epoch is the current one.
	NewEpoch int64 `msgpack:"b,omitempty"`
	// Sequence numbers the records of one holder.
	Sequence int64 `msgpack:"s,omitempty"`
	// Held is the time from the holder's read of its own claim until it sent this record, by its
	// monotonic clock. It proves to later readers that this much time has passed.
	Held time.Duration `msgpack:"t,omitempty"`
	// Engines are the receivers of an Order.
	Engines []string `msgpack:"g,omitempty"`
}

func (r Record) machine() machine { return machine{node: r.Node, address: r.Address} }

// State is a reader's view of the lease. The zero value is a lease that was never claimed, before offset 0.
type State struct {
	// Epoch is the current fencing token: the offset of its claim plus one; zero before the
	// first claim.
	Epoch    int64
	Holder   string
	Node     string
	Address  string
	Released bool
	// SeenAt is when the newest renewal of the epoch was read, or when a gap that may contain one
	// was found.
	SeenAt time.Time
	// Next is the offset of the next record to read.
	Next int64

	// epochUncertain is true from a gap in the records, which may contain a claim, until a record proves
	// which epoch is current.
	epochUncertain bool
	history        history
}

func (s *State) machine() machine { return machine{node: s.Node, address: s.Address} }

// NewClaim returns a claim that succeeds the current epoch. It must be appended on the condition that
// the log ends at Next.
func (s *State) NewClaim(node, holder, address string) Record {
	return Record{Kind: Claim, Node: node, Holder: holder, Address: address, Epoch: s.Epoch, NewEpoch: s.Next + 1}
}

// Apply applies the record at offset Next, read at the given time, and reports whether the epoch
// changed.
func (s *State) Apply(record Record, at time.Time) bool {
	offset := s.Next
	s.Next++
	s.history.setReadAt(at)
	changed, provesEpoch := s.update(record, offset, at)
	if provesEpoch {
		s.epochUncertain = false
	}
	s.history.closeGap(provesEpoch)
	if record.Kind == Order {
		// The order may have been sent even if the record's epoch has ended.
		s.history.addOrders(record, provesEpoch, at)
	}
	return changed
}

// update applies a record to the lease. It reports whether the epoch changed, and whether the record proves
// that its epoch is current at its offset.
func (s *State) update(record Record, offset int64, at time.Time) (changed, provesEpoch bool) {
	if record.Kind == Claim {
		if !s.takesEffect(record, offset) {
			return false, false
		}
		s.history.beginEpoch(0)
		s.startEpoch(offset+1, record, at)
		return true, true
	}
	switch {
	case record.Epoch < s.Epoch || record.Epoch == 0:
		return false, false
	case record.Epoch > s.Epoch:
		// The claim that started this epoch is among the missed records.
		s.history.beginEpoch(record.Held)
		s.startEpoch(record.Epoch, record, at)
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

// takesEffect reports whether a claim takes effect at the offset.
func (s *State) takesEffect(claim Record, offset int64) bool {
	if claim.NewEpoch == 0 {
		return claim.Epoch == s.Epoch
	}
	return claim.NewEpoch == offset+1
}

func (s *State) startEpoch(epoch int64, record Record, at time.Time) {
	s.Epoch, s.Holder, s.Node, s.Address = epoch, record.Holder, record.Node, record.Address
	s.Released, s.SeenAt = false, at
}

// HeldBy reports whether the epoch is current and held by the holder. It is false after a gap, which may
// contain another claim.
func (s *State) HeldBy(holder string, epoch int64) bool {
	return epoch > 0 && s.Epoch == epoch && s.Holder == holder && !s.Released && !s.epochUncertain
}

// IsStale reports whether the record, the next to apply, belongs to an epoch that has ended: its writer
// had not read a later claim.
func (s *State) IsStale(record Record) bool {
	return (record.Kind == Renew || record.Kind == Order) && record.Epoch < s.Epoch
}

// Skip skips an unreadable record, as SkipTo does.
func (s *State) Skip(at time.Time) { s.SkipTo(s.Next+1, at) }

// SkipTo skips the records before the offset next, which are not available. at is when this was found;
// the lease's TTL restarts there, since the skipped records may contain a renewal.
func (s *State) SkipTo(next int64, at time.Time) {
	if next <= s.Next {
		return
	}
	s.Next = next
	s.SeenAt = at
	s.epochUncertain = true
	s.history.gap = true
}

// Claimable reports whether a process on the node that has bound the address may claim the lease: it was
// never held, is released, is held by an earlier process of the same machine, or was not renewed for ttl
// while the log was reachable. contactSince is the time since which the log has been reachable. After a
// gap, which may contain another claim, only the last condition applies.
func (s *State) Claimable(node, holder, address string, now, contactSince time.Time, ttl time.Duration) bool {
	if !s.epochUncertain && (s.Epoch == 0 || s.Released || s.heldByTerminatedProcess(node, holder, address)) {
		return true
	}
	from := s.SeenAt
	if contactSince.After(from) {
		from = contactSince
	}
	return now.Sub(from) > ttl
}

// heldByTerminatedProcess reports whether the holder has certainly terminated: it ran on this machine and
// had bound the address that this process has bound now. The node name alone proves nothing: the
// machine that this one replaced, or an earlier process on this machine, may still run.
func (s *State) heldByTerminatedProcess(node, holder, address string) bool {
	return s.Holder != holder && s.machine().isSame(machine{node: node, address: address})
}

// MaxBetweenMachines is the upper bound of QuietPeriod.BetweenMachines.
const MaxBetweenMachines = 10 * time.Minute

// QuietPeriod defines the quiet period: the minimum time between orders of two holders.
type QuietPeriod struct {
	// BetweenMachines is the minimum time between orders of two machines.
	BetweenMachines time.Duration
	// MaxArrivalDelay is the maximum time from an Order record until the order arrives at the engine.
	MaxArrivalDelay time.Duration
	// EnginesFence is true if engines reject fencing tokens lower than the highest one seen.
	EnginesFence bool
}

// QuietUntil returns the end of the quiet period, before which the holder must not send orders to the
// engine; the zero time if no quiet period is needed. The period is BetweenMachines plus MaxArrivalDelay
// after a possible order of another machine or a gap, and MaxArrivalDelay after a possible order of the same
// machine in an earlier epoch. If engines reject the fencing tokens of earlier epochs, no period is needed
// after orders of the same machine, nor after those of a holder that released the lease: it does so only when
// its process ends.
func (s *State) QuietUntil(engine string, quiet QuietPeriod) time.Time {
	return s.history.quietUntil(s.Epoch, s.machine(), engine, quiet)
}
