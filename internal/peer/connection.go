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
	// maxPendingBytes is the amount of unwritten output above which senders of requests and messages block.
	maxPendingBytes = 1 << 20
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize    = 64 << 10
	keepaliveInterval = time.Second
	// pingAfterTicks and silentLimitTicks are the numbers of keepalive intervals without a received frame,
	// while streams are open, after which a ping is sent and after which the connection is closed.
	pingAfterTicks   = 1
	silentLimitTicks = 4
	// dialerIdleTicks and listenerIdleTicks are the numbers of keepalive intervals without streams after which
	// the dialer or the listener closes the connection. The dialer closes first, so that a request cannot be
	// lost to a concurrent close by the listener.
	dialerIdleTicks   = 60
	listenerIdleTicks = 300
)

// Reasons for which the transport closes a connection.
var (
	errConnectionSilent = errors.New("connection is unresponsive: no frame received within the keepalive limit")
	errConnectionIdle   = errors.New("connection closed after being idle")
	errTransportClosed  = errors.New("transport is closed")
	errProtocol         = errors.New("peer violated the protocol")
)

// session handles the frames of one end of a connection.
type session interface {
	// handleFrame takes ownership of the frame's body. An error closes the connection.
	handleFrame(received frame) error
	// closed is called once, after the connection has failed or was closed.
	closed(cause error)
	// activeStreams returns the number of open calls and streams.
	activeStreams() int
	// closeIdle reports whether the session may be closed as idle; if so, it accepts no new streams.
	closeIdle(idleTicks int) bool
}

// connection reads and writes the frames of a socket. A single goroutine writes all pending output in one
// batch; another one reads.
//
// Invariant: written does not exceed the start of any frame that was not passed to the socket, and does not
// change after failed is set. A frame queued at offset start was therefore not sent if written <= start
// after the failure.
type connection struct {
	socket  net.Conn
	session session
	stats   *trafficStats

	mu         sync.Mutex
	pending    []byte        // queued output that the writer has not taken
	spare      []byte        // buffer of the last batch, for the next one
	queued     uint64        // total bytes queued
	written    uint64        // total bytes passed to the socket, including a write in progress
	spaceFreed chan struct{} // closed when the writer takes the output; nil while no sender waits
	failed     error
	closing    bool

	writeReady     chan struct{}
	done           chan struct{}
	receivedFrames atomic.Uint64

	// Used only by the keepalive loop.
	lastReceivedFrames uint64
	silentTicks        int
	idleTicks          int
}

func newConnection(socket net.Conn, stats *trafficStats) *connection {
	return &connection{
		socket:     socket,
		stats:      stats,
		writeReady: make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
}

// start starts the reader and the writer; session must be set before.
func (c *connection) start(reader *bufio.Reader) {
	go c.writeLoop()
	go c.readLoop(reader)
}

// enqueue queues a frame, after waiting for space unless urgent is set. It returns the offset of the frame,
// for use with wasWritten.
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

// waitForSpace blocks until output space is available or the connection has failed. Must be called with mu
// held; it releases mu while waiting.
func (c *connection) waitForSpace(ctx context.Context) error {
	if c.spaceFreed == nil {
		c.spaceFreed = make(chan struct{})
	}
	space := c.spaceFreed
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
	case c.writeReady <- struct{}{}:
	default:
	}
}

// wasWritten reports whether any byte of the frame at the offset was passed to the socket.
func (c *connection) wasWritten(start uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written > start
}

func (c *connection) writeLoop() {
	for {
		select {
		case <-c.writeReady:
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

// takePending swaps the buffers and returns the pending output. last is set when the connection has failed, or
// when all output is written and the connection is to be closed.
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
	c.written = c.queued
	if c.spaceFreed != nil {
		close(c.spaceFreed)
		c.spaceFreed = nil
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
		c.receivedFrames.Add(1)
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

// sendControl queues a control frame without blocking and releases it. The frame is dropped if the
// connection has failed.
func (c *connection) sendControl(control *encodedFrame) {
	data := control.bytes()
	c.stats.other.addSent(len(data))
	_, _ = c.enqueue(context.Background(), data, true)
	control.release()
}

// fail closes the connection with the given cause. Only the first call has an effect.
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

// closeAfterFlush closes the connection when all queued output is written.
func (c *connection) closeAfterFlush() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// tick runs one keepalive check. It counts ticks instead of reading the clock, so that a pause of this
// process is not taken for a failure of its peers.
func (c *connection) tick() {
	received := c.receivedFrames.Load()
	active := received != c.lastReceivedFrames
	c.lastReceivedFrames = received
	if c.session.activeStreams() == 0 {
		c.tickIdle(active)
		return
	}
	c.idleTicks = 0
	if active {
		c.silentTicks = 0
		return
	}
	c.silentTicks++
	if c.silentTicks >= silentLimitTicks {
		c.fail(errConnectionSilent)
		return
	}
	if c.silentTicks >= pingAfterTicks {
		c.sendControl(newFrame(framePing, 0))
	}
}

func (c *connection) tickIdle(active bool) {
	c.silentTicks = 0
	if active {
		c.idleTicks = 0
		return
	}
	c.idleTicks++
	if c.session.closeIdle(c.idleTicks) {
		c.fail(errConnectionIdle)
	}
}
