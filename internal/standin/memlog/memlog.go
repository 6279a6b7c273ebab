// Package memlog implements eventlog.Log in memory, with injectable faults.
package memlog

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// Fault is the fault injected into a call.
type Fault uint8

const (
	// None injects no fault.
	None Fault = iota
	// Refused fails the call without an effect, with an error that says so.
	Refused
	// LostResponse performs the call and loses the response.
	LostResponse
	// LostCall loses the call: no effect, outcome unknown to the caller.
	LostCall
	// DelayedEffect loses the response and performs the call when ReleaseDelayed is called.
	DelayedEffect
)

// Call describes a call to the fault function.
type Call struct {
	Append    bool
	Partition eventlog.Partition
}

// Log is an in-memory log. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	partitions map[eventlog.Partition]*partition
	fault      func(Call) Fault
	// pendingEffects are the appends delayed by DelayedEffect.
	pendingEffects []func()
	// changed is closed and replaced when waiting readers must read again.
	changed chan struct{}
}

type partition struct {
	first   int64
	records [][]byte
	keys    map[string]eventlog.KeyedRecord
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

var _ eventlog.Log = (*Log)(nil)

// New returns an empty log.
func New() *Log {
	return &Log{partitions: make(map[eventlog.Partition]*partition), changed: make(chan struct{})}
}

// SetFault sets the function that selects the fault of each call; nil for no faults. It wakes waiting readers.
func (l *Log) SetFault(fault func(Call) Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	l.wakeReaders()
}

// ReleaseDelayed performs all delayed appends.
func (l *Log) ReleaseDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, effect := range l.pendingEffects {
		effect()
	}
	l.pendingEffects = nil
	l.wakeReaders()
}

// End returns the end offset of a partition.
func (l *Log) End(name eventlog.Partition) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partition(name).end()
}

// First returns the first retained offset of a partition.
func (l *Log) First(name eventlog.Partition) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partition(name).first
}

// Trim discards the records before an offset.
func (l *Log) Trim(name eventlog.Partition, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(name)
	if drop := min(before-p.first, int64(len(p.records))); drop > 0 {
		p.records = slices.Clone(p.records[drop:])
		p.first += drop
	}
}

// Put appends a keyed record and returns its offset; an empty value deletes the key.
func (l *Log) Put(topic, key string, value []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	offset := l.append(eventlog.Partition{Topic: topic}, [][]byte{append(raw, value...)})
	l.wakeReaders()
	return offset
}

// partition returns a partition, creating it if needed. Must be called with mu held.
func (l *Log) partition(name eventlog.Partition) *partition {
	p, found := l.partitions[name]
	if !found {
		p = &partition{keys: make(map[string]eventlog.KeyedRecord)}
		l.partitions[name] = p
	}
	return p
}

// append appends records and returns the offset of the first. A keyed record consists of the length of its key in one
// byte, the key and the value. Must be called with mu held.
func (l *Log) append(name eventlog.Partition, records [][]byte) int64 {
	p := l.partition(name)
	first := p.end()
	for _, raw := range records {
		raw = slices.Clone(raw)
		if len(raw) > 0 && len(raw) > int(raw[0]) {
			end := 1 + int(raw[0])
			key, value := string(raw[1:end]), raw[end:]
			if len(value) == 0 {
				delete(p.keys, key)
			} else {
				p.keys[key] = eventlog.KeyedRecord{Key: key, Value: value, Offset: p.end()}
			}
		}
		p.records = append(p.records, raw)
	}
	return first
}

// wakeReaders wakes all waiting readers. Must be called with mu held.
func (l *Log) wakeReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Append implements eventlog.Log.
func (l *Log) Append(ctx context.Context, name eventlog.Partition, records [][]byte) (int64, error) {
	return l.write(ctx, name, func(int64) bool { return true }, records)
}

// AppendAt implements eventlog.Log.
func (l *Log) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	return l.write(ctx, name, func(end int64) bool { return end == at }, records)
}

