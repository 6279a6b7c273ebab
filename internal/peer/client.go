package peer

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// errSessionClosing is returned to a request that met a closing connection; no
// byte of it was queued.
var errSessionClosing = errors.New("connection is closing")

// remoteAnswer is an answer that comes over a connection.
type remoteAnswer struct {
	answer
	session  *clientSession
	streamID uint32
	single   bool
	counters *methodCounters
	// start is the request's offset in the connection; set under the session's lock.
	start uint64
}

// clientSession is the dialer's end of a connection.
type clientSession struct {
	connection *connection
	onClosed   func(*clientSession)

	mu      sync.Mutex
	answers map[uint32]*remoteAnswer
	lastID  uint32
	closing bool
}

func newClientSession(connection *connection, onClosed func(*clientSession)) *clientSession {
	s := &clientSession{
		connection: connection,
		onClosed:   onClosed,
		answers:    make(map[uint32]*remoteAnswer),
	}
	connection.session = s
	return s
}

// open sends a request and returns its answer. A returned error means that no
// byte of the request was given to the socket.
func (s *clientSession) open(
	ctx context.Context, kind frameKind, method Method, request any,
) (*remoteAnswer, error) {
	outgoing := newFrame(kind, 0)
	defer outgoing.release()
	if err := outgoing.setMethod(method); err != nil {
		return nil, errors.Wrap(err, "method name")
	}
	if err := outgoing.encode(request); err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	a := s.newAnswer(kind, method)
	if err := s.register(a); err != nil {
		return nil, err
	}
	outgoing.streamID = a.streamID
	data := outgoing.bytes()
	start, err := s.connection.enqueue(ctx, data, false)
	if err != nil {
		s.remove(a.streamID)
		if ctx.Err() == nil {
			err = errors.Wrap(errSessionClosing, err.Error())
		}
		return nil, err
	}
	a.counters.addSent(len(data))
	s.setStart(a, start)
	return a, nil
}

func (s *clientSession) newAnswer(kind frameKind, method Method) *remoteAnswer {
	a := &remoteAnswer{
		session:  s,
		single:   kind == frameCall,
		counters: s.connection.stats.method(method),
		start:    unknownStart,
	}
	a.inbox.init()
	a.abandon = a.sendCancel
	a.grant = a.sendCredit
	return a
}

// unknownStart marks a request that is not queued yet.
const unknownStart = ^uint64(0)

func (s *clientSession) register(a *remoteAnswer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return errSessionClosing
	}
	for {
		s.lastID++
		if _, used := s.answers[s.lastID]; s.lastID != 0 && !used {
			break
		}
	}
	a.streamID = s.lastID
	s.answers[a.streamID] = a
	return nil
}

// setStart notes the request's offset. When the connection failed in between,
// closed has already ended the answer.
func (s *clientSession) setStart(a *remoteAnswer, start uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.start = start
}

func (s *clientSession) remove(streamID uint32) *remoteAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answers[streamID]
	delete(s.answers, streamID)
	return a
}

func (s *clientSession) find(streamID uint32) *remoteAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers[streamID]
}

// handleFrame implements session. Frames of unknown streams are late answers
// to canceled requests.
func (s *clientSession) handleFrame(received frame) error {
	switch received.kind {
	case frameMessage:
		return s.handleMessage(received)
	case frameEnd:
		received.body.release()
		if a := s.remove(received.streamID); a != nil {
			a.counters.addReceived(frameHeaderSize)
			a.inbox.finish(io.EOF)
		}
		return nil
	case frameError:
		return s.handleError(received)
	default:
		return errProtocol
	}
}

func (s *clientSession) handleMessage(received frame) error {
	a := s.takeMessage(received.streamID)
	if a == nil {
		received.body.release()
		return nil
	}
	a.counters.addReceived(received.size())
	err := a.inbox.push(received.body)
	if a.single {
		a.inbox.finish(io.EOF)
	}
	return err
}

// takeMessage returns the answer that a message belongs to. A call's only message ends it: its caller
// finds the connection idle once it has the answer.
func (s *clientSession) takeMessage(streamID uint32) *remoteAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answers[streamID]
	if a != nil && a.single {
		delete(s.answers, streamID)
	}
	return a
}

func (s *clientSession) handleError(received frame) error {
	defer received.body.release()
	a := s.remove(received.streamID)
	if a == nil {
		return nil
	}
	a.counters.addReceived(received.size())
	failure := &errkind.Error{}
	if err := decode(received.body.data, failure); err != nil {
		a.inbox.finish(&DeliveryError{Sent: true, Err: errors.Wrap(err, "decode error")})
		return errProtocol
	}
	a.inbox.finish(failure)
	return nil
}

// closed implements session: it fails what is open.
func (s *clientSession) closed(cause error) {
	s.mu.Lock()
	s.closing = true
	answers := s.answers
	s.answers = make(map[uint32]*remoteAnswer)
	s.mu.Unlock()
	for _, a := range answers {
		a.inbox.finish(&DeliveryError{Sent: s.mayBeSent(a), Err: cause})
	}
	s.onClosed(s)
}

// mayBeSent reports whether a byte of the request may have left. A request
// that is being queued right now counts as sent.
func (s *clientSession) mayBeSent(a *remoteAnswer) bool {
	s.mu.Lock()
	start := a.start
	s.mu.Unlock()
	return start == unknownStart || s.connection.wasGiven(start)
}

// activeStreams implements session.
func (s *clientSession) activeStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}

// closeIdle implements session.
func (s *clientSession) closeIdle(idleTicks int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idleTicks < dialerIdleTicks || len(s.answers) > 0 {
		return false
	}
	s.closing = true
	return true
}

func (a *remoteAnswer) sendCancel() {
	if a.session.remove(a.streamID) != nil {
		a.session.connection.sendControl(newFrame(frameCancel, a.streamID))
	}
}

func (a *remoteAnswer) sendCredit(consumed int) {
	if a.session.find(a.streamID) == nil {
		return
	}
	credit := newFrame(frameCredit, a.streamID)
	credit.setCredit(consumed)
	a.session.connection.sendControl(credit)
}
