package crashes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// sweepPeriod is the interval between two sweeps of expired records.
const sweepPeriod = time.Minute

// Guard quarantines requests under which engines ended. Nodes write their observations to
// the log, which all nodes follow; while the log is unavailable, they send them to each other.
// It is safe for concurrent use.
type Guard struct {
	watch   *Watch
	writer  *writer
	observe func(requests int)
	logger  zerolog.Logger

	// known is the number of requests in the ledger. While it is zero, no fingerprints are
	// computed.
	known atomic.Int64

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// changed is closed and replaced when records are read from the log.
	changed chan struct{}
	// asking holds the requests for which this node is claiming a trial.
	asking map[quarantine.Fingerprint]bool
	// adopted holds records of peers by key.
	adopted map[string]adoption
	// cleared holds deleted records by key.
	cleared map[string]clearing
}

// GuardOptions are the parts that a guard works with.
type GuardOptions struct {
	Watch *Watch
	Log   Log
	// Topic is a compacted topic of the log.
	Topic string
	// Unwritten is called with records that could not be written.
	Unwritten func(ctx context.Context, records []eventlog.KeyedRecord)
	// Observe is called with the number of requests whenever it may have changed.
	Observe func(requests int)
	Logger  zerolog.Logger
}

// NewGuard returns a guard; Run starts it.
func NewGuard(options GuardOptions) *Guard {
	return &Guard{
		watch:   options.Watch,
		writer:  newWriter(options.Log, options.Topic, options.Unwritten, options.Logger),
		observe: options.Observe, logger: options.Logger, ledger: quarantine.NewLedger(), changed: make(chan struct{}),
		asking: make(map[quarantine.Fingerprint]bool), adopted: make(map[string]adoption),
		cleared: make(map[string]clearing),
	}
}

// Run writes observations until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { g.writer.run(ctx) })
	ticker := time.NewTicker(adoptPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			g.writeAdopted(now)
			g.forgetCleared(now)
		}
	}
	group.Wait()
	return nil
}

// Take applies a record of the log; see follow.Handler.
func (g *Guard) Take(from eventlog.KeyedRecord) {
	record, err := decode(from)
	if err != nil {
		g.logger.Error().Err(err).Str("key", from.Key).Int64("offset", from.Offset).Msg("record of an ended engine passed over")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case from.Deleted:
		g.ledger.Drop(record.Fingerprint, record.Name())
		g.clear(from.Key, false)
	case g.isCleared(from.Key):
		g.clearAgain(from)
	default:
		g.put(record, "log")
	}
	g.count()
	close(g.changed)
	g.changed = make(chan struct{})
}

// count updates the number of requests. Must be called with mu held.
func (g *Guard) count() {
	g.known.Store(int64(g.ledger.Len()))
	g.observe(g.ledger.Len())
}

// put adds a record and logs a new quarantine. Must be called with mu held.
func (g *Guard) put(record quarantine.Record, source string) {
	if !g.ledger.Put(record) {
		return
	}
	g.count()
	standing := g.ledger.Standing(record.Fingerprint, time.Now())
	if standing.Crashes < quarantine.RequestLimit {
		return
	}
	g.logger.Warn().Stringer("fingerprint", record.Fingerprint).Str("engine", record.Engine).Str("trial", record.Trial).
		Str("source", source).Int("crashes", standing.Crashes).Time("held_until", standing.HeldUntil).
		Msg("request kept away from engines")
}

// ConnectionLost reports whether the engine has ended under the request, and records
// it.
func (g *Guard) ConnectionLost(ctx context.Context, loss Loss) bool {
	if !g.watch.ConnectionLost(ctx, loss) {
		return false
	}
	record := quarantine.Record{
		Fingerprint: loss.Fingerprint, Engine: loss.Engine.Incarnation().String(), Isolated: loss.Isolated,
		At: time.Now(), Offset: quarantine.Unlogged,
	}
	g.mu.Lock()
	cleared := g.isCleared(keyOf(record))
	if !cleared {
		g.put(record, "self")
	}
	g.mu.Unlock()
	if !cleared {
		g.write(record)
	}
	return true
}

func (g *Guard) write(record quarantine.Record) {
	encoded, err := encode(record)
	if err != nil {
		g.logger.Error().Err(err).Stringer("fingerprint", record.Fingerprint).Msg("record of an ended engine not written")
		return
	}
	g.writer.add(encoded)
}

// Answered clears a request that an engine completed successfully: it did not cause the ends
// of other engines. Failures prove nothing, since an engine may reject a request without
// starting it.
func (g *Guard) Answered(fingerprint func() quarantine.Fingerprint) {
	if g.known.Load() == 0 {
		return
	}
	of := fingerprint()
	g.mu.Lock()
	records := g.ledger.Records(of)
	for _, record := range records {
		g.ledger.Drop(of, record.Name())
		g.clear(keyOf(record), true)
	}
	g.count()
	g.mu.Unlock()
	if len(records) == 0 {
		return
	}
	g.logger.Info().Stringer("fingerprint", of).Int("records", len(records)).Msg("request cleared by its answer")
	g.remove(records)
}

func (g *Guard) remove(records []quarantine.Record) {
	deletions := make([]eventlog.KeyedRecord, len(records))
	for i, record := range records {
		deletions[i] = deletion(record)
	}
	g.writer.add(deletions...)
}

// Standing returns the state of a request.
func (g *Guard) Standing(fingerprint func() quarantine.Fingerprint) quarantine.Standing {
	if g.known.Load() == 0 {
		return quarantine.Standing{}
	}
	of := fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Standing(of, time.Now())
}

// Admit returns nil if a live request may be sent to an engine, or why it may not. After the end of
// a quarantine one request is admitted as a trial, at the node that claims it first.
func (g *Guard) Admit(ctx context.Context, fingerprint func() quarantine.Fingerprint) *errkind.Error {
	now := time.Now()
	standing := g.Standing(fingerprint)
	if standing.OnTrial(quarantine.RequestLimit, now) && g.claimTrial(ctx, fingerprint()) {
		return nil
	}
	if standing.Crashes < quarantine.RequestLimit {
		return nil
	}
	failure := errkind.New(errkind.Quarantined, "%d engines ended under this request, fingerprint %s",
		standing.Crashes, fingerprint())
	failure.RetryAfter = max(standing.HeldUntil.Sub(now), failure.Kind.Answer().RetryAfter)
	return failure
}

// Sweep deletes expired records from the log until ctx ends. It must run on one node at a
// time.
func (g *Guard) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.sweep(now)
		}
	}
}

func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	expired := g.ledger.Expired(now)
	for _, record := range expired {
		g.ledger.Drop(record.Fingerprint, record.Name())
		g.clear(keyOf(record), true)
	}
	g.count()
	g.mu.Unlock()
	if len(expired) > 0 {
		g.logger.Info().Int("records", len(expired)).Msg("records of ended engines forgotten")
		g.remove(expired)
	}
}
