package logstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// TailedStream implements Stream on the log service. It is safe for concurrent use.
type TailedStream struct {
	manager *Manager
	name    string
	class   string
	writer  string
	options StreamOptions
	logger  zerolog.Logger
	// reducer's state is guarded by mu; the field itself never changes.
	reducer Reducer

	ctx    context.Context
	cancel context.CancelFunc
	// loaded is closed once a snapshot was restored, or none was found.
	loaded chan struct{}
	// stopped is closed once both goroutines have returned.
	stopped chan struct{}
	// wake signals appendLoop that a proposal or a snapshot is queued.
	wake chan struct{}

	mu          sync.Mutex
	references  int
	applied     int64                   // offset after the last applied record
	lastContact time.Time               // latest time as of which all records of the stream were applied
	waiters     map[int64]chan struct{} // channels returned by Changed, by offset

	// queue holds proposals without a sequence number, pending those with one that have not been read back.
	queue        []*proposal
	pending      map[uint64]*proposal
	nextSequence uint64

	// lastSnapshotOffset is the offset after the last record included in the latest known or attempted snapshot.
	lastSnapshotOffset int64
	// lastSnapshotBytes is the size of that snapshot; bytesSinceSnapshot is the size of the records applied since
	// this reader learned of it.
	lastSnapshotBytes  int
	bytesSinceSnapshot int
	// acceptedSinceSnapshot is set when a proposal of this TailedStream was accepted since this reader learned of it.
	acceptedSinceSnapshot bool
	queuedSnapshot        [][]byte // encoded records that appendLoop has not taken
}

var _ Stream = (*TailedStream)(nil)

func newTailedStream(
	manager *Manager, name, writer string, reducer Reducer, options StreamOptions,
) *TailedStream {
	ctx, cancel := context.WithCancel(context.Background())
	return &TailedStream{
		manager:      manager,
		name:         name,
		class:        streamClass(name),
		writer:       writer,
		options:      options,
		logger:       manager.options.Logger.With().Str("stream", name).Logger(),
		reducer:      reducer,
		ctx:          ctx,
		cancel:       cancel,
		loaded:       make(chan struct{}),
		stopped:      make(chan struct{}),
		wake:         make(chan struct{}, 1),
		references:   1,
		waiters:      make(map[int64]chan struct{}),
		pending:      make(map[uint64]*proposal),
		nextSequence: 1,
	}
}

func (s *TailedStream) start() {
	var running sync.WaitGroup
	running.Go(s.tail)
	running.Go(s.appendLoop)
	go func() {
		running.Wait()
		s.manager.remove(s)
		close(s.stopped)
	}()
}

// Name returns the name of the stream.
func (s *TailedStream) Name() string { return s.name }

// Writer returns the writer ID under which this TailedStream appends.
func (s *TailedStream) Writer() string { return s.writer }

// Reducer returns the reducer. Its state may only be read within View.
func (s *TailedStream) Reducer() Reducer { return s.reducer }

// addReference adds a reference; it returns false if the stream is closed.
func (s *TailedStream) addReference() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.references == 0 {
		return false
	}
	s.references++
	return true
}

// Close releases one reference. After the last one the stream rejects new proposals, and it stops once all
// earlier ones are resolved.
func (s *TailedStream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.references > 0 {
		s.references--
	}
	s.stopWhenIdle()
}

func (s *TailedStream) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.references = 0
	s.stopWhenIdle()
}

// stopWhenIdle stops the goroutines of a closed stream without unresolved proposals. Must be called with mu
// held.
func (s *TailedStream) stopWhenIdle() {
	if s.references == 0 && len(s.pending) == 0 && len(s.queue) == 0 {
		s.cancel()
	}
}

// View implements Stream.
func (s *TailedStream) View(read func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read()
}

// Applied implements Stream.
func (s *TailedStream) Applied() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied
}

// Changed implements Stream.
func (s *TailedStream) Changed(offset int64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied > offset {
		return closedChannel
	}
	waiter, ok := s.waiters[offset]
	if !ok {
		waiter = make(chan struct{})
		s.waiters[offset] = waiter
	}
	return waiter
}

var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// CatchUp implements Stream. It retries reading the end of the stream until ctx ends.
func (s *TailedStream) CatchUp(ctx context.Context) error {
	end, err := s.streamEnd(ctx)
	if err != nil {
		return err
	}
	if end == 0 {
		return s.waitLoaded(ctx)
	}
	select {
	case <-s.Changed(end - 1):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.ctx.Done():
		return ErrClosed
	}
}

func (s *TailedStream) waitLoaded(ctx context.Context) error {
	select {
	case <-s.loaded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.ctx.Done():
		return ErrClosed
	}
}

func (s *TailedStream) streamEnd(ctx context.Context) (int64, error) {
	delays := logRetries.Delays()
	for {
		batch, err := s.manager.options.Service.Read(ctx, s.name, -1, 1, 0)
		if err == nil {
			return batch.End, nil
		}
		if s.ctx.Err() != nil {
			return 0, ErrClosed
		}
		if !retry.Sleep(ctx, delays.NextBackOff()) {
			return 0, ctx.Err()
		}
	}
}

// ReadRecord implements Stream. The error wraps logservice.ErrUnavailable if the log could not be read, and
// logrecord.ErrMalformed if the record cannot be decoded.
func (s *TailedStream) ReadRecord(ctx context.Context, offset int64) (logrecord.Record, error) {
	if offset < 0 || offset >= s.Applied() {
		return logrecord.Record{}, errors.Errorf("log stream: offset %d has not been applied", offset)
	}
	batch, err := s.manager.options.Service.Read(ctx, s.name, offset, 1, 0)
	if err != nil {
		return logrecord.Record{}, err
	}
	if len(batch.Entries) == 0 {
		return logrecord.Record{}, errors.Errorf("log stream: no record at offset %d", offset)
	}
	return logrecord.Decode(batch.Entries[0].Data)
}

func (s *TailedStream) contact() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastContact
}
