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

// errNotHeld is returned where this node does not hold the lease, as far as it has read.
var errNotHeld = errors.New("this node does not hold the lease")

// written is an own record that was not read back yet.
type written struct {
	// sent is when it was composed, before it was sent.
	sent time.Time
	// readBack is closed once it was read.
	readBack chan struct{}
}

// draft is a record that is about to be appended where the log ends at the offset.
type draft struct {
	record lease.Record
	at     int64
	noted  *written
}

// receipt says that the log took a record in the epoch of its holder.
type receipt struct {
	offset int64
	sent   time.Time
}

// maxWritten is the number of records up to which none is forgotten that was not read back.
const maxWritten = 32

// write appends a record of the epoch that this node holds. The log takes it only where it ends as
// this node has read, so that an acknowledgement proves that the epoch is in force at its place. A
// node that does not know of a newer claim gets no acknowledgement.
func (e *Elector) write(ctx context.Context, epoch int64, kind lease.RecordKind, engines []string) (receipt, error) {
	select {
	case e.turn <- struct{}{}:
	case <-ctx.Done():
		return receipt{}, ctx.Err()
	}
	defer func() { <-e.turn }()
	return e.writeInTurn(ctx, epoch, kind, engines)
}

// writeInTurn is write by the one whose turn it is: two at a time would take the same place.
func (e *Elector) writeInTurn(
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
			return receipt{offset: next.at, sent: next.noted.sent}, nil
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
	noted := e.noteLocked(&record)
	if !e.termBegan.IsZero() {
		// One look at the clock for both: the record must not prove time that a permit still has.
		record.Held = noted.sent.Sub(e.termBegan)
	}
	return draft{record: record, at: max(e.state.Next, e.knownEnd), noted: noted}, nil
}

// noteLocked numbers a record and remembers when it was composed; mu is held.
func (e *Elector) noteLocked(record *lease.Record) *written {
	now := e.now()
	if len(e.written) >= maxWritten {
		e.forgetWritten(now)
	}
	e.sequence++
	record.Sequence = e.sequence
	entry := &written{sent: now, readBack: make(chan struct{})}
	e.written[e.sequence] = entry
	return entry
}

// forgetWritten drops records that extend no lease any more, should they still be read back; mu
// is held.
func (e *Elector) forgetWritten(now time.Time) {
	for sequence, entry := range e.written {
		if now.Sub(entry.sent) > e.options.TTL+recordTimeout {
			delete(e.written, sequence)
		}
	}
}

// appendDraft appends a record. It counts as taken once the log says so or it is read back, whichever
// is first: where answers are lost the next record need not wait for a time-out.
func (e *Elector) appendDraft(ctx context.Context, next draft, timeout time.Duration) error {
	answered := make(chan error, 1)
	go func() {
		// It goes on where its caller has read the record back, or has given up: an append that is
		// broken off costs its connection and says nothing of the outcome.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		answered <- e.appendAt(ctx, next.at, next.record)
	}()
	var err error
	select {
	case err = <-answered:
	case <-next.noted.readBack:
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

// catchUp reads up to the offset; false when ctx ended first. It does not wait for the tail, whose
// read may hang: with a third of the reads hanging a holder then had a valid lease 59 % of the time,
// with reads of its own 75 %.
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
// node has been told to stop.
func (e *Elector) claim(ctx context.Context, next int64) {
	e.mu.Lock()
	if e.state.Next != next || e.stopping {
		e.mu.Unlock()
		return
	}
	previous := e.state.Epoch
	record := e.state.NewClaim(e.options.Node, e.options.Holder, e.options.Address)
	noted := e.noteLocked(&record)
	e.claimSent = noted.sent
	e.mu.Unlock()
	// The answer may be lost, and others wait for a lease from reading the claim: it counts as soon as
	// it is read back.
	err := e.appendDraft(ctx, draft{record: record, at: next, noted: noted}, e.options.TTL)
	e.options.Logger.Info().Err(err).Int64("follows_epoch", previous).Int64("offset", next).Msg("leadership claimed")
}

// readBack counts an own record that was read from the log; mu is held. One whose answer was
// lost counts from when it was sent, not from when one like it was sent again.
func (e *Elector) readBack(record lease.Record) {
	if record.Holder != e.options.Holder {
		return
	}
	entry, open := e.written[record.Sequence]
	if !open {
		return
	}
	delete(e.written, record.Sequence)
	close(entry.readBack)
	if record.Kind == lease.Claim || record.Kind == lease.Renew {
		e.extendLocked(e.epochOf(record), entry.sent)
	}
}

// epochOf is the epoch that an own record is of, which was just read; mu is held.
func (e *Elector) epochOf(record lease.Record) int64 {
	if record.Kind == lease.Claim {
		return record.Begins
	}
	return record.Epoch
}
