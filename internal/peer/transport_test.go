package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const testTimeout = 20 * time.Second

type echo struct {
	Text  string   `msgpack:"t"`
	Items []string `msgpack:"i"`
}

func newTestTransport(t testing.TB, id string, register func(Registry)) *Transport {
	t.Helper()
	transport := New(Options{NodeID: id, ListenAddress: "127.0.0.1:0", Registerer: prometheus.NewRegistry()})
	register(transport)
	assert.NilError(t, transport.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = transport.Close(ctx)
	})
	return transport
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func echoCall(_ context.Context, request Request) (any, error) {
	var message echo
	if err := request.Decode(&message); err != nil {
		return nil, err
	}
	message.Text = request.From() + ":" + message.Text
	return &message, nil
}

func deliveryError(t *testing.T, err error) *DeliveryError {
	t.Helper()
	var failure *DeliveryError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure
}

func TestCallResponsesAndErrors(t *testing.T) {
	register := func(registry Registry) {
		registry.HandleCall(MethodTable, echoCall)
		registry.HandleCall(MethodProbe, func(context.Context, Request) (any, error) {
			return nil, errkind.New(errkind.CapReached, "cap")
		})
		registry.HandleCall(MethodGossip, func(context.Context, Request) (any, error) { panic("broken") })
	}
	server := newTestTransport(t, "server", register)
	client := newTestTransport(t, "client", register)
	ctx := testContext(t)
	for _, address := range []string{server.Address(), client.Address()} {
		items := []string{"a", "b"}
		var response echo
		assert.NilError(t, client.Call(ctx, address, MethodTable, &echo{Text: "x", Items: items}, &response))
		assert.Equal(t, response.Text, "client:x")
		response.Items[0] = "changed"
		assert.Equal(t, items[0], "a")

		err := client.Call(ctx, address, MethodProbe, nil, nil)
		assert.Assert(t, errkind.Is(err, errkind.CapReached), "%v", err)
		err = client.Call(ctx, address, MethodGossip, nil, nil)
		assert.Assert(t, errkind.Is(err, errkind.Internal), "%v", err)
		err = client.Call(ctx, address, MethodTrainer, nil, nil)
		assert.Assert(t, errkind.Is(err, errkind.NotFound), "%v", err)
		err = client.Call(ctx, address, MethodTable, "not a struct", nil)
		assert.Assert(t, errkind.Is(err, errkind.InvalidRequest), "%v", err)
	}
	assert.Equal(t, server.Stats()[MethodTable].MessagesReceived, uint64(2))
	assert.Equal(t, server.Stats()[MethodTable].MessagesSent, uint64(2))
	assert.Equal(t, client.Stats()[MethodTable].BytesSent, server.Stats()[MethodTable].BytesReceived)
}

func TestDialFailureReportsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client := newTestTransport(t, "client", func(Registry) {})
	err = client.Call(testContext(t), address, MethodProbe, nil, nil)
	assert.Assert(t, !deliveryError(t, err).Sent)
	_, err = client.OpenStream(testContext(t), "no port", MethodSubmit, nil)
	assert.Assert(t, !deliveryError(t, err).Sent)
}

func TestBrokenConnectionReportsSent(t *testing.T) {
	register := func(registry Registry) {
		registry.HandleStream(MethodSubmit, func(ctx context.Context, _ Request, sender Sender) error {
			if err := sender.Send("first"); err != nil {
				return err
			}
			<-ctx.Done()
			return ctx.Err()
		})
	}
	server := newTestTransport(t, "server", register)
	client := newTestTransport(t, "client", func(Registry) {})
	stream, err := client.OpenStream(testContext(t), server.Address(), MethodSubmit, nil)
	assert.NilError(t, err)
	var message string
	assert.NilError(t, stream.Receive(&message))
	for _, c := range server.openConnections() {
		c.fail(errors.New("cut"))
	}
	assert.Assert(t, deliveryError(t, stream.Receive(&message)).Sent)
	assert.Assert(t, deliveryError(t, stream.Receive(&message)).Sent)
}

func TestRequestNotWrittenToSocketReportsNotSent(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	c := newConnection(local, newTrafficStats())
	session := newClientSession(c, func(*clientSession) {})
	go c.writeLoop()
	first, err := session.open(testContext(t), frameCall, MethodProbe, "first")
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.wasWritten(first.requestOffset) {
			return poll.Success()
		}
		return poll.Continue("first request is not written to the socket")
	}, poll.WithTimeout(testTimeout))
	second, err := session.open(testContext(t), frameCall, MethodProbe, "second")
	assert.NilError(t, err)
	c.fail(errors.New("cut"))
	assert.Assert(t, deliveryError(t, first.receiveOne(testContext(t), nil)).Sent)
	assert.Assert(t, !deliveryError(t, second.receiveOne(testContext(t), nil)).Sent)
}

// Guards against calls that hang when the peer accepts the connection but never responds, like a paused process.
func TestUnresponsiveConnectionFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client := newTestTransport(t, "client", func(Registry) {})
	result := make(chan error, 1)
	go func() { result <- client.Call(testContext(t), listener.Addr().String(), MethodProbe, nil, nil) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, c := range client.openConnections() {
			if c.session.activeStreams() == 1 {
				return poll.Success()
			}
		}
		return poll.Continue("call is not open")
	}, poll.WithTimeout(testTimeout))
	assert.Assert(t, deliveryError(t, <-result).Sent)
}

