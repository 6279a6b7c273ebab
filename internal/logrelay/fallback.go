package logrelay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/abortconn"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// failuresToSwitch is how many consecutive direct calls must fail before calls are relayed. A failed call has the
	// weight failureWeight, a throttled one only 1: relaying helps only if this node alone is throttled.
	failuresToSwitch = 3
	failureWeight    = 4
	switchWeight     = failuresToSwitch * failureWeight
	// probePeriod is the time between two checks of the direct connection while calls are relayed. The checks are
	// separate reads, so no call waits for them.
	probePeriod  = 400 * time.Millisecond
	probeTimeout = time.Second
	// maxPeersTried limits the peers tried for one call while each replies that it cannot reach the log; the direct
	// connection is tried after them.
	maxPeersTried = 6
	// peerPause is how long a peer is skipped after a failed call.
	peerPause = time.Second
	// outagePause is how long calls stay direct after maxPeersTried peers could not reach the log. Otherwise, in an
	// outage that affects all nodes, each node of a large cluster would call all others within seconds.
	outagePause = probePeriod

	dialTimeout = 300 * time.Millisecond
	// expectContinueTimeout exceeds the duration of any write: the body is sent only once the peer requests it; see
	// msgpackhttp.CallExpectContinue.
	expectContinueTimeout = 2 * callTimeout
	// Idle connections to peers are few and short-lived: each takes about 20 KB at either end, which adds up in
	// large clusters.
	idleConnections        = 4
	idleConnectionsPerNode = 2
	idleConnectionTime     = 3 * time.Second
	bufferBytes            = 2 << 10
)

// Fallback calls the log directly, or through a peer while the direct connection fails. It implements eventlog.Log.
type Fallback struct {
	direct eventlog.Log
	peers  func() []Peer
	client *http.Client
	logger zerolog.Logger

	mu sync.Mutex
	// failures is the total weight of the consecutive failed direct calls.
	failures int
	// probing is true while probe runs.
	probing bool
	// current is the peer in use for calls restricted to the regions of a set; empty for a direct call.
	current     map[homes.Set]string
	pausedUntil map[string]time.Time
	// directUntil is the time until which peers are not tried, after they could not reach the log either.
	directUntil time.Time
	// checkingStall is true while checkStall reads the log.
	checkingStall bool
	// directCalls cancels the direct calls in progress.
	directCalls cancelGroup
}

var _ eventlog.Log = (*Fallback)(nil)

// NewFallback returns a log that calls direct, or one of the peers using client. A call whose context carries a
// homes.Set is relayed only by peers in its regions.
func NewFallback(direct eventlog.Log, peers func() []Peer, client *http.Client, logger zerolog.Logger) *Fallback {
	return &Fallback{
		direct: direct, peers: peers, logger: logger, client: client,
		current: make(map[homes.Set]string), pausedUntil: make(map[string]time.Time), directCalls: newCancelGroup(),
	}
}

// NewClient returns an HTTP client for calls to other nodes.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: abortconn.Control}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnectionsPerNode,
		ExpectContinueTimeout: expectContinueTimeout,
		IdleConnTimeout:       idleConnectionTime, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}}
}

// route selects the log for the next call, which may be relayed only within the given regions, and the address of the
// peer; the address is empty for a direct call.
func (f *Fallback) route(within homes.Set) (eventlog.Log, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.failures < switchWeight || now.Before(f.directUntil) {
		return f.direct, ""
	}
	current := f.current[within]
	if current == "" || now.Before(f.pausedUntil[current]) {
		current = choosePeer(f.peers(), within, f.pausedUntil, now)
		f.current[within] = current
	}
	if current == "" {
		return f.direct, ""
	}
	return &relayClient{client: f.client, address: current}, current
}

// recordResult updates the state of the direct connection or the peer after a call. A ConflictError or TrimmedError
// comes from the log and counts as success.
func (f *Fallback) recordResult(address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	var conflicting *eventlog.ConflictError
	var trimmed *eventlog.TrimmedError
	answered := err == nil || errors.As(err, &conflicting) || errors.As(err, &trimmed)
	f.mu.Lock()
	defer f.mu.Unlock()
	if address != "" {
		if !answered {
			f.pausedUntil[address] = time.Now().Add(peerPause)
		}
		return
	}
	switch {
	case answered:
		f.setFailures(0, err)
	case errors.Is(err, eventlog.ErrThrottled):
		f.setFailures(f.failures+1, err)
	default:
		f.setFailures(f.failures+failureWeight, err)
	}
}

