// Package narrowlog stands in for a log of limited read bandwidth.
package narrowlog

import (
	"context"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

const (
	// backlog is how much may wait before reads are refused.
	backlog = 2 * time.Second
	// readTimeout and newestTimeout are how long readers wait beyond the time that they allow.
	readTimeout   = 900 * time.Millisecond
	newestTimeout = 1800 * time.Millisecond
)

// Log serves reads at a rate that all readers share, in the order in which they arrive. A read that it has admitted
// takes its time also when its reader has left. It implements eventlog.Log.
type Log struct {
	*memlog.Log
	bytesPerSecond int

	mu        sync.Mutex
	busyUntil time.Time
	usage     Usage
	// refused is a topic whose reads are refused; empty for none.
	refused string
}

var _ eventlog.Log = (*Log)(nil)

// Usage is what a log has served.
type Usage struct {
	// Bytes is the size of the records of admitted reads, Lost that of reads whose readers had left.
	Bytes, Lost int
	// FullReads is the number of admitted full reads.
	FullReads int
}

// New returns a log that serves the records of another one.
func New(log *memlog.Log, bytesPerSecond int) *Log {
	return &Log{Log: log, bytesPerSecond: bytesPerSecond}
}

// Refuse has all reads of a topic refused.
func (l *Log) Refuse(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = topic
}

// Usage returns what was served so far.
func (l *Log) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage
}

// admit refuses a read while too much is waiting.
func (l *Log) admit(topic string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if topic == l.refused || time.Until(l.busyUntil) > backlog {
		return eventlog.ErrNotDone
	}
	return nil
}

// transfer takes the time of serving so many bytes.
func (l *Log) transfer(ctx context.Context, bytes int) error {
	l.mu.Lock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	l.usage.Bytes += bytes
	timer := time.NewTimer(time.Until(l.busyUntil))
	l.mu.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.usage.Lost += bytes
		return ctx.Err()
	}
}

// Read implements eventlog.Log.
func (l *Log) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	if err := l.admit(partition.Topic); err != nil {
		return eventlog.Batch{}, err
	}
	batch, err := l.Log.Read(ctx, partition, from, limit, wait)
	if err != nil {
		return eventlog.Batch{}, err
	}
	size := 0
	for _, record := range batch.Records {
		size += len(record)
	}
	return batch, l.transfer(ctx, size)
}

// ReadKeyed implements eventlog.Log.
func (l *Log) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	if err := l.admit(topic); err != nil {
		return eventlog.KeyedBatch{}, err
	}
	batch, err := l.Log.ReadKeyed(ctx, topic, from, wait)
	if err != nil {
		return eventlog.KeyedBatch{}, err
	}
	return batch, l.transfer(ctx, keyedSize(batch))
}

// Newest implements eventlog.Log.
func (l *Log) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	if err := l.admit(topic); err != nil {
		return eventlog.KeyedBatch{}, err
	}
	batch, err := l.Log.Newest(ctx, topic)
	if err != nil {
		return eventlog.KeyedBatch{}, err
	}
	l.mu.Lock()
	l.usage.FullReads++
	l.mu.Unlock()
	// Full reads carry their values in base64.
	return batch, l.transfer(ctx, keyedSize(batch)*4/3)
}

func keyedSize(batch eventlog.KeyedBatch) int {
	size := 0
	for _, record := range batch.Records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}