func TestStreamOrderWithSlowReader(t *testing.T) {
	const messages = 2000
	text := strings.Repeat("x", 1000)
	register := func(registry Registry) {
		registry.HandleStream(MethodSubmit, func(_ context.Context, _ Request, sender Sender) error {
			for i := range messages {
				if err := sender.Send(&echo{Text: text, Items: []string{string(rune('a' + i%26))}}); err != nil {
					return err
				}
			}
			return nil
		})
	}
	server := newTestTransport(t, "server", register)
	client := newTestTransport(t, "client", register)
	for _, address := range []string{server.Address(), client.Address()} {
		slow, err := client.OpenStream(testContext(t), address, MethodSubmit, nil)
		assert.NilError(t, err)
		fast, err := client.OpenStream(testContext(t), address, MethodSubmit, nil)
		assert.NilError(t, err)
		readAll(t, fast, messages)
		readAll(t, slow, messages)
	}
}

func readAll(t *testing.T, stream Stream, messages int) {
	t.Helper()
	for i := range messages {
		var message echo
		assert.NilError(t, stream.Receive(&message))
		assert.Equal(t, message.Items[0], string(rune('a'+i%26)))
	}
	assert.Equal(t, stream.Receive(&echo{}), io.EOF)
	assert.Equal(t, stream.Receive(&echo{}), io.EOF)
}

func TestCancelReachesHandler(t *testing.T) {
	ended := make(chan error, 4)
	register := func(registry Registry) {
		registry.HandleStream(MethodSubmit, func(ctx context.Context, _ Request, sender Sender) error {
			for sender.Send(&echo{Text: strings.Repeat("x", 1000)}) == nil {
			}
			ended <- ctx.Err()
			return nil
		})
		registry.HandleCall(MethodTrainer, func(ctx context.Context, _ Request) (any, error) {
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
	}
	server := newTestTransport(t, "server", register)
	client := newTestTransport(t, "client", register)
	for _, address := range []string{server.Address(), client.Address()} {
		ctx, cancel := context.WithCancel(testContext(t))
		stream, err := client.OpenStream(ctx, address, MethodSubmit, nil)
		assert.NilError(t, err)
		assert.NilError(t, stream.Receive(&echo{}))
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.ErrorIs(t, stream.Receive(&echo{}), context.Canceled)

		stream, err = client.OpenStream(testContext(t), address, MethodSubmit, nil)
		assert.NilError(t, err)
		stream.Close()
		assert.ErrorIs(t, <-ended, context.Canceled)

		ctx, cancel = context.WithTimeout(testContext(t), 50*time.Millisecond)
		err = client.Call(ctx, address, MethodTrainer, nil, nil)
		cancel()
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, deliveryError(t, err).Sent)
		assert.ErrorIs(t, <-ended, context.Canceled)
	}
}

func TestCloseDrainsHandlersAndRejectsNewCalls(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := newTestTransport(t, "server", func(registry Registry) {
		registry.HandleCall(MethodTrainer, func(context.Context, Request) (any, error) {
			close(entered)
			<-release
			return "done", nil
		})
	})
	client := newTestTransport(t, "client", func(Registry) {})
	ctx := testContext(t)
	result := make(chan error, 1)
	var response string
	go func() { result <- client.Call(ctx, server.Address(), MethodTrainer, nil, &response) }()
	<-entered
	closed := make(chan error, 1)
	go func() { closed <- server.Close(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if errkind.Is(client.Call(ctx, server.Address(), MethodTable, nil, nil), errkind.ShuttingDown) {
			return poll.Success()
		}
		return poll.Continue("server still accepts calls")
	}, poll.WithTimeout(testTimeout))
	close(release)
	assert.NilError(t, <-result)
	assert.Equal(t, response, "done")
	assert.NilError(t, <-closed)
	// Until the client has read the end of the connection, a request may still be passed to its socket and
	// then counts as sent.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !deliveryError(t, client.Call(ctx, server.Address(), MethodTable, nil, nil)).Sent {
			return poll.Success()
		}
		return poll.Continue("client still uses the closed connection")
	}, poll.WithTimeout(testTimeout))
}

func TestIdleConnectionIsReplaced(t *testing.T) {
	server := newTestTransport(t, "server", func(registry Registry) { registry.HandleCall(MethodTable, echoCall) })
	client := newTestTransport(t, "client", func(Registry) {})
	ctx := testContext(t)
	assert.NilError(t, client.Call(ctx, server.Address(), MethodTable, &echo{}, nil))
	l, err := client.link(server.Address())
	assert.NilError(t, err)
	session, err := l.get(ctx)
	assert.NilError(t, err)
	assert.Assert(t, session.closeIdle(dialerIdleTicks))
	assert.NilError(t, client.Call(ctx, server.Address(), MethodTable, &echo{}, nil))
}

// A caller that has received its response must find the connection idle.
func TestConnectionIsIdleBeforeResponseIsDelivered(t *testing.T) {
	server := newTestTransport(t, "server", func(registry Registry) { registry.HandleCall(MethodTable, echoCall) })
	client := newTestTransport(t, "client", func(Registry) {})
	ctx := testContext(t)
	assert.NilError(t, client.Call(ctx, server.Address(), MethodTable, &echo{}, nil))
	l, err := client.link(server.Address())
	assert.NilError(t, err)
	session, err := l.get(ctx)
	assert.NilError(t, err)
	pending := session.newStream(frameCall, MethodTable)
	assert.NilError(t, session.register(pending))
	// The lock blocks delivery of the response.
	pending.receiveQueue.mu.Lock()
	handled := make(chan error, 1)
	go func() {
		handled <- session.handleMessage(frame{kind: frameMessage, streamID: pending.streamID, body: newBody(1)})
	}()
	testwait.Until(t, "the end of the call", func() bool { return session.activeStreams() == 0 })
	pending.receiveQueue.mu.Unlock()
	assert.NilError(t, <-handled)
	_, err = pending.receiveQueue.pop(nil)
	assert.NilError(t, err)
}
