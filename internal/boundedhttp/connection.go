package boundedhttp

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/connections"
	"github.com/corkpulley/corkpulley/internal/core/requesthead"
)

const (
	// firstBufferBytes is the size of the buffer for a header that arrives in pieces; it doubles as needed.
	firstBufferBytes = 4 << 10
	// maxEmptyLineBytes is the size of the empty lines that are ignored before a request.
	maxEmptyLineBytes = 4
	// firstRequestTimeout bounds the wait for the first byte of a new connection.
	firstRequestTimeout = 10 * time.Second
	// lateReadTimeout is the time for a last read after a deadline: what has arrived while the machine was suspended is
	// still handled.
	lateReadTimeout = 10 * time.Millisecond
	// A body must arrive at minBodyRate, in bytes a second, on the average after bodyGrace.
	bodyGrace   = 30 * time.Second
	minBodyRate = 32 << 10
)

// connection hands the requests of a client to http.Server. A header is handed over once it has arrived to its end, is
// within its limits, and the memory that it takes decoded is reserved. One goroutine at a time reads a connection.
type connection struct {
	net.Conn
	server *Server
	// tracked is the connection in the node's set.
	tracked *connections.Connection
	// active is true while http.Server decodes or handles a request.
	active atomic.Bool

	// buffered are bytes of the client that http.Server has not read. The first admitted ones may be read. A byte that it
	// has read while the request before was running stands at the start of a header nevertheless, and handed is 1.
	buffered         []byte
	admitted, handed int
	// emptyLineBytes are the bytes of empty lines that were ignored before the header.
	emptyLineBytes int
	scanner        requesthead.Scanner
	// began is the time at which the first byte of the header arrived; zero before.
	began time.Time
	// reserved is the memory that is reserved for the header.
	reserved int64
	body     bodyState
	// isFirst is true until the first request has arrived.
	isFirst bool
	// hasReadLate is true once bytes of the header were read after their deadline.
	hasReadLate bool

	// deadlineMu guards the deadlines, which http.Server changes while another goroutine reads.
	deadlineMu sync.Mutex
	// clientDeadline bounds the wait for the client, serverDeadline is that of http.Server. Zero means none.
	clientDeadline, serverDeadline time.Time
}

// bodyState describes the rest of a body that is arriving.
type bodyState struct {
	// remaining is the number of bytes that have not arrived, unless the body is chunked. endless is true if its end is
	// unknown, so that the connection ends with this request.
	remaining        int64
	chunked, endless bool
	chunks           requesthead.Chunks
	began            time.Time
	received         int64
}

func (b *bodyState) isArriving() bool { return b.endless || b.chunked || b.remaining > 0 }

// receive counts bytes of the client and returns how many of them belong to the body.
func (b *bodyState) receive(data []byte) int {
	count := len(data)
	switch {
	case b.chunked:
		var state requesthead.ChunkState
		count, state = b.chunks.Scan(data)
		b.chunked, b.endless = state == requesthead.ChunksArriving, state == requesthead.ChunksUnknown
	case !b.endless:
		count = int(min(int64(count), b.remaining))
		b.remaining -= int64(count)
	}
	b.received += int64(count)
	return count
}

// deadline returns the time by which more of the body must have arrived.
func (b *bodyState) deadline() time.Time {
	return b.began.Add(bodyGrace + time.Duration(b.received/minBodyRate)*time.Second)
}

// Read implements net.Conn for http.Server.
func (c *connection) Read(into []byte) (int, error) {
	for {
		switch {
		case len(into) == 0:
			return 0, nil
		case c.admitted > 0:
			return c.takeAdmitted(into), nil
		case c.body.isArriving():
			return c.readBody(into)
		case c.active.Load():
			return c.readWhileRunning(into)
		default:
			if err := c.receiveHeader(into); err != nil {
				return 0, err
			}
		}
	}
}

