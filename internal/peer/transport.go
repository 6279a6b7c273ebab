package peer

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Transport implements Caller and Registry over TCP. One connection goes to
// each peer address in use; it is dialed on demand and closed when idle.
type Transport struct {
	options Options
	stats   *trafficStats
	// baseContext ends at the end of Close.
	baseContext context.Context
	stop        context.CancelFunc

	// Handlers are written before Start and read-only afterwards.
	callHandlers   map[Method]CallHandler
	streamHandlers map[Method]StreamHandler

	linksMu sync.RWMutex
	links   map[string]*link

	// address is read with every call.
	address atomic.Pointer[string]

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]struct{}
	running     int
	draining    bool
	closed      bool
	drained     chan struct{} // closed when draining and nothing is running
	loops       sync.WaitGroup
}

// New returns a transport that does not listen yet. Calls to other nodes work
// from the start. It panics when the counters are already in the Registerer.
func New(options Options) *Transport {
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

// HandleCall implements Registry. Call it before Start.
func (t *Transport) HandleCall(method Method, handler CallHandler) {
	t.callHandlers[method] = handler
}

// HandleStream implements Registry. Call it before Start.
func (t *Transport) HandleStream(method Method, handler StreamHandler) {
	t.streamHandlers[method] = handler
}

// Listen binds the listener, so that Address is final while handlers may still
// be registered. Connections wait in the backlog until Start.
func (t *Transport) Listen() error {
	listener, err := net.Listen("tcp", t.options.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	address, err := advertised(t.options.AdvertiseAddress, listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return errors.Wrap(err, "advertised peer address")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.listener != nil {
		_ = listener.Close()
		return errors.New("peer transport listens already or is closed")
	}
	t.listener = listener
	t.address.Store(&address)
	return nil
}

// Start listens, unless Listen did, and serves until Close. Call it once.
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

// advertised fills an empty address or a zero port from the listener's address.
func advertised(wanted, listening string) (string, error) {
	if wanted == "" {
		return listening, nil
	}
	host, port, err := net.SplitHostPort(wanted)
	if err != nil {
		return "", err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil {
		return "", err
	} else if number != 0 {
		return wanted, nil
	}
	_, port, err = net.SplitHostPort(listening)
	return net.JoinHostPort(host, port), err
}

// Address returns the address under which peers reach this node; final after
// Listen or Start.
func (t *Transport) Address() string { return *t.address.Load() }

// Stats returns the traffic by method since the transport was made.
func (t *Transport) Stats() map[Method]MethodStats { return t.stats.read() }

// Call implements Caller.
func (t *Transport) Call(ctx context.Context, address string, method Method, request, response any) error {
	if address == t.Address() {
		a, err := t.openLocal(frameCall, method, request)
		if err != nil {
			return err
		}
		return a.receiveOne(ctx, response)
	}
	a, err := t.openRemote(ctx, address, frameCall, method, request)
	if err != nil {
		return err
	}
	return a.receiveOne(ctx, response)
}

// OpenStream implements Caller. The stream ends with ctx.
func (t *Transport) OpenStream(ctx context.Context, address string, method Method, request any) (Stream, error) {
	if address == t.Address() {
		a, err := t.openLocal(frameOpen, method, request)
		if err != nil {
			return nil, err
		}
		a.watch(ctx)
		return a, nil
	}
	a, err := t.openRemote(ctx, address, frameOpen, method, request)
	if err != nil {
		return nil, err
	}
	a.watch(ctx)
	return a, nil
}

// openRemote sends the request. A connection that closes as idle at that
// moment is replaced once.
func (t *Transport) openRemote(
	ctx context.Context, address string, kind frameKind, method Method, request any,
) (*remoteAnswer, error) {
	for attempt := 0; ; attempt++ {
		a, err := t.tryOpen(ctx, address, kind, method, request)
		if err == nil {
			return a, nil
		}
		if attempt > 0 || !errors.Is(err, errSessionClosing) {
			return nil, &DeliveryError{Sent: false, Err: err}
		}
	}
}

func (t *Transport) tryOpen(
	ctx context.Context, address string, kind frameKind, method Method, request any,
) (*remoteAnswer, error) {
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
	a, err := session.open(ctx, kind, method, request)
	if errors.Is(err, errSessionClosing) {
		l.forget(session)
	}
	return a, err
}

// link returns the link to the address, making it if needed.
func (t *Transport) link(address string) (*link, error) {
	t.linksMu.RLock()
	l := t.links[address]
	t.linksMu.RUnlock()
	if l != nil {
		return l, nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, errors.Wrap(err, "peer address")
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

// begin counts a handler that is about to run; false while draining.
func (t *Transport) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.running++
	return true
}

func (t *Transport) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.draining && t.running == 0 {
		close(t.drained)
	}
}

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
