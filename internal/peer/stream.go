package peer

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// streamWindowBytes is the flow-control window of a response stream: the bytes that may be in transit or
// unread before the sender blocks. It may be exceeded by one frame.
const streamWindowBytes = 256 << 10

// creditThresholdBytes is the number of consumed bytes after which the reader grants credit.
const creditThresholdBytes = streamWindowBytes / 2

var (
	errStreamClosed   = errors.New("stream closed by the caller")
	errNoResponse     = errors.New("call ended without a response")
	errWindowExceeded = errors.New("peer exceeded the flow-control window of the stream")
)

// receiveQueue buffers the messages of one response for its single reader.
type receiveQueue struct {
	mu       sync.Mutex
	queue    []*body
	buffered int
	err      error
	ready    chan struct{}
}

func (q *receiveQueue) init() { q.ready = make(chan struct{}, 1) }

func (q *receiveQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// push takes ownership of the message. It fails if the sender exceeded the window.
func (q *receiveQueue) push(message *body) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		message.release()
		return nil
	}
	if q.buffered >= streamWindowBytes+creditThresholdBytes {
		message.release()
		return errWindowExceeded
	}
	q.queue = append(q.queue, message)
	q.buffered += len(message.data)
	q.signal()
	return nil
}

// finish ends the response with the given error (io.EOF on success) after the buffered messages. Only the first call
// has an effect.
func (q *receiveQueue) finish(end error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil {
		q.err = end
		q.signal()
	}
}

// abort discards the buffered messages and ends the response. It reports whether the response was still
// open.
func (q *receiveQueue) abort(end error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, message := range q.queue {
		message.release()
	}
	q.queue = nil
	q.buffered = 0
	if q.err != nil {
		return false
	}
	q.err = end
	q.signal()
	return true
}

// pop blocks until a message or the end of the response is available. It returns errWaitCanceled when stop is
// closed.
func (q *receiveQueue) pop(stop <-chan struct{}) (*body, error) {
	for {
		message, end := q.tryPop()
		if message != nil || end != nil {
			return message, end
		}
		select {
		case <-q.ready:
		case <-stop:
			return nil, errWaitCanceled
		}
	}
}

var errWaitCanceled = errors.New("wait for a message was canceled")

func (q *receiveQueue) tryPop() (*body, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 {
		return nil, q.err
	}
	message := q.queue[0]
	q.queue[0] = nil
	q.queue = q.queue[1:]
	q.buffered -= len(message.data)
	if len(q.queue) == 0 {
		q.queue = nil
	}
	return message, nil
}

// responseStream is the caller's end of a call or stream; it implements Stream. Only one goroutine may
// receive at a time; Close may be called concurrently.
type responseStream struct {
	receiveQueue receiveQueue
	// onCancel notifies the server that the response is no longer read.
	onCancel func()
	// onConsumed notifies the server of consumed bytes.
	onConsumed       func(bytes int)
	consumed         int // bytes since onConsumed was last called
	stopCancelOnDone func() bool
}

// cancelOnDone cancels the stream when ctx ends. onCancel and onConsumed must be set before.
func (s *responseStream) cancelOnDone(ctx context.Context) {
	s.stopCancelOnDone = context.AfterFunc(ctx, func() {
		s.cancel(&DeliveryError{Sent: true, Err: ctx.Err()})
	})
}

func (s *responseStream) cancel(cause error) {
	if s.receiveQueue.abort(cause) {
		s.onCancel()
	}
}

// Receive implements Stream.
func (s *responseStream) Receive(message any) error {
	content, err := s.receiveQueue.pop(nil)
	if err != nil {
		s.stopCancelOnDone()
		return err
	}
	err = decode(content.data, message)
	s.addConsumed(len(content.data))
	content.release()
	if err != nil {
		failure := &DeliveryError{Sent: true, Err: errors.Wrap(err, "decode message")}
		s.cancel(failure)
		return failure
	}
	return nil
}

func (s *responseStream) addConsumed(bytes int) {
	s.consumed += bytes
	if s.consumed >= creditThresholdBytes {
		s.onConsumed(s.consumed)
		s.consumed = 0
	}
}

// Close implements Stream.
func (s *responseStream) Close() {
	if s.stopCancelOnDone != nil {
		s.stopCancelOnDone()
	}
	s.cancel(&DeliveryError{Sent: true, Err: errStreamClosed})
}

// receiveOne waits for the single message of a call. response may be nil.
func (s *responseStream) receiveOne(ctx context.Context, response any) error {
	content, err := s.receiveQueue.pop(ctx.Done())
	if errors.Is(err, errWaitCanceled) {
		failure := &DeliveryError{Sent: true, Err: ctx.Err()}
		s.cancel(failure)
		return failure
	}
	if errors.Is(err, io.EOF) {
		return &DeliveryError{Sent: true, Err: errNoResponse}
	}
	if err != nil {
		return err
	}
	defer content.release()
	if response == nil {
		return nil
	}
	if err := decode(content.data, response); err != nil {
		return &DeliveryError{Sent: true, Err: errors.Wrap(err, "decode response")}
	}
	return nil
}