// takeAdmitted copies admitted bytes out of the buffer.
func (c *connection) takeAdmitted(into []byte) int {
	count := copy(into, c.buffered[:c.admitted])
	c.buffered, c.admitted = c.buffered[count:], c.admitted-count
	if len(c.buffered) == 0 {
		c.buffered = nil
	}
	return count
}

// admitBufferedBody admits bytes of the body that arrived together with its header.
func (c *connection) admitBufferedBody() {
	c.admitted += c.body.receive(c.buffered[c.admitted:])
	if !c.body.isArriving() {
		c.requestComplete()
	}
}

// readBody reads bytes of a body. What follows its end is kept for the next request.
func (c *connection) readBody(into []byte) (int, error) {
	c.setClientDeadline(c.body.deadline())
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.server.set.Heard(c.tracked, time.Now())
		own := c.body.receive(into[:count])
		c.buffered = append(c.buffered, into[own:count]...)
		count = own
		if !c.body.isArriving() {
			c.requestComplete()
		}
	}
	if err != nil && c.isClientLate() {
		c.server.closed(BodyTimeout)
	}
	return count, err
}

// requestComplete records that the client has sent all of its request. Its connection is not evicted any more.
func (c *connection) requestComplete() {
	c.setClientDeadline(time.Time{})
	c.server.set.Enter(c.tracked, connections.Running, time.Now())
}

// readWhileRunning reads a byte that http.Server asks for while it handles a request, to notice that the client has left.
// The byte begins the next request. The rest of that stays with the kernel, for which the connection is charged.
func (c *connection) readWhileRunning(into []byte) (int, error) {
	for c.skipEmptyLines(); len(c.buffered) == 0; c.skipEmptyLines() {
		count, err := c.Conn.Read(into[:1])
		c.buffered = append(c.buffered, into[:count]...)
		if err != nil {
			return 0, err
		}
	}
	if !c.reserve(bytebudget.Headers, kernelBufferBytes) {
		c.server.closed(NoMemory)
		return 0, io.EOF
	}
	into[0], c.handed = c.buffered[0], 1
	return c.handed, nil
}

// skipEmptyLines drops bytes of empty lines before a request, up to a limit.
func (c *connection) skipEmptyLines() {
	for c.handed == 0 && len(c.buffered) > 0 && c.emptyLineBytes < maxEmptyLineBytes &&
		(c.buffered[0] == '\r' || c.buffered[0] == '\n') {
		c.buffered = c.buffered[1:]
		c.emptyLineBytes++
	}
}

// receiveHeader reads until a whole header has arrived, and admits it. It may use into as a buffer.
func (c *connection) receiveHeader(into []byte) error {
	limits := c.server.options.Limits()
	for {
		c.skipEmptyLines()
		end, state := c.scanner.Scan(c.buffered, limits.MaxHeaderBytes)
		switch state {
		case requesthead.Complete:
			return c.admitHeader(end)
		case requesthead.TooLarge:
			c.server.closed(HeaderTooLarge)
			return c.refuse(headerTooLarge(limits.MaxHeaderBytes))
		}
		if err := c.receiveMore(into, limits); err != nil {
			return err
		}
	}
}

// receiveMore reads more bytes of a header. A connection without them needs no buffer of its own.
func (c *connection) receiveMore(into []byte, limits Limits) error {
	if len(c.buffered) == 0 {
		c.setClientDeadline(time.Now().Add(c.idleTimeout(limits)))
		count, err := c.readOnTime(into)
		c.buffered = append(c.buffered, into[:count]...)
		return err
	}
	if c.began.IsZero() {
		c.began = time.Now()
		c.server.set.Enter(c.tracked, connections.Receiving, c.began)
	}
	if err := c.growBuffer(limits.MaxHeaderBytes); err != nil {
		return err
	}
	c.setClientDeadline(c.began.Add(limits.HeaderTimeout))
	free := c.buffered[len(c.buffered):cap(c.buffered)]
	count, err := c.readOnTime(free)
	c.buffered = c.buffered[:len(c.buffered)+count]
	if err != nil && c.isClientLate() {
		c.server.closed(HeaderTimeout)
	}
	return err
}

