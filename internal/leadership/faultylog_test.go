package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// faultyLog is a node's connection to the log. Faults of appends and reads are set separately.
type faultyLog struct {
	eventlog.Log

	mu       sync.Mutex
	onAppend appendFault
	onRead   readFault
}

// appendFault handles an append; call executes it.
type appendFault func(ctx context.Context, record lease.Record, at int64, call func() (int64, error)) (int64, error)

// readFault handles a read; call executes it.
type readFault func(ctx context.Context, call func() (eventlog.Batch, error)) (eventlog.Batch, error)

func newFaultyLog(log eventlog.Log) *faultyLog { return &faultyLog{Log: log} }

// setFaults sets the faults of appends and reads; nil for none.
func (l *faultyLog) setFaults(appends appendFault, reads readFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onAppend, l.onRead = appends, reads
}

func (l *faultyLog) faults() (appendFault, readFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.onAppend, l.onRead
}

// unconditional stands for the expected end in an append without a condition.
const unconditional = -1

// Append implements eventlog.Log.
func (l *faultyLog) Append(ctx context.Context, name eventlog.Partition, records [][]byte) (int64, error) {
	return l.append(ctx, unconditional, records, func() (int64, error) { return l.Log.Append(ctx, name, records) })
}

// AppendAt implements eventlog.Log.
func (l *faultyLog) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	return l.append(ctx, at, records, func() (int64, error) { return l.Log.AppendAt(ctx, name, at, records) })
}

func (l *faultyLog) append(ctx context.Context, at int64, records [][]byte, call func() (int64, error)) (int64, error) {
	fault, _ := l.faults()
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
func (l *faultyLog) Read(
	ctx context.Context, name eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	call := func() (eventlog.Batch, error) { return l.Log.Read(ctx, name, from, limit, wait) }
	if _, fault := l.faults(); fault != nil {
		return fault(ctx, call)
	}
	batch, err := call()
	if _, fault := l.faults(); fault != nil {
		return fault(ctx, func() (eventlog.Batch, error) { return batch, err })
	}
	return batch, err
}

// appendsRefused rejects appends.
func appendsRefused(context.Context, lease.Record, int64, func() (int64, error)) (int64, error) {
	return 0, eventlog.ErrNotPerformed
}

// readsRefused rejects reads.
func readsRefused(context.Context, func() (eventlog.Batch, error)) (eventlog.Batch, error) {
	return eventlog.Batch{}, eventlog.ErrNotPerformed
}

// appendsUnanswered executes appends but never answers them.
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

// refuse makes all calls fail, or none.
func (l *faultyLog) refuse(all bool) {
	if all {
		l.setFaults(appendsRefused, readsRefused)
		return
	}
	l.setFaults(nil, nil)
}
