package crashes

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// trialWait bounds how long a request waits for its trial to be granted: a write to
	// the log and a read of it.
	trialWait = time.Second
	// A record that another node told of is written by this one as well unless it stands in
	// the log by then: the other node may have ended. The time is drawn, so that one node
	// does it for all.
	adoptAfter  = 5 * time.Second
	adoptSpread = 10 * time.Second
	adoptPeriod = time.Second
	// sweepPeriod is the time between two looks at what need not be remembered any longer.
	sweepPeriod = time.Minute
)

// Guard keeps requests under which engines ended away from the others. What a node sees
// is kept in the log, which all nodes follow; while the log takes nothing, the nodes
// tell each other. It is safe for concurrent use.
type Guard struct {
	watch  *Watch
	writer *writer
	logger zerolog.Logger

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
}

// adoption is a record that another node told of.
type adoption struct {
	record eventlog.KeyedRecord
	due    time.Time
}

// GuardOptions are the parts that a guard works with.
type GuardOptions struct {
	Watch *Watch
	Log   Log
	// Topic is a compacted topic of the log.
	Topic string
	// Unwritten is called with records that the log did not take.
	Unwritten func(ctx context.Context, records []eventlog.KeyedRecord)
	Logger    zerolog.Logger
}

// NewGuard returns a guard; Run starts it.
func NewGuard(options GuardOptions) *Guard {
	return &Guard{
		watch:  options.Watch,
		writer: newWriter(options.Log, options.Topic, options.Unwritten, options.Logger),
		logger: options.Logger, ledger: quarantine.NewLedger(), changed: make(chan struct{}),
		asking: make(map[quarantine.Fingerprint]bool), adopted: make(map[string]adoption),
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
	if from.Deleted {
		g.ledger.Drop(record.Fingerprint, record.Name())
	} else {
		g.put(record, "log")
	}
	g.known.Store(int64(g.ledger.Len()))
	close(g.changed)
	g.changed = make(chan struct{})
}

// put adds a record and tells of what is new; mu is held.
func (g *Guard) put(record quarantine.Record, source string) {
	if !g.ledger.Put(record) {
		return
	}
	g.known.Store(int64(g.ledger.Len()))
	standing := g.ledger.Standing(record.Fingerprint, time.Now())
	if standing.Crashes < quarantine.RequestLimit {
		return
	}
	g.logger.Warn().Stringer("fingerprint", record.Fingerprint).Str("engine", record.Engine).Str("trial", record.Trial).
		Str("source", source).Int("crashes", standing.Crashes).Time("held_until", standing.HeldUntil).
		Msg("request kept away from engines")
}

// takeFromPeer takes a record that another node could not write.
func (g *Guard) takeFromPeer(from eventlog.KeyedRecord) {
	from.Offset = quarantine.Unlogged
	record, err := decode(from)
	if err != nil {
		g.logger.Error().Err(err).Str("key", from.Key).Msg("record of an ended engine passed over")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if from.Deleted {
		g.ledger.Drop(record.Fingerprint, record.Name())
		g.known.Store(int64(g.ledger.Len()))
		delete(g.adopted, from.Key)
		return
	}
	g.put(record, "peer")
	g.adopted[from.Key] = adoption{record: from, due: time.Now().Add(adoptAfter + rand.N(adoptSpread))}
}

// writeAdopted writes what other nodes told of and have not written since.
func (g *Guard) writeAdopted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, each := range g.adopted {
		record, err := decode(each.record)
		switch {
		case err != nil || g.ledger.Logged(record):
			delete(g.adopted, key)
		case !now.Before(each.due):
			delete(g.adopted, key)
			g.writer.add(each.record)
		}
	}
}

// ConnectionLost finds out whether the engine has ended under the request, and remembers
// it.
func (g *Guard) ConnectionLost(ctx context.Context, loss Loss) bool {
	if !g.watch.ConnectionLost(ctx, loss) {
		return false
	}
	record := quarantine.Record{
		Fingerprint: loss.Fingerprint, Engine: loss.Engine.ID, At: time.Now(), Offset: quarantine.Unlogged,
	}
	g.mu.Lock()
	g.put(record, "self")
	g.mu.Unlock()
	g.write(record)
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

// Answered notes that an engine gave a whole answer to the request: whatever ended other
// engines, it was not this request.
func (g *Guard) Answered(fingerprint func() quarantine.Fingerprint) {
	if g.known.Load() == 0 {
		return
	}
	of := fingerprint()
	g.mu.Lock()
	records := g.ledger.Records(of)
	for _, record := range records {
		g.ledger.Drop(of, record.Name())
		delete(g.adopted, keyOf(record))
	}
	g.known.Store(int64(g.ledger.Len()))
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
	failure := errkind.New(errkind.Quarantined, "%d engines ended under this request", standing.Crashes)
	failure.RetryAfter = max(standing.HeldUntil.Sub(now), failure.Kind.Answer().RetryAfter)
	return failure
}

// askForTrial tells whether this node may send a held request once. The first claim in
// the log is granted, so that one node at most sends it, whatever fails meanwhile.
func (g *Guard) askForTrial(ctx context.Context, fingerprint quarantine.Fingerprint) bool {
	g.mu.Lock()
	if g.asking[fingerprint] {
		g.mu.Unlock()
		return false
	}
	g.asking[fingerprint] = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.asking, fingerprint)
	}()
	ctx, cancel := context.WithTimeout(ctx, trialWait)
	defer cancel()
	claim := quarantine.Record{Fingerprint: fingerprint, Trial: xid.New().String(), At: time.Now()}
	encoded, err := encode(claim)
	if err == nil {
		err = g.writer.log.PutKeyed(ctx, g.writer.topic, []eventlog.KeyedRecord{encoded})
	}
	granted := err == nil && g.awaitTrial(ctx, claim)
	g.logger.Info().Err(err).Stringer("fingerprint", fingerprint).Str("trial", claim.Trial).Bool("granted", granted).
		Msg("trial of a held request")
	return granted
}

// awaitTrial waits until the claim was read back, and tells whether it was granted.
func (g *Guard) awaitTrial(ctx context.Context, claim quarantine.Record) bool {
	for {
		g.mu.Lock()
		logged, changed := g.ledger.Logged(claim), g.changed
		granted := g.ledger.Standing(claim.Fingerprint, time.Now()).Granted == claim.Trial
		g.mu.Unlock()
		if logged {
			return granted
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
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
	}
	g.known.Store(int64(g.ledger.Len()))
	g.mu.Unlock()
	if len(expired) > 0 {
		g.logger.Info().Int("records", len(expired)).Msg("records of ended engines forgotten")
		g.remove(expired)
	}
}
