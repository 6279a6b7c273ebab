// Package peerload exchanges load data with other nodes: a node sends its own to the exchange node of its zone, which
// responds with that of the others, and the exchange nodes of the zones swap theirs. Entries are hints: they are kept in
// memory only, and without them a node chooses engines by its own requests and the loads that engines report to it.
package peerload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/cooldown"
	"github.com/corkpulley/corkpulley/internal/common/msgpackhttp"
	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
)

const (
	// Path is the URL path of the messages between nodes.
	Path = "/load-exchange"
	// maxMessageBytes leaves room for fields that later builds add.
	maxMessageBytes = 4 * loadexchange.MaxBytes
	// peerPause is how long a node is skipped after a call that it didn't answer.
	peerPause = 2 * time.Second
	// swapTicks is the least number of intervals between two swaps of the same two zones.
	swapTicks = 4
	// maxUnreachable bounds the nodes that are remembered as unreachable, since node IDs may change at each start.
	maxUnreachable = 1024
)

// Kind is the kind of a call.
type Kind string

// Kinds of calls.
const (
	// NodeCall sends the load data of this node to the exchange node.
	NodeCall Kind = "node"
	// ZoneCall swaps the load data of two zones.
	ZoneCall Kind = "zone"
)

// Outcome is the outcome of a call or of a received message.
type Outcome string

// Outcomes of calls and of received messages.
const (
	Answered   Outcome = "answered"
	Unanswered Outcome = "unanswered"
	// Served: a message of another node was answered.
	Served Outcome = "served"
	// Rejected: a message could not be used.
	Rejected Outcome = "rejected"
)

// Options configures the exchange of a node.
type Options struct {
	// Node and Zone are the ID and the zone of this node.
	Node string
	Zone string
	// Interval is the time between two calls.
	Interval time.Duration
	// Nodes returns the live nodes, including this one.
	Nodes func() []loadexchange.Node
	// OwnLoad returns this node's load data; empty if it had no requests since the last call. Times are those of
	// package boottime.
	OwnLoad func(now time.Time) []loadexchange.Entry
	// SetPeerLoad replaces the load data of other nodes.
	SetPeerLoad func(entries []loadexchange.Entry)
	Client      *http.Client
	Logger      zerolog.Logger
	// Observe is called with each call and each received message.
	Observe func(kind Kind, outcome Outcome)
	// ObserveView is called with the number of entries of each new view; with zero when it expires.
	ObserveView func(entries int)
}

// Exchange sends and serves the load data of a node. It is safe for concurrent use.
type Exchange struct {
	options Options
	now     func() time.Time
	paused  *cooldown.Set
	// swaps counts running swaps with other zones; swapping bounds them to one.
	swaps    sync.WaitGroup
	swapping chan struct{}

	// The following fields are used by tick only.
	exchangeNode string
	viewAt       time.Time
	viewExpired  bool

	mu    sync.Mutex
	state *loadexchange.State
	// ticks counts the intervals; swappedAt holds the tick of the last swap with each zone, started by either of them.
	ticks     int64
	swappedAt map[string]int64
	// unreachable holds the nodes whose last call failed.
	unreachable map[string]bool
}

// New returns an exchange that makes calls while Run runs.
func New(options Options) *Exchange {
	return &Exchange{
		options: options, now: boottime.Now, paused: cooldown.New(), swapping: make(chan struct{}, 1),
		state: loadexchange.NewState(), swappedAt: make(map[string]int64), unreachable: make(map[string]bool),
	}
}

