package callerwrite

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
)

// ErrFull says that a caller has not taken MaxHeld bytes yet.
var ErrFull = errors.New("the caller reads too slowly")

// Spool holds an answer that is being made until its caller takes it. One goroutine may use it; the head of the
// answer must have been written.
type Spool struct {
	limits Limits
	w      http.ResponseWriter

	mu    sync.Mutex
	queue [][]byte
	held  int
	// err is the error of the write that failed.
	err    error
	closed bool
	// changed is closed and replaced at each change; done is closed once nothing is written any more.
	changed chan struct{}
	done    chan struct{}
}

// NewSpool returns a spool. Whoever made it closes it.
func NewSpool(w http.ResponseWriter, limits Limits) *Spool {
	s := &Spool{limits: limits, w: w, changed: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes content, which it copies. It returns ErrFull where that is more than the caller may leave untaken,
// unless nothing is held, and the error of an earlier write to the caller.
func (s *Spool) Write(content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if s.held > 0 && (s.held+len(content) > MaxHeld || s.limits.Budget.IsShort()) {
		return ErrFull
	}
	s.queue = append(s.queue, append([]byte(nil), content...))
	s.held += len(content)
	s.limits.Budget.Take(bytebudget.Answers, int64(len(content)))
	s.signal()
	return nil
}

// Await waits until the caller has taken something, the write to it has failed or ctx has ended.
func (s *Spool) Await(ctx context.Context) {
	s.mu.Lock()
	held, changed, failed := s.held, s.changed, s.err != nil
	s.mu.Unlock()
	if held == 0 || failed {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// Close waits until the caller has taken all, and returns the error if it has not.
func (s *Spool) Close() error {
	s.mu.Lock()
	s.closed = true
	s.signal()
	s.mu.Unlock()
	<-s.done
	return s.err
}

// signal wakes whoever waits; mu is held.
func (s *Spool) signal() {
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
		s.taken(len(content), err)
		if err != nil {
			return
		}
	}
}

// next waits for what is to be written next; found is false once there is nothing more.
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
		piece := content[:min(pieceBytes, len(content))]
		if err := s.limits.writePiece(s.w, piece); err != nil {
			return err
		}
		content = content[len(piece):]
	}
	return nil
}

// taken notes that the caller has taken bytes, or will take no more.
func (s *Spool) taken(bytes int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	released := bytes
	if err != nil {
		s.err = err
		released, s.queue = s.held, nil
		s.limits.tell(err, s.held)
	}
	s.held -= released
	s.limits.Budget.Release(bytebudget.Answers, int64(released))
	s.signal()
}
