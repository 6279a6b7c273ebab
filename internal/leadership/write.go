package leadership

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// errNotHeld is returned when this node does not hold the lease, as far as it has read.
var errNotHeld = errors.New("this node does not hold the lease")

// pendingRecord is a record of this node that was not read back yet.
type pendingRecord struct {
	// sent is when it was composed, before the append.
	sent time.Time
	// readBack is closed once it was read.
	readBack chan struct{}
}

// draft is a record to be appended on the condition that the log ends at the offset.
type draft struct {
	record  lease.Record
	at      int64
	pending *pendingRecord
}

// receipt identifies a record that the log accepted in its holder's epoch.
type receipt struct {
	offset int64
	sent   time.Time
}

// maxPending is the number of pending records above which expired ones are dropped.
const maxPending = 32

// write appends a record of the epoch that this node holds, on the condition that the log ends where
// this node has read to. An acknowledgement thus proves that the epoch is in force at the record's
// offset; a node that has missed a newer claim gets none.
func (e *Elector) write(ctx context.Context, epoch int64, kind lease.RecordKind, engines []string) (receipt, error) {
	select {
	case e.writeSlot <- struct{}{}:
	case <-ctx.Done():
		return receipt{}, ctx.Err()
	}
	defer func() { <-e.writeSlot }()
	return e.writeWithSlot(ctx, epoch, kind, engines)
}

// writeWithSlot is write. Must be called with the write slot held: concurrent appends would conflict.
func (e *Elector) writeWithSlot(
	ctx context.Context, epoch int64, kind lease.RecordKind, engines []string,
) (receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for {
		next, err := e.compose(epoch, kind, engines)
		if err != nil {
			return receipt{}, err
		}
		if err = e.appendDraft(ctx, next, recordTimeout); err == nil {
			return receipt{offset: next.at, sent: next.pending.sent}, nil
		}
		var conflict *eventlog.ConflictError
		if !errors.As(err, &conflict) || conflict.End <= next.at || !e.catchUp(ctx, conflict.End) {
			return receipt{}, err
		}
	}
}

// compose returns the next record of the epoch.
func (e *Elector) compose(epoch int64, kind lease.RecordKind, engines []string) (draft, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holdsLocked(epoch) {
		return draft{}, errNotHeld
	}
	record := lease.Record{
		Kind: kind, Holder: e.options.Holder, Node: e.options.Node, Address: e.options.Address,
		Epoch: epoch, Engines: engines,
	}
	pending := e.trackLocked(&record)
	if !e.termBegan.IsZero() {
		// Both times come from one reading of the clock: the record must not prove time that a permit still has.
		record.Held = pending.sent.Sub(e.termBegan)
	}
	return draft{record: record, at: max(e.state.Next, e.knownEnd), pending: pending}, nil
}

// trackLocked numbers a record and adds it to the pending ones. Must be called with mu held.
func (e *Elector) trackLocked(record *lease.Record) *pendingRecord {
	now := e.now()
	if len(e.pending) >= maxPending {
		e.dropExpired(now)
	}
	e.sequence++
	record.Sequence = e.sequence
	entry := &pendingRecord{sent: now, readBack: make(chan struct{})}
	e.pending[e.sequence] = entry
	return entry
}

// dropExpired drops pending records that could no longer extend the lease if read back. Must be
// called with mu held.
func (e *Elector) dropExpired(now time.Time) {
	for sequence, entry := range e.pending {
		if now.Sub(entry.sent) > e.options.TTL+recordTimeout {
			delete(e.pending, sequence)
		}
	}
}

// appendDraft appends a record. The record is accepted once it is acknowledged or read back, whichever
// is first, so that the next record does not wait for the timeout of a lost answer.
func (e *Elector) appendDraft(ctx context.Context, next draft, timeout time.Duration) error {
	answered := make(chan error, 1)
	go func() {
		// The append continues after the record is read back or the caller has left: canceling it would
		// close the connection and leave the outcome unknown.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		answered <- e.appendAt(ctx, next.at, next.record)
	}()
	var err error
	select {
	case err = <-answered:
	case <-next.pending.readBack:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knownEnd = max(e.knownEnd, next.at+1)
	return nil
}

func (e *Elector) appendAt(ctx context.Context, end int64, record lease.Record) error {
	raw, err := msgpack.Marshal(&record)
	if err != nil {
		return errors.Wrap(err, "encode the lease record")
	}
	_, err = e.log.AppendAt(ctx, e.partition, end, [][]byte{raw})
	return err
}

// catchUp reads up to the offset and reports whether it got there before ctx ended. It makes its own
// reads, since the tail's read may hang.
func (e *Elector) catchUp(ctx context.Context, end int64) bool {
	for e.next() < end {
		if err := e.read(ctx, 0); err != nil {
			retry.Sleep(ctx, readGap)
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// claim appends a claim, unless records were read since the lease was found free at the offset, or the
// node is stopping.
func (e *Elector) claim(ctx context.Context, next int64) {
	e.mu.Lock()
	if e.state.Next != next || e.stopping {
		e.mu.Unlock()
		return
	}
	previous := e.state.Epoch
	record := e.state.NewClaim(e.options.Node, e.options.Holder, e.options.Address)
	pending := e.trackLocked(&record)
	e.claimSent = pending.sent
	e.mu.Unlock()
	// Other nodes wait for a TTL from reading the claim, also if its answer is lost, so reading it
	// back is sufficient.
	err := e.appendDraft(ctx, draft{record: record, at: next, pending: pending}, e.options.TTL)
	e.options.Logger.Info().Err(err).Int64("follows_epoch", previous).Int64("offset", next).Msg("leadership claimed")
}

// confirm processes a record of this node that was read back. A record whose answer was lost extends
// the lease from its own sending, not from that of a later retry. Must be called with mu held.
func (e *Elector) confirm(record lease.Record) {
	if record.Holder != e.options.Holder {
		return
	}
	entry, found := e.pending[record.Sequence]
	if !found {
		return
	}
	delete(e.pending, record.Sequence)
	close(entry.readBack)
	if record.Kind == lease.Claim || record.Kind == lease.Renew {
		e.extendLocked(e.epochOf(record), entry.sent)
	}
}

// epochOf returns the epoch of a record of this node.
func (e *Elector) epochOf(record lease.Record) int64 {
	if record.Kind == lease.Claim {
		return record.Begins
	}
	return record.Epoch
}