// Run exchanges load data in each interval until ctx ends. The first interval has a random length, so that nodes that
// start together don't call together.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.swaps.Wait()
	first := time.NewTimer(rand.N(e.options.Interval))
	defer first.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-first.C:
	}
	ticker := time.NewTicker(e.options.Interval)
	defer ticker.Stop()
	for {
		e.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// callTimeout bounds a call to half the interval. A later response than the TTL has no entry left.
func (e *Exchange) callTimeout() time.Duration { return min(e.options.Interval/2, loadexchange.TTL) }

// tick makes at most one call: to the exchange node, or to another zone if this node is the exchange node.
func (e *Exchange) tick(ctx context.Context) {
	now := e.now()
	e.mu.Lock()
	e.ticks++
	e.mu.Unlock()
	own := e.options.OwnLoad(now)
	called := false
	if len(own) > 0 {
		called = e.send(ctx, own, now)
	}
	e.checkExpiry(len(own) > 0)
	if !called {
		e.swap(ctx)
	}
}

// send passes this node's load data to the exchange node and uses the view that it returns. It reports whether it
// made a call.
func (e *Exchange) send(ctx context.Context, own []loadexchange.Entry, now time.Time) bool {
	chosen, found := loadexchange.ExchangeNode(e.options.Nodes(), e.options.Zone, e.isSkipped)
	if !found {
		return false
	}
	services := loadexchange.Services(own)
	if chosen.ID == e.options.Node {
		e.mu.Lock()
		e.state.MergeNode(e.options.Node, own, now)
		view := e.state.View(e.options.Node, services, now)
		e.mu.Unlock()
		e.setView(chosen.ID, view, now)
		return false
	}
	response, err := e.call(ctx, NodeCall, chosen, loadexchange.Message{Node: e.options.Node, Services: services}, own)
	if err == nil {
		e.setView(chosen.ID, response, now)
	}
	return true
}

func (e *Exchange) isSkipped(node loadexchange.Node) bool { return e.paused.Active(node.ID) }

// call sends entries to another node and returns those of its response.
func (e *Exchange) call(
	ctx context.Context, kind Kind, to loadexchange.Node, sender loadexchange.Message, entries []loadexchange.Entry,
) ([]loadexchange.Entry, error) {
	timeout := e.callTimeout()
	if kind == ZoneCall {
		// No other call waits for a swap, and a new connection to another region takes longer.
		timeout = loadexchange.TTL
	}
	began := e.now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	received, err := e.post(callCtx, to, sender, entries, began)
	if err != nil {
		if ctx.Err() == nil {
			e.recordFailure(kind, to, e.now().Sub(began), err)
		}
		return nil, err
	}
	e.options.Observe(kind, Answered)
	e.mu.Lock()
	delete(e.unreachable, to.ID)
	e.mu.Unlock()
	return received, nil
}

// post sends the body only once the peer requests it: a peer that resumes after a suspension must not take the entries
// of a sender that gave up for new ones. The ages in the request count up to that time, and those in the response from
// it: the peer responds later, so that entries may seem older than they are, but never younger.
func (e *Exchange) post(
	ctx context.Context, to loadexchange.Node, sender loadexchange.Message, entries []loadexchange.Entry,
	began time.Time,
) ([]loadexchange.Entry, error) {
	var encodedAt atomic.Pointer[time.Time]
	encode := func() (any, error) {
		now := e.now()
		encodedAt.Store(&now)
		message, err := loadexchange.NewMessage(sender, entries, now)
		return &message, err
	}
	var response loadexchange.Message
	err := msgpackhttp.CallDeferred(
		ctx, e.options.Client, "http://"+to.Address+Path, encode, &response, maxMessageBytes,
	)
	if err != nil {
		return nil, err
	}
	if requestedAt := encodedAt.Load(); requestedAt != nil {
		began = *requestedAt
	}
	return response.Entries(began)
}

// recordFailure skips the node for peerPause. Only the first of consecutive failures is logged.
func (e *Exchange) recordFailure(kind Kind, to loadexchange.Node, took time.Duration, err error) {
	e.options.Observe(kind, Unanswered)
	e.paused.Start(to.ID, peerPause)
	e.mu.Lock()
	if len(e.unreachable) >= maxUnreachable {
		clear(e.unreachable)
	}
	known := e.unreachable[to.ID]
	e.unreachable[to.ID] = true
	e.mu.Unlock()
	if !known {
		e.options.Logger.Info().Err(err).Str("node", to.ID).Str("zone", to.Zone).Dur("took_ms", took).
			Msg("load exchange node unreachable")
	}
}

// setView uses a view that the exchange node returned. Nodes that were tried in vain are no change of the exchange node:
// with many of them there would be a line per call.
func (e *Exchange) setView(exchangeNode string, view []loadexchange.Entry, now time.Time) {
	if exchangeNode != e.exchangeNode {
		e.options.Logger.Info().Str("node", exchangeNode).Str("previous", e.exchangeNode).
			Msg("load exchange node changed")
		e.exchangeNode = exchangeNode
	}
	e.options.SetPeerLoad(view)
	e.options.ObserveView(len(view))
	e.viewAt = now
	if e.viewExpired {
		e.viewExpired = false
		e.options.Logger.Info().Str("node", e.exchangeNode).Int("engines", len(view)).Msg("load exchange view received again")
	}
}

// checkExpiry clears the view once it is older than the TTL, also if the clock by which the fleet expires entries stood
// still while the machine was suspended. Only a view that expired while this node had requests is logged: without
// requests, expiry is normal.
func (e *Exchange) checkExpiry(hasRequests bool) {
	now := e.now()
	if e.viewAt.IsZero() || now.Sub(e.viewAt) < loadexchange.TTL {
		return
	}
	e.options.SetPeerLoad(nil)
	e.options.ObserveView(0)
	if hasRequests && !e.viewExpired {
		e.viewExpired = true
		e.options.Logger.Info().Str("node", e.exchangeNode).Dur("age_ms", now.Sub(e.viewAt)).
			Msg("load exchange view expired")
	}
	if !hasRequests {
		e.viewAt = time.Time{}
	}
}
