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

// sweepPeriod is the time between two looks at what need not be remembered any longer.
const sweepPeriod = time.Minute

// Guard keeps requests under which engines ended away from the others. What a node sees
// is kept in the log, which all nodes follow; while the log takes nothing, the nodes
// tell each other. It is safe for concurrent use.
type Guard struct {
	watch   *Watch
	writer  *writer
	observe func(requests int)
	logger  zerolog.Logger

	// known is the number of requests in the ledger: most of the time there are none, and
	// nothing needs to be worked out for a request.
	known atomic.Int64

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// changed is closed and replaced when records were read from the log.
	changed chan struct{}
	// asking holds the requests for which this node asks for a trial.
	asking map[quarantine.Fingerprint]bool
	// adopted holds what other nodes told of, by key, and when this one writes it.
	adopted map[string]adoption
	// cleared holds the records that were taken out, by key.
	cleared map[string]clearing
}

// GuardOptions are the parts that a guard works with.
type GuardOptions struct {
	Watch *Watch
	Log   Log
	// Topic is a compacted topic of the log.
	Topic string
	// Unwritten is called with records that the log did not take.
	Unwritten func(ctx context.Context, records []eventlog.KeyedRecord)
	// Observe is told how many requests are remembered whenever that may have changed.
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

// Run writes what this node sees until ctx ends.
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

// Take takes a record of the log; see follow.Handler.
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

// count notes how many requests are remembered; mu is held.
func (g *Guard) count() {
	g.known.Store(int64(g.ledger.Len()))
	g.observe(g.ledger.Len())
}

// put adds a record and tells of what is new; mu is held.
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

// ConnectionLost finds out whether the engine has ended under the request, and remembers
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

// Answered notes that an engine ran the request to a good end: whatever ended other
// engines, it was not this request. A failure says nothing, since an engine may fail what it
// has not begun.
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

// Standing returns what is known of a request.
func (g *Guard) Standing(fingerprint func() quarantine.Fingerprint) quarantine.Standing {
	if g.known.Load() == 0 {
		return quarantine.Standing{}
	}
	of := fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Standing(of, time.Now())
}

// Admit returns nil if a live request may go to an engine, or why it may not. Once the time
// is over for which it was held, one request is let through as a trial, by whichever
// node asks first.
func (g *Guard) Admit(ctx context.Context, fingerprint func() quarantine.Fingerprint) *errkind.Error {
	now := time.Now()
	standing := g.Standing(fingerprint)
	if standing.OnTrial(quarantine.RequestLimit, now) && g.askForTrial(ctx, fingerprint()) {
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

// Sweep takes out of the log what need not be remembered any longer, until ctx ends. One
// node does it at a time.
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