// setFailures sets the weight of the consecutive failed direct calls and switches between direct and relayed
// calls when it crosses switchWeight. Must be called with mu held.
func (f *Fallback) setFailures(failures int, err error) {
	before, after := f.failures >= switchWeight, failures >= switchWeight
	f.failures = failures
	if after == before {
		return
	}
	f.logger.Info().Err(err).Bool("direct", !after).Int("peers", len(f.peers())).Msg("switched between direct and relayed log calls")
	if !after {
		return
	}
	f.directCalls.cancel()
	f.directCalls = newCancelGroup()
	if !f.probing {
		f.probing = true
		go f.probe()
	}
}

// probe reads the log directly until it succeeds, then makes calls direct again.
func (f *Fallback) probe() {
	for {
		time.Sleep(probePeriod)
		if f.readDirect(probeTimeout) == nil {
			f.mu.Lock()
			f.probing = false
			f.mu.Unlock()
			f.recordResult("", nil)
			return
		}
	}
}

// callFunc makes one call of the given log, direct or relayed.
type callFunc[Result any] func(ctx context.Context, log eventlog.Log) (Result, error)

// callThrough makes a call directly or through a peer. It tries further peers while they reply that they cannot
// reach the log.
func callThrough[Result any](ctx context.Context, f *Fallback, call callFunc[Result]) (Result, error) {
	within := homes.FromContext(ctx)
	for range maxPeersTried {
		log, address := f.route(within)
		if address == "" {
			return callDirect(ctx, f, call)
		}
		result, err := call(ctx, log)
		f.recordResult(address, err)
		if !errors.Is(err, errCannotRelay) {
			return result, err
		}
	}
	// None of the peers tried reaches the log: all nodes may be affected, and by now the log may answer again.
	f.pausePeers()
	return callDirect(ctx, f, call)
}

// callDirect makes a direct call. The call is canceled when the direct connection is found to be stalled.
func callDirect[Result any](ctx context.Context, f *Fallback, call callFunc[Result]) (Result, error) {
	direct, cancel := f.withStallCancel(ctx)
	defer cancel()
	result, err := call(direct, f.direct)
	f.recordResult("", err)
	if errors.Is(err, context.Canceled) && ctx.Err() == nil {
		// The switch to peers canceled the call, not its caller, who may retry through a peer. A refusal or conflict
		// is returned unchanged: it is a definite result, even if the call was canceled as well.
		err = errors.Wrap(eventlog.ErrOutcomeUnknown, "direct call canceled by the switch to other nodes: "+err.Error())
	}
	return result, err
}

// callWrite is callThrough for a write, which is watched for a stall.
func callWrite[Result any](ctx context.Context, f *Fallback, call callFunc[Result]) (Result, error) {
	defer f.watchForStall()()
	return callThrough(ctx, f, call)
}

// pausePeers keeps calls direct for outagePause.
func (f *Fallback) pausePeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directUntil = time.Now().Add(outagePause)
}

// IsDirect reports whether calls are made directly at present.
func (f *Fallback) IsDirect() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures < switchWeight
}

// Append implements eventlog.Log.
func (f *Fallback) Append(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	return callWrite(ctx, f, func(ctx context.Context, log eventlog.Log) (int64, error) {
		return log.Append(ctx, partition, records)
	})
}

// AppendAt implements eventlog.Log.
func (f *Fallback) AppendAt(
	ctx context.Context, partition eventlog.Partition, end int64, records [][]byte,
) (int64, error) {
	return callWrite(ctx, f, func(ctx context.Context, log eventlog.Log) (int64, error) {
		return log.AppendAt(ctx, partition, end, records)
	})
}

// Read implements eventlog.Log.
func (f *Fallback) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	return callThrough(ctx, f, func(ctx context.Context, log eventlog.Log) (eventlog.Batch, error) {
		return log.Read(ctx, partition, from, limit, wait)
	})
}

// PutKeyed implements eventlog.Log.
func (f *Fallback) PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error {
	_, err := callWrite(ctx, f, func(ctx context.Context, log eventlog.Log) (struct{}, error) {
		return struct{}{}, log.PutKeyed(ctx, topic, records)
	})
	return err
}

// Newest implements eventlog.Log.
func (f *Fallback) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	return callThrough(ctx, f, func(ctx context.Context, log eventlog.Log) (eventlog.KeyedBatch, error) {
		return log.Newest(ctx, topic)
	})
}

// ReadKeyed implements eventlog.Log.
func (f *Fallback) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	return callThrough(ctx, f, func(ctx context.Context, log eventlog.Log) (eventlog.KeyedBatch, error) {
		return log.ReadKeyed(ctx, topic, from, wait)
	})
}