// PutKeyed implements eventlog.Log.
func (l *Log) PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error {
	raw := make([][]byte, len(records))
	for i, record := range records {
		raw[i] = append([]byte{byte(len(record.Key))}, record.Key...)
		if !record.Deleted {
			raw[i] = append(raw[i], record.Value...)
		}
	}
	_, err := l.Append(ctx, eventlog.Partition{Topic: topic}, raw)
	return err
}

// write appends the records if the condition holds for the end offset, subject to the injected fault.
func (l *Log) write(
	ctx context.Context, name eventlog.Partition, condition func(end int64) bool, records [][]byte,
) (int64, error) {
	if ctx.Err() != nil {
		return 0, eventlog.ErrNotPerformed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.wakeReaders()
	switch l.selectFault(Call{Append: true, Partition: name}) {
	case Refused:
		return 0, eventlog.ErrNotPerformed
	case LostCall:
		return 0, eventlog.ErrOutcomeUnknown
	case DelayedEffect:
		l.pendingEffects = append(l.pendingEffects, func() {
			if condition(l.partition(name).end()) {
				l.append(name, records)
			}
		})
		return 0, eventlog.ErrOutcomeUnknown
	case LostResponse:
		if condition(l.partition(name).end()) {
			l.append(name, records)
		}
		return 0, eventlog.ErrOutcomeUnknown
	}
	if end := l.partition(name).end(); !condition(end) {
		return 0, &eventlog.ConflictError{End: end}
	}
	return l.append(name, records), nil
}

// selectFault returns the fault of a call. Must be called with mu held.
func (l *Log) selectFault(call Call) Fault {
	if l.fault == nil {
		return None
	}
	return l.fault(call)
}

// Read implements eventlog.Log.
func (l *Log) Read(
	ctx context.Context, name eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.readNow(name, from, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return eventlog.Batch{}, ctx.Err()
		case <-timer.C:
			batch, _, err := l.readNow(name, from, limit)
			return batch, err
		case <-changed:
		}
	}
}

// readNow reads without waiting. It also returns a channel that is closed on the next change.
func (l *Log) readNow(name eventlog.Partition, from int64, limit int) (eventlog.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fault := l.selectFault(Call{Partition: name}); fault != None {
		return eventlog.Batch{}, nil, eventlog.ErrNotPerformed
	}
	p := l.partition(name)
	if from < p.first {
		return eventlog.Batch{}, nil, &eventlog.TrimmedError{First: p.first}
	}
	batch := eventlog.Batch{First: from, End: p.end()}
	size := 0
	for offset := from; offset < p.end(); offset++ {
		raw := p.records[offset-p.first]
		if size += len(raw); size > limit && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, slices.Clone(raw))
	}
	return batch, l.changed, nil
}

// Newest implements eventlog.Log.
func (l *Log) Newest(_ context.Context, topic string) (eventlog.KeyedBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := eventlog.Partition{Topic: topic}
	if l.selectFault(Call{Partition: name}) != None {
		return eventlog.KeyedBatch{}, eventlog.ErrNotPerformed
	}
	p := l.partition(name)
	batch := eventlog.KeyedBatch{Next: p.end()}
	for _, record := range p.keys {
		batch.Records = append(batch.Records, record)
	}
	sort.Slice(batch.Records, func(i, j int) bool { return batch.Records[i].Key < batch.Records[j].Key })
	return batch, nil
}

// ReadKeyed implements eventlog.Log.
func (l *Log) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	batch, err := l.Read(ctx, eventlog.Partition{Topic: topic}, from, 1<<20, wait)
	if err != nil {
		return eventlog.KeyedBatch{}, err
	}
	keyed := eventlog.KeyedBatch{Next: from + int64(len(batch.Records))}
	for i, raw := range batch.Records {
		end := 1 + int(raw[0])
		key, value := string(raw[1:end]), raw[end:]
		keyed.Records = append(keyed.Records, eventlog.KeyedRecord{
			Key: key, Value: value, Deleted: len(value) == 0, Offset: from + int64(i),
		})
	}
	return keyed, nil
}
