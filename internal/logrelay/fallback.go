package logrelay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// failuresToSwitch is how many direct calls in a row must fail before calls go
	// by way of another node. A throttled call counts a quarter: another node's way
	// helps only if this one alone is throttled.
	failuresToSwitch = 3
	failureWeight    = 4
	switchWeight     = failuresToSwitch * failureWeight
	// probePeriod is the time between two tries of the direct way meanwhile, which
	// are reads of their own, so that no call waits for them.
	probePeriod  = 400 * time.Millisecond
	probeTimeout = time.Second
	// maxPeersAsked bounds the nodes asked for one call while each says at once that
	// it does not reach the log; after them the direct way is tried.
	maxPeersAsked = 6
	// peerPause is how long a node that could not help is left alone.
	peerPause = time.Second
	// outagePause is how long no node is asked after as many as may be said that they do
	// not reach the log: it is away for all, and in a large cluster each node would ask
	// each other one within seconds. It is the time between two tries of the direct way.
	outagePause = probePeriod

	dialTimeout = 300 * time.Millisecond
	// unaskedTimeout is longer than any call that writes: none is sent before the other node
	// asks for it; see msgpackhttp.AskOnceHeard.
	unaskedTimeout = 2 * callTimeout
	// Connections to other nodes: one costs some 20 KB at either end, so that those to
	// hundreds of nodes were most of a node's memory after an outage.
	idleConnections        = 4
	idleConnectionsPerNode = 2
	idleConnectionTime     = 3 * time.Second
	bufferBytes            = 2 << 10
)

// Fallback calls the log directly, or by way of another node while the direct
// way fails and another node's does not. It implements eventlog.Log.
type Fallback struct {
	direct eventlog.Log
	// peers returns the other nodes.
	peers  func() []Peer
	client *http.Client
	logger zerolog.Logger

	mu sync.Mutex
	// failures is the weight of the direct calls that failed in a row.
	failures int
	// probing is true while the direct way is being tried.
	probing bool
	// current holds the node in use by the homes of the calls; none for the direct way.
	current  map[homes.Set]string
	pausedTo map[string]time.Time
	// directUntil is when other nodes are asked again after an outage for all.
	directUntil time.Time
	// looking is true while the direct way is looked at since a write is not answered.
	looking bool
	// calls are the direct calls under way.
	calls directCalls
}

var _ eventlog.Log = (*Fallback)(nil)

// NewFallback returns a log that calls direct, or one of the peers over the client. A call whose context
// names homes goes only by way of peers there.
func NewFallback(direct eventlog.Log, peers func() []Peer, client *http.Client, logger zerolog.Logger) *Fallback {
	return &Fallback{
		direct: direct, peers: peers, logger: logger, client: client,
		current: make(map[homes.Set]string), pausedTo: make(map[string]time.Time), calls: newDirectCalls(),
	}
}

// NewClient returns a client of other nodes.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnectionsPerNode,
		ExpectContinueTimeout: unaskedTimeout,
		IdleConnTimeout:       idleConnectionTime, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}}
}

// way returns how the next call of the given homes goes: the log and the node's address, which
// is empty for the direct way.
func (f *Fallback) way(within homes.Set) (eventlog.Log, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.failures < switchWeight || now.Before(f.directUntil) {
		return f.direct, ""
	}
	current := f.current[within]
	if current == "" || now.Before(f.pausedTo[current]) {
		current = choosePeer(f.peers(), within, f.pausedTo, now)
		f.current[within] = current
	}
	if current == "" {
		return f.direct, ""
	}
	return &peer{client: f.client, address: current}, current
}

// ended notes how a call ended. Only answers of the log count as success.
func (f *Fallback) ended(address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	var conflicting *eventlog.ConflictError
	var lost *eventlog.GoneError
	works := err == nil || errors.As(err, &conflicting) || errors.As(err, &lost)
	f.mu.Lock()
	defer f.mu.Unlock()
	if address != "" {
		if !works {
			f.pausedTo[address] = time.Now().Add(peerPause)
		}
		return
	}
	switch {
	case works:
		f.switchLocked(0, err)
	case errors.Is(err, eventlog.ErrThrottled):
		f.switchLocked(f.failures+1, err)
	default:
		f.switchLocked(f.failures+failureWeight, err)
	}
}

