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

const sweepInterval = time.Minute

// Guard quarantines live requests during which engines crashed. Nodes write the crashes that they observe to the log, which
// all nodes follow; while the log is unavailable, they send them to each other. It is safe for concurrent use.
type Guard struct {
	detector       *Detector
	writer         *writer
	onRequestCount func(requests int)
	logger         zerolog.Logger

	// requestCount is the number of requests in the ledger. While it is zero, no fingerprints are computed.
	requestCount atomic.Int64

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// changed is closed and replaced when records are read from the log.
	changed chan struct{}
	// claiming holds the requests whose trial this node is claiming.
	claiming map[quarantine.Fingerprint]bool
	// peerRecords holds the records received from peers, by key.
	peerRecords map[string]peerRecord
	// tombstones holds the deleted records, by key.
	tombstones map[string]tombstone
}

// GuardOptions configure a guard.
type GuardOptions struct {
	Detector *Detector
	Log      Log
	// Topic is the compacted topic of the records.
	Topic string
	// OnUnwritten is called with records that could not be written to the log.
	OnUnwritten func(ctx context.Context, records []eventlog.KeyedRecord)
	// OnRequestCount is called with the number of requests in the ledger whenever it may have changed.
	OnRequestCount func(requests int)
	Logger         zerolog.Logger
}

// NewGuard returns a guard; Run starts it.
func NewGuard(options GuardOptions) *Guard {
	return &Guard{
		detector:       options.Detector,
		writer:         newWriter(options.Log, options.Topic, options.OnUnwritten, options.Logger),
		onRequestCount: options.OnRequestCount,
		logger:         options.Logger, ledger: quarantine.NewLedger(), changed: make(chan struct{}),
		claiming: make(map[quarantine.Fingerprint]bool), peerRecords: make(map[string]peerRecord),
		tombstones: make(map[string]tombstone),
	}
}

// Run writes records until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { g.writer.run(ctx) })
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			g.writePeerRecords(now)
			g.expireTombstones(now)
		}
	}
	group.Wait()
	return nil
}

// HandleRecord applies a record of the log; see follow.Handler.
func (g *Guard) HandleRecord(from eventlog.KeyedRecord) {
	record, err := decode(from)
	if err != nil {
		g.logger.Error().Err(err).Str("key", from.Key).Int64("offset", from.Offset).
			Msg("crash record skipped: it cannot be decoded")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case from.Deleted:
		g.ledger.Drop(record.Fingerprint, record.Key())
		g.addTombstone(from.Key, false)
	case g.isDeleted(from.Key):
		g.deleteAgain(from)
	default:
		g.put(record, "log")
	}
	g.updateCount()
	close(g.changed)
	g.changed = make(chan struct{})
}

// updateCount updates and reports the number of requests in the ledger. Must be called with mu held.
func (g *Guard) updateCount() {
	g.requestCount.Store(int64(g.ledger.Len()))
	g.onRequestCount(g.ledger.Len())
}

// put adds a record and logs a new quarantine. Must be called with mu held.
func (g *Guard) put(record quarantine.Record, source string) {
	if !g.ledger.Put(record) {
		return
	}
	g.updateCount()
	status := g.ledger.Status(record.Fingerprint, time.Now())
	if status.Crashes < quarantine.RequestLimit {
		return
	}
	g.logger.Warn().Stringer("fingerprint", record.Fingerprint).Str("engine", record.Engine).Str("trial", record.Trial).
		Str("source", source).Int("crashes", status.Crashes).Time("held_until", status.HeldUntil).
		Msg("request quarantined")
}

// ConnectionLost reports whether the engine crashed during the request, and records the crash.
func (g *Guard) ConnectionLost(ctx context.Context, loss LostConnection) bool {
	if !g.detector.ConnectionLost(ctx, loss) {
		return false
	}
	record := quarantine.Record{
		Fingerprint: loss.Fingerprint, Engine: loss.Engine.Incarnation().String(), Live: true,
		At: time.Now(), Offset: quarantine.Unlogged,
	}
	g.mu.Lock()
	deleted := g.isDeleted(keyOf(record))
	if !deleted {
		g.put(record, "self")
	}
	g.mu.Unlock()
	if !deleted {
		g.write(record)
	}
	return true
}

func (g *Guard) write(record quarantine.Record) {
	encoded, err := encode(record)
	if err != nil {
		g.logger.Error().Err(err).Stringer("fingerprint", record.Fingerprint).Msg("crash record not written")
		return
	}
	g.writer.add(encoded)
}

// Answered clears a request that an engine completed successfully, since it did not cause the crashes. A failed request
// must not be cleared: an engine may have rejected it without starting it.
func (g *Guard) Answered(fingerprint func() quarantine.Fingerprint) {
	if g.requestCount.Load() == 0 {
		return
	}
	requestFingerprint := fingerprint()
	g.mu.Lock()
	records := g.ledger.Records(requestFingerprint)
	for _, record := range records {
		g.ledger.Drop(requestFingerprint, record.Key())
		g.addTombstone(keyOf(record), true)
	}
	g.updateCount()
	g.mu.Unlock()
	if len(records) == 0 {
		return
	}
	g.logger.Info().Stringer("fingerprint", requestFingerprint).Int("records", len(records)).Msg("crash records of a completed request deleted")
	g.writeDeletions(records)
}

func (g *Guard) writeDeletions(records []quarantine.Record) {
	deletions := make([]eventlog.KeyedRecord, len(records))
	for i, record := range records {
		deletions[i] = deletion(record)
	}
	g.writer.add(deletions...)
}

// Status returns the quarantine state of a request.
func (g *Guard) Status(fingerprint func() quarantine.Fingerprint) quarantine.Status {
	if g.requestCount.Load() == 0 {
		return quarantine.Status{}
	}
	requestFingerprint := fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Status(requestFingerprint, time.Now())
}

// Admit returns nil if a live request may be sent to an engine, and the reason otherwise. When a quarantine has ended,
// one request is admitted as a trial, at the node that claims it first.
func (g *Guard) Admit(ctx context.Context, fingerprint func() quarantine.Fingerprint) *errkind.Error {
	now := time.Now()
	status := g.Status(fingerprint)
	if status.TrialAllowed(quarantine.RequestLimit, now) && g.claimTrial(ctx, fingerprint()) {
		return nil
	}
	if status.Crashes < quarantine.RequestLimit {
		return nil
	}
	failure := errkind.New(errkind.Quarantined, "%d engines ended under this request, fingerprint %s",
		status.Crashes, fingerprint())
	failure.RetryAfter = max(status.HeldUntil.Sub(now), failure.Kind.Response().RetryAfter)
	return failure
}

// Sweep deletes expired records from the log until ctx ends. It must run on one node at a time.
func (g *Guard) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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
		g.ledger.Drop(record.Fingerprint, record.Key())
		g.addTombstone(keyOf(record), true)
	}
	g.updateCount()
	g.mu.Unlock()
	if len(expired) > 0 {
		g.logger.Info().Int("records", len(expired)).Msg("expired crash records deleted")
		g.writeDeletions(expired)
	}
}
