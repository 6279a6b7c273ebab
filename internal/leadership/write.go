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

// pendingRecord is a record of this node that has not been read back yet.
type pendingRecord struct {
	// sent is when the record was composed, before the append.
	sent time.Time
	// readBack is closed once the record was read back.
	readBack chan struct{}
}

// draft is a record to be appended on the condition that the log ends at offset at.
type draft struct {
	record  lease.Record
	at      int64
	pending *pendingRecord
}

// receipt describes a record that was accepted while its holder's epoch was in force.
type receipt struct {
	offset int64
	sent   time.Time
}

// pendingPruneThreshold is the number of pending records at which expired ones are dropped.
const pendingPruneThreshold = 32

// write appends a record of the epoch that this node holds, on the condition that the log ends at the offset up to
// which this node has read. An acknowledgement therefore proves that the epoch is in force at the record's offset;
// the append of a node that has missed a newer claim fails.
func (e *Elector) write(ctx context.Context, epoch int64, kind lease.RecordKind, engines []string) (receipt, error) {
	select {
	case e.writeSlot <- struct{}{}:
	case <-ctx.Done():
		return receipt{}, ctx.Err()
	}
	defer func() { <-e.writeSlot }()
	return e.writeWithSlot(ctx, epoch, kind, engines)
}

// writeWithSlot implements write. Must be called with the write slot held, since concurrent appends would conflict.
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
	if !e.termStart.IsZero() {
		// Held ends at the clock reading from which the permit of this record is counted, since the machine may be
		// suspended between two readings.
		record.Held = pending.sent.Sub(e.termStart)
	}
	return draft{record: record, at: max(e.state.Next, e.knownEnd), pending: pending}, nil
}

// trackLocked assigns a record its sequence number and adds it to the pending ones. Must be called with mu held.
func (e *Elector) trackLocked(record *lease.Record) *pendingRecord {
	now := e.now()
	if len(e.pending) >= pendingPruneThreshold {
		e.dropExpired(now)
	}
	e.sequence++
	record.Sequence = e.sequence
	entry := &pendingRecord{sent: now, readBack: make(chan struct{})}
	e.pending[e.sequence] = entry
	return entry
}

// dropExpired drops pending records that are too old to extend the lease. Must be called with mu held.
func (e *Elector) dropExpired(now time.Time) {
	for sequence, entry := range e.pending {
		if now.Sub(entry.sent) > e.options.TTL+recordTimeout {
			delete(e.pending, sequence)
		}
	}
}

// appendDraft appends a record. It returns once the record is acknowledged or read back, so that a lost answer does not
// delay the next record until the timeout.
func (e *Elector) appendDraft(ctx context.Context, next draft, timeout time.Duration) error {
	answered := make(chan error, 1)
	go func() {
		// The append is not canceled when the record is read back or the caller returns: canceling would close the
		// connection and leave the outcome unknown.
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

// catchUp reads up to the offset and reports whether it reached it before ctx ended. It does not rely on the tail's
// read, which may hang.
func (e *Elector) catchUp(ctx context.Context, end int64) bool {
	for e.next() < end {
		if err := e.read(ctx, 0); err != nil {
			retry.Sleep(ctx, readInterval)
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// claim appends a claim at the offset at which the lease was found free, unless records were read since or the node is
// stopping.
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
	// Other nodes wait for a TTL after they read the claim, whether or not its answer is lost, so reading it back is
	// sufficient.
	err := e.appendDraft(ctx, draft{record: record, at: next, pending: pending}, e.options.TTL)
	e.options.Logger.Info().Err(err).Int64("follows_epoch", previous).Int64("offset", next).Msg("leadership claim sent")
}

// confirm processes a record of this node that was read back. The lease is extended from when this record was sent, not
// from when a retry was. Must be called with mu held.
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

// epochOf returns the epoch that a record of this node belongs to; for a claim, the one that it begins.
func (e *Elector) epochOf(record lease.Record) int64 {
	if record.Kind == lease.Claim {
		return record.NewEpoch
	}
	return record.Epoch
}
