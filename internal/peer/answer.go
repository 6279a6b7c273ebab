package peer

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// streamWindow is how many bytes of an answer may be on the way or unread
// before its sender waits. One frame may overshoot it.
const streamWindow = 256 << 10

// creditThreshold is how much a reader consumes before it grants credit.
const creditThreshold = streamWindow / 2

var (
	errStreamClosed  = errors.New("stream was closed by its reader")
	errCallUnended   = errors.New("call ended without an answer")
	errWindowOverrun = errors.New("peer sent beyond the stream's window")
)

// inbox queues the messages of one answer for its single reader.
type inbox struct {
	mu       sync.Mutex
	queue    []*body
	buffered int
	ended    error
	ready    chan struct{}
}

func (i *inbox) init() { i.ready = make(chan struct{}, 1) }

func (i *inbox) signal() {
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

// push takes over the message; it fails when the sender ignores the window.
func (i *inbox) push(message *body) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended != nil {
		message.release()
		return nil
	}
	if i.buffered >= streamWindow+creditThreshold {
		message.release()
		return errWindowOverrun
	}
	i.queue = append(i.queue, message)
	i.buffered += len(message.data)
	i.signal()
	return nil
}

// finish ends the answer after the queued messages; only the first end counts.
func (i *inbox) finish(end error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended == nil {
		i.ended = end
		i.signal()
	}
}

// abort drops the queue and ends the answer. It reports whether the answer
// was still open.
func (i *inbox) abort(end error) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, message := range i.queue {
		message.release()
	}
	i.queue = nil
	i.buffered = 0
	if i.ended != nil {
		return false
	}
	i.ended = end
	i.signal()
	return true
}

// next waits for a message or the end. stop ends the wait with errStopped.
func (i *inbox) next(stop <-chan struct{}) (*body, error) {
	for {
		message, end := i.take()
		if message != nil || end != nil {
			return message, end
		}
		select {
		case <-i.ready:
		case <-stop:
			return nil, errStopped
		}
	}
}

var errStopped = errors.New("stopped waiting")

func (i *inbox) take() (*body, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.queue) == 0 {
		return nil, i.ended
	}
	message := i.queue[0]
	i.queue[0] = nil
	i.queue = i.queue[1:]
	i.buffered -= len(message.data)
	if len(i.queue) == 0 {
		i.queue = nil
	}
	return message, nil
}

// answer is the caller's side of one call or stream; it implements Stream.
// One goroutine may receive at a time; Close may be called from any.
type answer struct {
	inbox inbox
	// abandon tells the serving side that nobody reads any more.
	abandon func()
	// grant tells the serving side how many bytes were consumed.
	grant     func(bytes int)
	consumed  int
	stopWatch func() bool
}

// watch ends the answer when ctx ends. Set abandon and grant before.
func (a *answer) watch(ctx context.Context) {
	a.stopWatch = context.AfterFunc(ctx, func() {
		a.cancel(&DeliveryError{Sent: true, Err: ctx.Err()})
	})
}

func (a *answer) cancel(cause error) {
	if a.inbox.abort(cause) {
		a.abandon()
	}
}

// Receive implements Stream.
func (a *answer) Receive(message any) error {
	content, err := a.inbox.next(nil)
	if err != nil {
		a.stopWatch()
		return err
	}
	err = decode(content.data, message)
	a.addConsumed(len(content.data))
	content.release()
	if err != nil {
		failure := &DeliveryError{Sent: true, Err: errors.Wrap(err, "decode message")}
		a.cancel(failure)
		return failure
	}
	return nil
}

func (a *answer) addConsumed(bytes int) {
	a.consumed += bytes
	if a.consumed >= creditThreshold {
		a.grant(a.consumed)
		a.consumed = 0
	}
}

// Close implements Stream.
func (a *answer) Close() {
	if a.stopWatch != nil {
		a.stopWatch()
	}
	a.cancel(&DeliveryError{Sent: true, Err: errStreamClosed})
}

// receiveOne waits for the one message of a call. response may be nil.
func (a *answer) receiveOne(ctx context.Context, response any) error {
	content, err := a.inbox.next(ctx.Done())
	if errors.Is(err, errStopped) {
		failure := &DeliveryError{Sent: true, Err: ctx.Err()}
		a.cancel(failure)
		return failure
	}
	if errors.Is(err, io.EOF) {
		return &DeliveryError{Sent: true, Err: errCallUnended}
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
