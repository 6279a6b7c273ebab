// Package throttledlog implements eventlog.Log with limited read bandwidth.
package throttledlog

import (
	"context"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

const (
	// maxBacklog is the queued transfer time beyond which further reads are refused.
	maxBacklog = 2 * time.Second
	// readTimeout is the client-side timeout of a read in addition to its requested wait.
	readTimeout = 900 * time.Millisecond
	// newestTimeout is the client-side timeout of Newest.
	newestTimeout = 1800 * time.Millisecond
)

// Log serves reads in order of arrival at a rate shared by all readers. An admitted read uses its share of the
// bandwidth even if its context ends before the transfer.
type Log struct {
	*memlog.Log
	bytesPerSecond int

	mu        sync.Mutex
	busyUntil time.Time
	usage     Usage
	// refusedTopic is the topic whose reads are refused; empty for none.
	refusedTopic string
}

var _ eventlog.Log = (*Log)(nil)

// Usage counts the reads that a log has served.
type Usage struct {
	// Bytes is the size of the records of admitted reads, Lost the part whose readers canceled or timed out.
	Bytes, Lost int
	// FullReads is the number of admitted calls of Newest.
	FullReads int
}

// New returns a log that serves the records of log.
func New(log *memlog.Log, bytesPerSecond int) *Log {
	return &Log{Log: log, bytesPerSecond: bytesPerSecond}
}

// Refuse makes all reads of a topic fail.
func (l *Log) Refuse(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedTopic = topic
}

func (l *Log) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage
}

// admit returns an error if the topic is refused or the backlog exceeds maxBacklog.
func (l *Log) admit(topic string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if topic == l.refusedTopic || time.Until(l.busyUntil) > maxBacklog {
		return eventlog.ErrNotPerformed
	}
	return nil
}

// transfer waits for as long as the bytes take to transfer after the queued ones.
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
	// Newest is transferred with its values in base64.
	return batch, l.transfer(ctx, keyedSize(batch)*4/3)
}

func keyedSize(batch eventlog.KeyedBatch) int {
	size := 0
	for _, record := range batch.Records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}
