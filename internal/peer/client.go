package peer

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// errSessionClosing is returned for a request on a closing connection. No byte of the request was queued.
var errSessionClosing = errors.New("connection is closing")

// remoteStream is a response stream received over a connection.
type remoteStream struct {
	responseStream
	session  *clientSession
	streamID uint32
	// unary is set for a call: its first message ends the stream.
	unary    bool
	counters *methodCounters
	// requestOffset is the offset of the request in the connection's output; guarded by the session's mu.
	requestOffset uint64
}

// clientSession is the dialing end of a connection.
type clientSession struct {
	connection *connection
	onClosed   func(*clientSession)

	mu      sync.Mutex
	streams map[uint32]*remoteStream
	lastID  uint32
	closing bool
}

func newClientSession(connection *connection, onClosed func(*clientSession)) *clientSession {
	s := &clientSession{
		connection: connection,
		onClosed:   onClosed,
		streams:    make(map[uint32]*remoteStream),
	}
	connection.session = s
	return s
}

// open sends a request and returns its response stream. After an error no byte of the request was passed to
// the socket.
func (s *clientSession) open(
	ctx context.Context, kind frameKind, method Method, request any,
) (*remoteStream, error) {
	outgoing := newFrame(kind, 0)
	defer outgoing.release()
	if err := outgoing.setMethod(method); err != nil {
		return nil, errors.Wrap(err, "encode method name")
	}
	if err := outgoing.encode(request); err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	stream := s.newStream(kind, method)
	if err := s.register(stream); err != nil {
		return nil, err
	}
	outgoing.streamID = stream.streamID
	data := outgoing.bytes()
	offset, err := s.connection.enqueue(ctx, data, false)
	if err != nil {
		s.remove(stream.streamID)
		if ctx.Err() == nil {
			err = errors.Wrap(errSessionClosing, err.Error())
		}
		return nil, err
	}
	stream.counters.addSent(len(data))
	s.setRequestOffset(stream, offset)
	return stream, nil
}

func (s *clientSession) newStream(kind frameKind, method Method) *remoteStream {
	stream := &remoteStream{
		session:       s,
		unary:         kind == frameCall,
		counters:      s.connection.stats.method(method),
		requestOffset: notQueued,
	}
	stream.receiveQueue.init()
	stream.onCancel = stream.sendCancelFrame
	stream.onConsumed = stream.sendCreditFrame
	return stream
}

// notQueued is the requestOffset of a request that is not queued yet.
const notQueued = ^uint64(0)

// register assigns an unused stream ID other than 0.
func (s *clientSession) register(stream *remoteStream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return errSessionClosing
	}
	for {
		s.lastID++
		if _, used := s.streams[s.lastID]; s.lastID != 0 && !used {
			break
		}
	}
	stream.streamID = s.lastID
	s.streams[stream.streamID] = stream
	return nil
}

// setRequestOffset records the offset of the request. If the connection failed in the meantime, closed has already
// ended the stream.
func (s *clientSession) setRequestOffset(stream *remoteStream, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream.requestOffset = offset
}

func (s *clientSession) remove(streamID uint32) *remoteStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.streams[streamID]
	delete(s.streams, streamID)
	return stream
}

func (s *clientSession) find(streamID uint32) *remoteStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[streamID]
}

// handleFrame implements session. Frames of unknown streams are late responses to canceled requests.
func (s *clientSession) handleFrame(received frame) error {
	switch received.kind {
	case frameMessage:
		return s.handleMessage(received)
	case frameEnd:
		received.body.release()
		if stream := s.remove(received.streamID); stream != nil {
			stream.counters.addReceived(frameHeaderSize)
			stream.receiveQueue.finish(io.EOF)
		}
		return nil
	case frameError:
		return s.handleError(received)
	default:
		return errProtocol
	}
}

func (s *clientSession) handleMessage(received frame) error {
	stream := s.streamForMessage(received.streamID)
	if stream == nil {
		received.body.release()
		return nil
	}
	stream.counters.addReceived(received.size())
	err := stream.receiveQueue.push(received.body)
	if stream.unary {
		stream.receiveQueue.finish(io.EOF)
	}
	return err
}

// streamForMessage returns the stream to which a message belongs. The message of a call ends its stream
// before it is delivered, so that the caller then finds the connection idle.
func (s *clientSession) streamForMessage(streamID uint32) *remoteStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.streams[streamID]
	if stream != nil && stream.unary {
		delete(s.streams, streamID)
	}
	return stream
}

func (s *clientSession) handleError(received frame) error {
	defer received.body.release()
	stream := s.remove(received.streamID)
	if stream == nil {
		return nil
	}
	stream.counters.addReceived(received.size())
	failure := &errkind.Error{}
	if err := decode(received.body.data, failure); err != nil {
		stream.receiveQueue.finish(&DeliveryError{Sent: true, Err: errors.Wrap(err, "decode error response")})
		return errProtocol
	}
	stream.receiveQueue.finish(failure)
	return nil
}

// closed implements session. It fails all open streams.
func (s *clientSession) closed(cause error) {
	s.mu.Lock()
	s.closing = true
	streams := s.streams
	s.streams = make(map[uint32]*remoteStream)
	s.mu.Unlock()
	for _, stream := range streams {
		stream.receiveQueue.finish(&DeliveryError{Sent: s.maybeSent(stream), Err: cause})
	}
	s.onClosed(s)
}

// maybeSent reports whether a byte of the request may have been sent. A request that is being queued counts
// as sent.
func (s *clientSession) maybeSent(stream *remoteStream) bool {
	s.mu.Lock()
	offset := stream.requestOffset
	s.mu.Unlock()
	return offset == notQueued || s.connection.wasWritten(offset)
}

// activeStreams implements session.
func (s *clientSession) activeStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// closeIdle implements session.
func (s *clientSession) closeIdle(idleTicks int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idleTicks < dialerIdleTicks || len(s.streams) > 0 {
		return false
	}
	s.closing = true
	return true
}

func (r *remoteStream) sendCancelFrame() {
	if r.session.remove(r.streamID) != nil {
		r.session.connection.sendControl(newFrame(frameCancel, r.streamID))
	}
}

func (r *remoteStream) sendCreditFrame(consumed int) {
	if r.session.find(r.streamID) == nil {
		return
	}
	credit := newFrame(frameCredit, r.streamID)
	credit.setCredit(consumed)
	r.session.connection.sendControl(credit)
}
