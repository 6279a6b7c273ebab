package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// link is a node's connection to the log, with separate faults for appends and reads.
type link struct {
	eventlog.Log

	mu       sync.Mutex
	onAppend appendFault
	onRead   readFault
}

// appendFault handles an append; call executes it.
type appendFault func(ctx context.Context, record lease.Record, at int64, call func() (int64, error)) (int64, error)

// readFault handles a read; call executes it.
type readFault func(ctx context.Context, call func() (eventlog.Batch, error)) (eventlog.Batch, error)

func newLink(log eventlog.Log) *link { return &link{Log: log} }

// faults replaces the faults; nil for none.
func (l *link) faults(appends appendFault, reads readFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onAppend, l.onRead = appends, reads
}

func (l *link) current() (appendFault, readFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.onAppend, l.onRead
}

// anyEnd is the end of an unconditional append.
const anyEnd = -1

// Append implements eventlog.Log.
func (l *link) Append(ctx context.Context, name eventlog.Partition, records [][]byte) (int64, error) {
	return l.append(ctx, anyEnd, records, func() (int64, error) { return l.Log.Append(ctx, name, records) })
}

// AppendAt implements eventlog.Log.
func (l *link) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	return l.append(ctx, at, records, func() (int64, error) { return l.Log.AppendAt(ctx, name, at, records) })
}

func (l *link) append(ctx context.Context, at int64, records [][]byte, call func() (int64, error)) (int64, error) {
	fault, _ := l.current()
	if fault == nil {
		return call()
	}
	var record lease.Record
	if err := msgpack.Unmarshal(records[0], &record); err != nil {
		return 0, err
	}
	return fault(ctx, record, at, call)
}

// Read implements eventlog.Log. A fault that begins during a read applies to its answer.
func (l *link) Read(
	ctx context.Context, name eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	call := func() (eventlog.Batch, error) { return l.Log.Read(ctx, name, from, limit, wait) }
	if _, fault := l.current(); fault != nil {
		return fault(ctx, call)
	}
	batch, err := call()
	if _, fault := l.current(); fault != nil {
		return fault(ctx, func() (eventlog.Batch, error) { return batch, err })
	}
	return batch, err
}

// appendsRefused rejects appends.
func appendsRefused(context.Context, lease.Record, int64, func() (int64, error)) (int64, error) {
	return 0, eventlog.ErrNotDone
}

// readsRefused rejects reads.
func readsRefused(context.Context, func() (eventlog.Batch, error)) (eventlog.Batch, error) {
	return eventlog.Batch{}, eventlog.ErrNotDone
}

// appendsUnanswered executes appends and never answers them.
func appendsUnanswered(
	ctx context.Context, _ lease.Record, _ int64, call func() (int64, error),
) (int64, error) {
	_, _ = call()
	<-ctx.Done()
	return 0, eventlog.ErrOutcomeUnknown
}

// appendsAnsweredAfter delays the answers of appends.
func appendsAnsweredAfter(delay time.Duration) appendFault {
	return func(_ context.Context, _ lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		offset, err := call()
		time.Sleep(delay)
		return offset, err
	}
}

// readsAnsweredAfter delays the answers of reads.
func readsAnsweredAfter(delay time.Duration) readFault {
	return func(_ context.Context, call func() (eventlog.Batch, error)) (eventlog.Batch, error) {
		batch, err := call()
		time.Sleep(delay)
		return batch, err
	}
}

// readsHangUntil blocks reads until the channel is closed.
func readsHangUntil(released <-chan struct{}) readFault {
	return func(ctx context.Context, call func() (eventlog.Batch, error)) (eventlog.Batch, error) {
		select {
		case <-released:
			return call()
		case <-ctx.Done():
			return eventlog.Batch{}, ctx.Err()
		}
	}
}

// refuse breaks or restores the link.
func (l *link) refuse(all bool) {
	if all {
		l.faults(appendsRefused, readsRefused)
		return
	}
	l.faults(nil, nil)
}
