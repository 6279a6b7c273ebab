package scale

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// place is where a node or a platform service stands.
type place struct {
	zone   string
	region int
}

// network carries calls between the nodes of one process. Requests and answers
// are encoded and decoded as by the peer transport, so nothing is shared and
// the counted sizes are those of its frames.
type network struct {
	latency latencies
	traffic *traffic

	mu        sync.RWMutex
	endpoints map[string]*endpoint
	// apart holds the regions that hear only themselves.
	apart map[int]bool
}

// latencies are one-way delays.
type latencies struct {
	zone, region, far time.Duration
}

// between returns the one-way delay between two places.
func (l latencies) between(a, b place) time.Duration {
	switch {
	case a.region != b.region:
		return l.far
	case a.zone != b.zone:
		return l.region
	default:
		return l.zone
	}
}

func newNetwork(latency latencies) *network {
	return &network{
		latency:   latency,
		traffic:   newTraffic(),
		endpoints: make(map[string]*endpoint),
		apart:     make(map[int]bool),
	}
}

// endpoint is one node's side of the network: its peer.Caller and peer.Registry.
type endpoint struct {
	network *network
	id      string
	address string
	place   place
	// silent is set when the machine has lost power: calls to it and from it
	// get no answer, not even a refusal.
	silent   atomic.Bool
	handlers map[peer.Method]peer.CallHandler
	links    links
}

var (
	_ peer.Caller   = (*endpoint)(nil)
	_ peer.Registry = (*endpoint)(nil)

	errSilent = errors.New("no answer")
	errStream = errors.New("the in-memory network carries calls only")
)

// endpoint returns a new endpoint, which takes the place of an earlier one of
// the address once connect is called.
func (n *network) endpoint(id, address string, at place) *endpoint {
	return &endpoint{
		network:  n,
		id:       id,
		address:  address,
		place:    at,
		handlers: make(map[peer.Method]peer.CallHandler),
	}
}

// connect makes the endpoint reachable; all handlers must be registered.
func (n *network) connect(e *endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[e.address] = e
}

// cut keeps a region from all others, or ends that.
func (n *network) cut(region int, apart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.apart[region] = apart
}

// passes reports whether messages get from one place to the other.
func (n *network) passes(from, to place) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return from.region == to.region || !n.apart[from.region] && !n.apart[to.region]
}

func (n *network) find(address string) *endpoint {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.endpoints[address]
}

// HandleCall implements peer.Registry.
func (e *endpoint) HandleCall(method peer.Method, handler peer.CallHandler) {
	e.handlers[method] = handler
}

// HandleStream implements peer.Registry; streams are not carried.
func (e *endpoint) HandleStream(peer.Method, peer.StreamHandler) {}

// OpenStream implements peer.Caller; it always fails.
func (e *endpoint) OpenStream(context.Context, string, peer.Method, any) (peer.Stream, error) {
	return nil, &peer.DeliveryError{Err: errStream}
}

// Call implements peer.Caller.
func (e *endpoint) Call(ctx context.Context, address string, method peer.Method, request, response any) error {
	sent, err := encode(request)
	if err != nil {
		return &peer.DeliveryError{Err: err}
	}
	to := e.network.find(address)
	if to == e {
		return e.answer(ctx, e, method, sent, response)
	}
	if e.silent.Load() {
		return waitForNothing(ctx)
	}
	e.links.use(e.network.traffic, address)
	e.network.traffic.request(method, len(sent))
	if to == nil || to.silent.Load() || !e.network.passes(e.place, to.place) {
		return waitForNothing(ctx)
	}
	delay := e.network.latency.between(e.place, to.place)
	if err := sleep(ctx, 2*delay); err != nil {
		return &peer.DeliveryError{Sent: true, Err: err}
	}
	return e.answer(ctx, to, method, sent, response)
}

// answer runs the handler and hands its answer to the caller.
func (e *endpoint) answer(ctx context.Context, to *endpoint, method peer.Method, sent []byte, response any) error {
	handler := to.handlers[method]
	if handler == nil {
		return errkind.New(errkind.NotFound, "no handler for %q", method)
	}
	answer, err := handler(ctx, &request{from: e.id, data: sent})
	if err != nil {
		return errkind.From(err)
	}
	received, err := encode(answer)
	if err != nil {
		return errkind.From(err)
	}
	if to != e {
		e.network.traffic.response(method, len(received))
	}
	return msgpack.Unmarshal(received, response)
}

// waitForNothing is a call to a peer that does not answer.
func waitForNothing(ctx context.Context) error {
	<-ctx.Done()
	return &peer.DeliveryError{Sent: true, Err: errSilent}
}

// request implements peer.Request.
type request struct {
	from string
	data []byte
}

// From implements peer.Request.
func (r *request) From() string { return r.from }

// Decode implements peer.Request.
func (r *request) Decode(message any) error { return msgpack.Unmarshal(r.data, message) }

// encode encodes a message as the peer transport does.
func encode(message any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return buffer.Bytes(), nil
}

// sleep waits for the duration or the end of ctx.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
