package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

const (
	// helloTimeout limits the wait for the hello frame of a dialer.
	helloTimeout = 5 * time.Second
	// maxStreamsPerConnection limits the concurrent handlers of a connection.
	maxStreamsPerConnection = 1 << 16
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// serverSession is the listening end of a connection.
type serverSession struct {
	transport  *Transport
	connection *connection
	from       string
	// ctx is canceled when the connection closes.
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	exchanges map[uint32]*exchange
}

// acceptLoop accepts connections until the listener is closed.
func (t *Transport) acceptLoop(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.options.Logger.Warn().Err(err).Msg("accepting a peer connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if limited := t.limit(socket); limited != nil {
			go t.handshake(limited)
		}
	}
}

// handshake reads the hello frame of the dialer and starts the session.
func (t *Transport) handshake(socket *limitedSocket) {
	reader := bufio.NewReaderSize(socket, readBufferSize)
	greeting, err := t.readHello(socket, reader)
	if err != nil {
		t.options.Logger.Debug().Err(err).Stringer("remote", socket.RemoteAddr()).Msg("peer handshake failed")
		_ = socket.Close()
		return
	}
	socket.greeted()
	ctx, cancel := context.WithCancel(t.baseContext)
	s := &serverSession{
		transport:  t,
		connection: newConnection(socket, t.stats),
		from:       greeting.NodeID,
		ctx:        ctx,
		cancel:     cancel,
		exchanges:  make(map[uint32]*exchange),
	}
	s.connection.session = s
	if !t.addConnection(s.connection) {
		cancel()
		_ = socket.Close()
		return
	}
	s.connection.start(reader)
}

func (t *Transport) readHello(socket net.Conn, reader *bufio.Reader) (hello, error) {
	var greeting hello
	if err := socket.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return greeting, err
	}
	received, err := readFrameWithin(reader, maxHelloBody)
	if err != nil {
		return greeting, err
	}
	t.stats.other.addReceived(received.size())
	defer received.body.release()
	if received.kind != frameHello {
		return greeting, errProtocol
	}
	if err := decode(received.body.data, &greeting); err != nil {
		return greeting, errors.Wrap(err, "decode hello")
	}
	if greeting.Version != protocolVersion {
		return greeting, errors.Errorf("unsupported peer protocol version %d, want %d", greeting.Version, protocolVersion)
	}
	return greeting, socket.SetReadDeadline(time.Time{})
}

// handleFrame implements session.
func (s *serverSession) handleFrame(received frame) error {
	switch received.kind {
	case frameCall, frameOpen:
		return s.handleRequest(received)
	case frameCancel:
		s.connection.stats.other.addReceived(received.size())
		received.body.release()
		if e := s.find(received.streamID); e != nil {
			e.cancel()
		}
		return nil
	case frameCredit:
		return s.handleCredit(received)
	default:
		return errProtocol
	}
}

func (s *serverSession) handleCredit(received frame) error {
	defer received.body.release()
	s.connection.stats.other.addReceived(received.size())
	consumed, err := parseCredit(received.body.data)
	if err != nil {
		return err
	}
	if e := s.find(received.streamID); e != nil {
		e.sendWindow.add(consumed)
	}
	return nil
}

// handleRequest starts the handler, which takes ownership of the frame body.
func (s *serverSession) handleRequest(received frame) error {
	method, data, err := splitRequest(received.body.data)
	if err != nil {
		return err
	}
	counters := s.connection.stats.method(method)
	counters.addReceived(received.size())
	sink := &remoteSink{
		session:  s,
		streamID: received.streamID,
		unary:    received.kind == frameCall,
		counters: counters,
	}
	if !s.transport.beginHandler() {
		sink.end(errkind.New(errkind.ShuttingDown, "node is shutting down and accepts no new work"))
		return nil
	}
	e := &exchange{transport: s.transport, sendWindow: newSendWindow(), sink: sink}
	e.ctx, e.cancel = context.WithCancel(s.ctx)
	if err := s.add(received.streamID, e); err != nil {
		e.cancel()
		s.transport.endHandler()
		return err
	}
	go e.run(received.kind, method, &request{from: s.from, data: data})
	return nil
}

// add registers an exchange. A duplicate stream ID or too many streams violate the protocol.
func (s *serverSession) add(streamID uint32, e *exchange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, used := s.exchanges[streamID]; used {
		return errors.Wrapf(errProtocol, "stream %d is in use", streamID)
	}
	if len(s.exchanges) >= maxStreamsPerConnection {
		return errors.Wrap(errProtocol, "too many streams on one connection")
	}
	s.exchanges[streamID] = e
	return nil
}

func (s *serverSession) find(streamID uint32) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchanges[streamID]
}

// closed implements session.
func (s *serverSession) closed(error) {
	s.cancel()
	s.transport.removeConnection(s.connection)
}

// activeStreams implements session.
func (s *serverSession) activeStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.exchanges)
}

// closeIdle implements session.
func (s *serverSession) closeIdle(idleTicks int) bool { return idleTicks >= listenerIdleTicks }

// remoteSink sends a response over the connection.
type remoteSink struct {
	session  *serverSession
	streamID uint32
	// unary is set for a call: its message also ends the response.
	unary    bool
	counters *methodCounters
}

func (r *remoteSink) send(ctx context.Context, message any) (int, error) {
	outgoing := newFrame(frameMessage, r.streamID)
	defer outgoing.release()
	if err := outgoing.encode(message); err != nil {
		return 0, errors.Wrap(err, "encode message")
	}
	data := outgoing.bytes()
	if _, err := r.session.connection.enqueue(ctx, data, false); err != nil {
		return 0, err
	}
	r.counters.addSent(len(data))
	return len(data) - frameHeaderSize, nil
}

// end removes the exchange and sends the end of the response. It does not wait for space; the number of such
// frames is bounded by the number of streams.
func (r *remoteSink) end(failure *errkind.Error) {
	r.session.remove(r.streamID)
	if failure == nil && r.unary {
		return
	}
	outgoing := newFrame(frameEnd, r.streamID)
	defer outgoing.release()
	if failure != nil {
		outgoing.kind = frameError
		if err := outgoing.encode(failure); err != nil {
			r.session.connection.fail(errors.Wrap(err, "encode error response"))
			return
		}
	}
	data := outgoing.bytes()
	r.counters.addSent(len(data))
	_, _ = r.session.connection.enqueue(context.Background(), data, true)
}

func (s *serverSession) remove(streamID uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, streamID)
}
