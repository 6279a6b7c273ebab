package callerwrite

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
)

// ErrFull is returned by Spool.Write while the buffer or the node's budget has no room.
var ErrFull = errors.New("no buffer space for the slow caller")

// Spool buffers a response until its caller reads it. It is not safe for concurrent use. The response header must
// be written before the spool is created.
type Spool struct {
	limits Limits
	w      http.ResponseWriter

	mu       sync.Mutex
	queue    [][]byte
	buffered int
	// err is the error of the first write that failed.
	err    error
	closed bool
	// changed is closed and replaced at each change. done is closed once the writer goroutine has ended.
	changed chan struct{}
	done    chan struct{}
}

// NewSpool returns a spool, which must be closed.
func NewSpool(w http.ResponseWriter, limits Limits) *Spool {
	s := &Spool{limits: limits, w: w, changed: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a copy of content. It returns ErrFull if bytes are buffered already and either content would exceed
// MaxBufferedBytes or the node's budget is exceeded. It returns the error of an earlier write to the caller, if any.
func (s *Spool) Write(content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if s.buffered > 0 && (s.buffered+len(content) > MaxBufferedBytes || s.limits.Budget.IsExceeded()) {
		return ErrFull
	}
	s.queue = append(s.queue, append([]byte(nil), content...))
	s.buffered += len(content)
	s.limits.Budget.ForceReserve(bytebudget.Answers, int64(len(content)))
	s.notify()
	return nil
}

// AwaitProgress waits until the caller has read something, a write to it has failed, or ctx ends. It does not wait if
// nothing is buffered.
func (s *Spool) AwaitProgress(ctx context.Context) {
	s.mu.Lock()
	buffered, changed, failed := s.buffered, s.changed, s.err != nil
	s.mu.Unlock()
	if buffered == 0 || failed {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// Close waits until the caller has read everything, and returns the error of a failed write.
func (s *Spool) Close() error {
	s.mu.Lock()
	s.closed = true
	s.notify()
	s.mu.Unlock()
	<-s.done
	return s.err
}

// notify wakes all waiting goroutines. Must be called with mu held.
func (s *Spool) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// run writes to the caller until the spool is closed and empty, or a write fails.
func (s *Spool) run() {
	defer close(s.done)
	flush := http.NewResponseController(s.w)
	for {
		content, found := s.next()
		if !found {
			s.limits.setDeadline(s.w, time.Time{})
			return
		}
		err := s.writeAll(content)
		if err == nil {
			err = flush.Flush()
			if errors.Is(err, http.ErrNotSupported) {
				err = nil
			}
		}
		s.recordWritten(len(content), err)
		if err != nil {
			return
		}
	}
}

// next waits for the next content to write; found is false once the spool is closed and empty.
func (s *Spool) next() (content []byte, found bool) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			content = s.queue[0]
			s.queue = s.queue[1:]
			s.mu.Unlock()
			return content, true
		}
		closed, changed := s.closed, s.changed
		s.mu.Unlock()
		if closed {
			return nil, false
		}
		<-changed
	}
}

func (s *Spool) writeAll(content []byte) error {
	for len(content) > 0 {
		chunk := content[:min(chunkBytes, len(content))]
		if err := s.limits.writeChunk(s.w, chunk); err != nil {
			return err
		}
		content = content[len(chunk):]
	}
	return nil
}

// recordWritten releases written bytes, or all buffered bytes if the write failed.
func (s *Spool) recordWritten(bytes int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	released := bytes
	if err != nil {
		s.err = err
		released, s.queue = s.buffered, nil
		s.limits.reportStall(err, s.buffered)
	}
	s.buffered -= released
	s.limits.Budget.Release(bytebudget.Answers, int64(released))
	s.notify()
}
