package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// link is a node's way to the log, on which a test puts faults of appends and of reads, each alone.
type link struct {
	eventlog.Log

	mu       sync.Mutex
	onAppend appendFault
	onRead   readFault
}

// appendFault decides about an append: call makes it.
type appendFault func(ctx context.Context, record lease.Record, at int64, call func() (int64, error)) (int64, error)

// readFault decides about a read: call makes it.
type readFault func(ctx context.Context, call func() (eventlog.Batch, error)) (eventlog.Batch, error)

func newLink(log eventlog.Log) *link { return &link{Log: log} }

// faults puts faults in the place of those before; nil for none.
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

// anyEnd is the place that an append without a condition names.
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

// Read implements eventlog.Log. A fault that begins while a read is under way decides about its
// answer.
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

// appendsRefused is a log that takes no append and says so.
func appendsRefused(context.Context, lease.Record, int64, func() (int64, error)) (int64, error) {
	return 0, eventlog.ErrNotDone
}

// readsRefused is a log that answers no read and says so.
func readsRefused(context.Context, func() (eventlog.Batch, error)) (eventlog.Batch, error) {
	return eventlog.Batch{}, eventlog.ErrNotDone
}

// appendsUnanswered takes appends and never answers them.
func appendsUnanswered(
	ctx context.Context, _ lease.Record, _ int64, call func() (int64, error),
) (int64, error) {
	_, _ = call()
	<-ctx.Done()
	return 0, eventlog.ErrOutcomeUnknown
}

// appendsAnsweredAfter answers appends late.
func appendsAnsweredAfter(delay time.Duration) appendFault {
	return func(_ context.Context, _ lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		offset, err := call()
		time.Sleep(delay)
		return offset, err
	}
}

// readsAnsweredAfter answers reads late.
func readsAnsweredAfter(delay time.Duration) readFault {
	return func(_ context.Context, call func() (eventlog.Batch, error)) (eventlog.Batch, error) {
		batch, err := call()
		time.Sleep(delay)
		return batch, err
	}
}

// readsHangUntil holds reads until the channel is closed.
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

// refuse takes the link away, or brings it back.
func (l *link) refuse(all bool) {
	if all {
		l.faults(appendsRefused, readsRefused)
		return
	}
	l.faults(nil, nil)
}
