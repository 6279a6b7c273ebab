package peer

import (
	"context"
	"math"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/connections"
)

// Transport implements Caller and Registry over TCP. It keeps one connection to each peer address in use,
// which is dialed on demand and closed when idle.
type Transport struct {
	options Options
	stats   *trafficStats
	// baseContext is canceled at the end of Close.
	baseContext context.Context
	stop        context.CancelFunc

	// The handler maps are written before Start and read-only afterwards.
	callHandlers   map[Method]CallHandler
	streamHandlers map[Method]StreamHandler

	linksMu sync.RWMutex
	links   map[string]*link

	// address is atomic since it is read by every call.
	address atomic.Pointer[string]

	mu              sync.Mutex
	listener        net.Listener
	connections     map[*connection]struct{}
	runningHandlers int
	draining        bool
	closed          bool
	drained         chan struct{}  // closed when draining and no handler is running
	loops           sync.WaitGroup // accept and keepalive loops
}

// New returns a transport that does not listen yet but can already make calls. It panics if the metrics are
// already registered.
func New(options Options) *Transport {
	if options.Connections == nil {
		options.Connections, options.Group = connections.NewSet(nil), connections.NewGroup(math.MaxInt)
	}
	t := &Transport{
		options:        options,
		stats:          newTrafficStats(),
		callHandlers:   make(map[Method]CallHandler),
		streamHandlers: make(map[Method]StreamHandler),
		links:          make(map[string]*link),
		connections:    make(map[*connection]struct{}),
		drained:        make(chan struct{}),
	}
	t.address.Store(&options.AdvertiseAddress)
	t.baseContext, t.stop = context.WithCancel(context.Background())
	if options.Registerer != nil {
		options.Registerer.MustRegister(t.stats)
	}
	t.loops.Go(t.keepaliveLoop)
	return t
}

// HandleCall implements Registry. It must be called before Start.
func (t *Transport) HandleCall(method Method, handler CallHandler) {
	t.callHandlers[method] = handler
}

// HandleStream implements Registry. It must be called before Start.
func (t *Transport) HandleStream(method Method, handler StreamHandler) {
	t.streamHandlers[method] = handler
}

// Listen binds the listener, so that Address is final while handlers can still be registered. Connections
// wait in the backlog until Start.
func (t *Transport) Listen() error {
	listener, err := net.Listen("tcp", t.options.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peer connections")
	}
	address, err := advertiseAddress(t.options.AdvertiseAddress, listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return errors.Wrap(err, "determine advertised peer address")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.listener != nil {
		_ = listener.Close()
		return errors.New("peer transport is already listening or closed")
	}
	t.listener = listener
	t.address.Store(&address)
	return nil
}

// Start calls Listen if necessary, and serves connections until Close. It must be called once.
func (t *Transport) Start() error {
	t.mu.Lock()
	listening := t.listener != nil
	t.mu.Unlock()
	if !listening {
		if err := t.Listen(); err != nil {
			return err
		}
	}
	t.loops.Go(func() { t.acceptLoop(t.listener) })
	return nil
}

// advertiseAddress returns the configured address, with an empty address or a zero port replaced from the
// listener's address.
func advertiseAddress(configured, listening string) (string, error) {
	if configured == "" {
		return listening, nil
	}
	host, port, err := net.SplitHostPort(configured)
	if err != nil {
		return "", err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil {
		return "", err
	} else if number != 0 {
		return configured, nil
	}
	_, port, err = net.SplitHostPort(listening)
	return net.JoinHostPort(host, port), err
}

// Address returns the address at which peers reach this node. It is final after Listen or Start.
func (t *Transport) Address() string { return *t.address.Load() }

// Stats returns the traffic by method since the transport was created.
func (t *Transport) Stats() map[Method]MethodStats { return t.stats.read() }

// Call implements Caller.
func (t *Transport) Call(ctx context.Context, address string, method Method, request, response any) error {
	if address == t.Address() {
		stream, err := t.openLocal(frameCall, method, request)
		if err != nil {
			return err
		}
		return stream.receiveOne(ctx, response)
	}
	stream, err := t.openRemote(ctx, address, frameCall, method, request)
	if err != nil {
		return err
	}
	return stream.receiveOne(ctx, response)
}

// OpenStream implements Caller. The stream is canceled when ctx ends.
func (t *Transport) OpenStream(ctx context.Context, address string, method Method, request any) (Stream, error) {
	if address == t.Address() {
		stream, err := t.openLocal(frameOpen, method, request)
		if err != nil {
			return nil, err
		}
		stream.cancelOnDone(ctx)
		return stream, nil
	}
	stream, err := t.openRemote(ctx, address, frameOpen, method, request)
	if err != nil {
		return nil, err
	}
	stream.cancelOnDone(ctx)
	return stream, nil
}

// openRemote sends a request to another node. It retries once if the connection was closing.
func (t *Transport) openRemote(
	ctx context.Context, address string, kind frameKind, method Method, request any,
) (*remoteStream, error) {
	for attempt := 0; ; attempt++ {
		stream, err := t.tryOpen(ctx, address, kind, method, request)
		if err == nil {
			return stream, nil
		}
		if attempt > 0 || !errors.Is(err, errSessionClosing) {
			return nil, &DeliveryError{Sent: false, Err: err}
		}
	}
}

func (t *Transport) tryOpen(
	ctx context.Context, address string, kind frameKind, method Method, request any,
) (*remoteStream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l, err := t.link(address)
	if err != nil {
		return nil, err
	}
	session, err := l.get(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.open(ctx, kind, method, request)
	if errors.Is(err, errSessionClosing) {
		l.discard(session)
	}
	return stream, err
}

// link returns the link to the address, creating it if needed.
func (t *Transport) link(address string) (*link, error) {
	t.linksMu.RLock()
	l := t.links[address]
	t.linksMu.RUnlock()
	if l != nil {
		return l, nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, errors.Wrap(err, "parse peer address")
	}
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	if l := t.links[address]; l != nil {
		return l, nil
	}
	l = newLink(t, address)
	t.links[address] = l
	return l, nil
}

// beginHandler counts a handler that is about to run. It returns false if the transport is draining.
func (t *Transport) beginHandler() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.runningHandlers++
	return true
}

func (t *Transport) endHandler() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runningHandlers--
	if t.draining && t.runningHandlers == 0 {
		close(t.drained)
	}
}

// addConnection registers a connection. It returns false if the transport is closed.
func (t *Transport) addConnection(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.connections[c] = struct{}{}
	return true
}

func (t *Transport) removeConnection(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.connections, c)
}

func (t *Transport) openConnections() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make([]*connection, 0, len(t.connections))
	for c := range t.connections {
		open = append(open, c)
	}
	return open
}