func (c *connection) idleTimeout(limits Limits) time.Duration {
	if c.isFirst {
		return firstRequestTimeout
	}
	return limits.IdleTimeout
}

// growBuffer makes room for more of a header, which it reserves.
func (c *connection) growBuffer(maxHeaderBytes int) error {
	if len(c.buffered) < cap(c.buffered) && c.reserved >= int64(cap(c.buffered)) {
		return nil
	}
	size := max(firstBufferBytes, 2*len(c.buffered))
	size = max(len(c.buffered)+1, min(size, maxHeaderBytes+1))
	if !c.reserveHeader(int64(size)) {
		c.server.closed(NoMemory)
		return c.refuse(noMemory(int64(size)))
	}
	grown := make([]byte, len(c.buffered), size)
	copy(grown, c.buffered)
	c.buffered = grown
	return nil
}

// admitHeader hands a whole header to http.Server if the memory for the request is there.
func (c *connection) admitHeader(end int) error {
	framing := requesthead.FramingOf(c.buffered[:end])
	if cost := c.scanner.Cost(); !c.reserveHeader(cost) {
		c.server.closed(NoMemory)
		return c.refuse(noMemory(cost))
	}
	now := time.Now()
	c.server.set.Enter(c.tracked, connections.Receiving, now)
	c.buffered = c.buffered[c.handed:]
	c.admitted = end - c.handed
	c.body = bodyState{remaining: framing.Length, chunked: framing.Chunked, endless: framing.Endless, began: now}
	c.scanner, c.began, c.handed, c.emptyLineBytes = requesthead.Scanner{}, time.Time{}, 0, 0
	c.isFirst, c.hasReadLate = false, false
	c.setClientDeadline(c.body.deadline())
	c.admitBufferedBody()
	return nil
}

// reserveHeader raises the memory that is reserved for the header to the given total.
func (c *connection) reserveHeader(total int64) bool {
	if total <= c.reserved {
		return true
	}
	if !c.reserve(bytebudget.Headers, total-c.reserved) {
		return false
	}
	c.reserved = total
	return true
}

// reserve reserves memory for the request, at the cost of silent clients if there is not enough.
func (c *connection) reserve(kind bytebudget.Kind, bytes int64) bool {
	evicted, ok := c.server.set.Reserve(c.tracked, kind, bytes, time.Now())
	closeEvicted(evicted, EvictedForMemory)
	return ok
}

// requestEnded returns the memory of an answered request and waits for the next one, whose start is unknown after a body
// without a known end.
func (c *connection) requestEnded() {
	if c.body.endless {
		_ = c.Close()
	}
	c.active.Store(false)
	c.reserved = 0
	c.server.set.Finish(c.tracked, time.Now())
}

// CloseWrite lets http.Server end a connection so that the client can read a response sent before its request was read.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.server.set.Close(c.tracked)
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.serverDeadline = deadline
	return c.applyDeadlines()
}

func (c *connection) setClientDeadline(deadline time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.clientDeadline = deadline
	_ = c.applyDeadlines()
}

// applyDeadlines sets the earlier of both deadlines. Must be called with deadlineMu held.
func (c *connection) applyDeadlines() error {
	earliest := c.clientDeadline
	if earliest.IsZero() || !c.serverDeadline.IsZero() && c.serverDeadline.Before(earliest) {
		earliest = c.serverDeadline
	}
	return c.Conn.SetReadDeadline(earliest)
}

// isClientLate reports whether the client's deadline has passed.
func (c *connection) isClientLate() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return !c.clientDeadline.IsZero() && !time.Now().Before(c.clientDeadline)
}

// readOnTime reads bytes of a header. After its deadline, it takes once what has arrived until then.
func (c *connection) readOnTime(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if isTimeout(err) && c.isClientLate() && !c.hasReadLate {
		c.hasReadLate = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
		count, err = c.Conn.Read(into)
	}
	if count > 0 {
		c.server.set.Heard(c.tracked, time.Now())
	}
	return count, err
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
