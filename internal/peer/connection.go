package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxPendingBytes is how much may wait for the socket before senders of
	// requests and messages have to wait.
	maxPendingBytes = 1 << 20
	// readBufferSize is the read buffer of one connection in bytes.
	readBufferSize = 64 << 10
	// keepaliveInterval is the period of keepalive checks.
	keepaliveInterval = time.Second
	// pingAfterTicks and silenceLimitTicks count keepalive intervals without
	// a received frame while streams are open.
	pingAfterTicks    = 1
	silenceLimitTicks = 4
	// Intervals without streams after which a connection is closed: the
	// dialer first, so that a request never crosses the listener's close.
	dialerIdleTicks   = 60
	listenerIdleTicks = 300
)

// Causes for which the transport closes a connection.
var (
	errConnectionSilent = errors.New("connection was silent for too long")
	errConnectionIdle   = errors.New("connection was idle")
	errTransportClosed  = errors.New("transport is closed")
	errProtocol         = errors.New("peer broke the protocol")
)

// session is what one end does with the frames of its connection.
type session interface {
	// handleFrame takes over the frame's body. An error closes the connection.
	handleFrame(received frame) error
	// closed is called once, after the connection took its last frame.
	closed(cause error)
	// activeStreams counts the open calls and streams.
	activeStreams() int
	// closeIdle reports whether the session agrees to be closed as idle and,
	// if so, takes no new streams.
	closeIdle(idleTicks int) bool
}

// connection writes and reads the frames of one socket. One goroutine writes
// all that is pending in one go; one reads.
//
// Invariant: given never passes the start of a frame that the socket did not
// get, and does not move once failed is set. So a frame that was queued at
// offset start was certainly not sent if given <= start after the failure.
type connection struct {
	socket  net.Conn
	session session
	stats   *trafficStats

	mu      sync.Mutex
	pending []byte
	spare   []byte
	queued  uint64 // bytes ever queued
	given   uint64 // bytes ever handed to the socket
	space   chan struct{}
	failed  error
	closing bool

	wake     chan struct{}
	done     chan struct{}
	received atomic.Uint64

	// Used by the keepalive loop only.
	lastReceived uint64
	silentTicks  int
	idleTicks    int
}

func newConnection(socket net.Conn, stats *trafficStats) *connection {
	return &connection{
		socket: socket,
		stats:  stats,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
}

// start runs the reader and the writer; session must be set before.
func (c *connection) start(reader *bufio.Reader) {
	go c.writeLoop()
	go c.readLoop(reader)
}

// enqueue waits for space, unless urgent, and queues the frame. It returns the
// offset at which the frame starts, for wasGiven.
func (c *connection) enqueue(ctx context.Context, data []byte, urgent bool) (uint64, error) {
	c.mu.Lock()
	for !urgent && c.failed == nil && len(c.pending) >= maxPendingBytes {
		if err := c.waitForSpace(ctx); err != nil {
			c.mu.Unlock()
			return 0, err
		}
	}
	if c.failed != nil {
		err := c.failed
		c.mu.Unlock()
		return 0, err
	}
	start := c.queued
	c.pending = append(c.pending, data...)
	c.queued += uint64(len(data))
	c.mu.Unlock()
	c.wakeWriter()
	return start, nil
}

// waitForSpace is called with the lock held and returns with it held.
func (c *connection) waitForSpace(ctx context.Context) error {
	if c.space == nil {
		c.space = make(chan struct{})
	}
	space := c.space
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-space:
		return nil
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// wasGiven reports whether any byte of the frame that starts at the offset was
// handed to the socket.
func (c *connection) wasGiven(start uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.given > start
}

func (c *connection) writeLoop() {
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for {
			batch, last := c.takePending()
			if last {
				c.fail(errTransportClosed)
				return
			}
			if len(batch) == 0 {
				break
			}
			if _, err := c.socket.Write(batch); err != nil {
				c.fail(err)
				return
			}
		}
	}
}

// takePending swaps the buffers; last is set when all is written and the
// connection is to be closed.
func (c *connection) takePending() (batch []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return nil, true
	}
	if len(c.pending) == 0 {
		return nil, c.closing
	}
	batch = c.pending
	c.pending = c.spare[:0]
	c.spare = batch
	if cap(c.spare) > 2*maxPendingBytes {
		c.spare = nil
	}
	c.given = c.queued
	if c.space != nil {
		close(c.space)
		c.space = nil
	}
	return batch, false
}

func (c *connection) readLoop(reader *bufio.Reader) {
	for {
		received, err := readFrame(reader)
		if err != nil {
			c.fail(err)
			return
		}
		c.received.Add(1)
		if err := c.handle(received); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *connection) handle(received frame) error {
	switch received.kind {
	case framePing:
		c.stats.other.addReceived(received.size())
		received.body.release()
		c.sendControl(newFrame(framePong, 0))
		return nil
	case framePong:
		c.stats.other.addReceived(received.size())
		received.body.release()
		return nil
	default:
		return c.session.handleFrame(received)
	}
}

// sendControl queues a small frame without waiting and releases it. A failed
// connection drops it: whoever waits for its effect learns of the failure.
func (c *connection) sendControl(control *encodedFrame) {
	data := control.bytes()
	c.stats.other.addSent(len(data))
	_, _ = c.enqueue(context.Background(), data, true)
	control.release()
}

// fail closes the connection for the cause; only the first call counts.
func (c *connection) fail(cause error) {
	c.mu.Lock()
	if c.failed != nil {
		c.mu.Unlock()
		return
	}
	c.failed = cause
	c.mu.Unlock()
	close(c.done)
	_ = c.socket.Close()
	c.session.closed(cause)
}

// closeAfterFlush closes the connection once all that is queued is written.
func (c *connection) closeAfterFlush() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// tick is one keepalive check. Silence is counted in ticks rather than by the
// clock, so that a process that was itself paused does not blame its peers.
func (c *connection) tick() {
	received := c.received.Load()
	heard := received != c.lastReceived
	c.lastReceived = received
	if c.session.activeStreams() == 0 {
		c.tickIdle(heard)
		return
	}
	c.idleTicks = 0
	if heard {
		c.silentTicks = 0
		return
	}
	c.silentTicks++
	if c.silentTicks >= silenceLimitTicks {
		c.fail(errConnectionSilent)
		return
	}
	if c.silentTicks >= pingAfterTicks {
		c.sendControl(newFrame(framePing, 0))
	}
}

func (c *connection) tickIdle(heard bool) {
	c.silentTicks = 0
	if heard {
		c.idleTicks = 0
		return
	}
	c.idleTicks++
	if c.session.closeIdle(c.idleTicks) {
		c.fail(errConnectionIdle)
	}
}