// switchLocked sets the weight of the direct calls that failed in a row, and changes the way where that
// asks for it; mu is held.
func (f *Fallback) switchLocked(failures int, err error) {
	before, after := f.failures >= switchWeight, failures >= switchWeight
	f.failures = failures
	if after == before {
		return
	}
	f.logger.Info().Err(err).Bool("direct", !after).Int("peers", len(f.peers())).Msg("way to the log changed")
	if !after {
		return
	}
	f.calls.cancel()
	f.calls = newDirectCalls()
	if !f.probing {
		f.probing = true
		go f.probe()
	}
}

// probe tries the direct way until it works again.
func (f *Fallback) probe() {
	for {
		time.Sleep(probePeriod)
		if f.look(probeTimeout) == nil {
			f.mu.Lock()
			f.probing = false
			f.mu.Unlock()
			f.ended("", nil)
			return
		}
	}
}

// call is one call of the log, by whichever way.
type call[Result any] func(ctx context.Context, log eventlog.Log) (Result, error)

// do makes a call by the way that works.
func do[Result any](ctx context.Context, f *Fallback, call call[Result]) (Result, error) {
	within := homes.FromContext(ctx)
	for range maxPeersAsked {
		log, address := f.way(within)
		if address == "" {
			return doDirect(ctx, f, call)
		}
		result, err := call(ctx, log)
		f.ended(address, err)
		if !errors.Is(err, errNoWay) {
			return result, err
		}
	}
	// The log may be away for all, and be back by now.
	f.pauseAsking()
	return doDirect(ctx, f, call)
}

// doDirect makes a call directly. It ends early once the direct way has fallen silent.
func doDirect[Result any](ctx context.Context, f *Fallback, call call[Result]) (Result, error) {
	direct, cancel := f.endedBySilence(ctx)
	defer cancel()
	result, err := call(direct, f.direct)
	f.ended("", err)
	if errors.Is(err, context.Canceled) && ctx.Err() == nil {
		// Its caller still waits, and may make it again by another way. An error that tells what
		// became of the call stays: the refused call that brings the switch ends these as well.
		err = errors.Wrap(eventlog.ErrOutcomeUnknown, "the way to the log fell silent: "+err.Error())
	}
	return result, err
}

// doWrite is do for a call that the log answers without waiting for anything.
func doWrite[Result any](ctx context.Context, f *Fallback, call call[Result]) (Result, error) {
	defer f.watchSilence()()
	return do(ctx, f, call)
}

// pauseAsking leaves the other nodes alone for a while.
func (f *Fallback) pauseAsking() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directUntil = time.Now().Add(outagePause)
}

// Direct tells whether the log is called directly, as far as known.
func (f *Fallback) Direct() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures < switchWeight
}

// Append implements eventlog.Log.
func (f *Fallback) Append(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	return doWrite(ctx, f, func(ctx context.Context, log eventlog.Log) (int64, error) {
		return log.Append(ctx, partition, records)
	})
}

// AppendAt implements eventlog.Log.
func (f *Fallback) AppendAt(
	ctx context.Context, partition eventlog.Partition, end int64, records [][]byte,
) (int64, error) {
	return doWrite(ctx, f, func(ctx context.Context, log eventlog.Log) (int64, error) {
		return log.AppendAt(ctx, partition, end, records)
	})
}

// Read implements eventlog.Log.
func (f *Fallback) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	return do(ctx, f, func(ctx context.Context, log eventlog.Log) (eventlog.Batch, error) {
		return log.Read(ctx, partition, from, limit, wait)
	})
}

// PutKeyed implements eventlog.Log.
func (f *Fallback) PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error {
	_, err := doWrite(ctx, f, func(ctx context.Context, log eventlog.Log) (struct{}, error) {
		return struct{}{}, log.PutKeyed(ctx, topic, records)
	})
	return err
}

// Newest implements eventlog.Log.
func (f *Fallback) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	return do(ctx, f, func(ctx context.Context, log eventlog.Log) (eventlog.KeyedBatch, error) {
		return log.Newest(ctx, topic)
	})
}

// ReadKeyed implements eventlog.Log.
func (f *Fallback) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	return do(ctx, f, func(ctx context.Context, log eventlog.Log) (eventlog.KeyedBatch, error) {
		return log.ReadKeyed(ctx, topic, from, wait)
	})
}
