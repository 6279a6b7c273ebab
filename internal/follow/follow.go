// Package follow tracks a compacted topic of the log: a follower reads the newest record of each key, then every
// change. It recovers from outages of the log and from history that the log has dropped.
package follow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/longpoll"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// pollWait is how long a read waits for a change. The shorter it is, the sooner the follower detects that the log
	// no longer reports changes.
	pollWait = 500 * time.Millisecond
	// maxPollWait limits the wait in large clusters, where nodes read less often. A read sent to an unresponsive
	// log may hang for this long after the end of the outage.
	maxPollWait = time.Second
	// readGap is the time between two reads, so that a read returns several changes; it grows with the cluster up
	// to maxReadGap.
	readGap    = 20 * time.Millisecond
	maxReadGap = 700 * time.Millisecond
	// refreshPeriod is the time between two full reads of a topic with fewer than refreshRecords keys; they find what
	// reads of changes have missed. It grows with the number of keys and nodes up to maxRefreshPeriod. It is shortened
	// by a random part, up to the fraction refreshJitter, so that nodes do not read at the same time.
	refreshPeriod    = 5 * time.Second
	maxRefreshPeriod = 2 * time.Minute
	refreshRecords   = 500
	refreshJitter    = 0.3
	// refreshDelay is the longest time by which a full read that came due in an outage is postponed; it grows with
	// the cluster up to maxRefreshDelay.
	refreshDelay    = 2 * time.Second
	maxRefreshDelay = 10 * time.Second
)

// StaleAge exceeds the age that a followed topic's data can reach while reads succeed. Once the data are that old, for
// example after a suspension of the machine, the next read does not wait for changes.
const StaleAge = maxPollWait + maxReadGap + 300*time.Millisecond

// maxReadRetry limits the delays of readRetries and firstReadRetries after they are scaled to the cluster.
const maxReadRetry = 4 * time.Second

// readRetries are the delays between attempts while reads fail, in a small cluster; they are scaled to the number
// of nodes. Retries at a fixed rate by all nodes would keep an overloaded log overloaded.
var readRetries = retry.Policy{First: 50 * time.Millisecond, Longest: 400 * time.Millisecond}

// firstReadRetries replace readRetries until the first full read: nodes that do not know of each other yet cannot
// scale their rate to the cluster.
var firstReadRetries = retry.Policy{First: 50 * time.Millisecond, Longest: 800 * time.Millisecond}

// Handler receives each record of a topic once, in the order of offsets. After a full read, it also receives a
// deletion for each key that no longer exists.
type Handler func(record eventlog.KeyedRecord)

// Follower follows one topic. Its methods are safe for concurrent use unless they say otherwise.
type Follower struct {
	log     eventlog.Log
	topic   string
	handler Handler
	budget  pacing.Budget
	logger  zerolog.Logger

	// The fields from offsets to classOf are used by Run's goroutine only, except for replica and loaded.

	// offsets holds the offset of the newest handled record of each key.
	offsets map[string]int64
	next    int64
	// fullBytes is the size of the last full read.
	fullBytes int
	// firstRead counts the attempts of the first full read.
	firstRead retry.Progress
	healthy   bool
	// replica is served to other nodes.
	replica *Replica
	// now reads a clock that advances while the machine is suspended.
	now func() time.Time
	// loaded is closed after the first full read.
	loaded    chan struct{}
	fullReads fullReadSchedule
	// classOf returns the class of a record; nil if the topic has no classes.
	classOf func(eventlog.KeyedRecord) string

	mu sync.Mutex
	// reloads holds the channels that are closed after the next full read.
	reloads []chan struct{}
}

// New returns a follower, which Run starts.
func New(log eventlog.Log, topic string, handler Handler, budget pacing.Budget, logger zerolog.Logger) *Follower {
	return &Follower{
		log:       log,
		topic:     topic,
		handler:   handler,
		budget:    budget,
		logger:    logger.With().Str("topic", topic).Logger(),
		offsets:   make(map[string]int64),
		loaded:    make(chan struct{}),
		fullReads: fullReadSchedule{postponed: true},
		replica:   newReplica(),
		now:       boottime.Now,
	}
}

// Classify sets the function that assigns records to classes, which readers of the replica may exclude. Must be
// called before Run.
func (f *Follower) Classify(classOf func(record eventlog.KeyedRecord) string) { f.classOf = classOf }

// Reload requests a full read of the topic, whose records are all passed to the handler. The channel is closed
// after it.
func (f *Follower) Reload() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	reloaded := make(chan struct{})
	f.reloads = append(f.reloads, reloaded)
	return reloaded
}

// takeReloads returns the reloads requested since the last call.
func (f *Follower) takeReloads() []chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	requested := f.reloads
	f.reloads = nil
	return requested
}

// requeueReloads leaves reloads to the next full read.
func (f *Follower) requeueReloads(requested []chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reloads = append(requested, f.reloads...)
}

// UseClock replaces the clock of package boottime, for simulations. Must be called before Run.
func (f *Follower) UseClock(now func() time.Time) { f.now, f.replica.now = now, now }

// Replica returns the follower's copy of the topic, for reads by other nodes.
func (f *Follower) Replica() *Replica { return f.replica }

// Loaded is closed after the first full read.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// IsLoaded reports whether the first full read is complete.
func (f *Follower) IsLoaded() bool {
	select {
	case <-f.loaded:
		return true
	default:
		return false
	}
}

// Age returns the time since the follower was last known to be up to date; very large before the first read.
func (f *Follower) Age() time.Duration { return f.replica.age() }

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.firstRead = retry.Begin()
	delays, firstReadDelays := readRetries.Delays(), firstReadRetries.Delays()
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			delays.Reset()
			f.logReachability(nil)
			retry.Sleep(ctx, f.readDelay())
			continue
		}
		if ctx.Err() != nil {
			break
		}
		var trimmed *eventlog.TrimmedError
		if errors.As(err, &trimmed) {
			f.logger.Info().Int64("offset", f.next).Int64("first_kept", trimmed.First).
				Msg("topic history trimmed, making a full read")
			f.fullReads.force()
			continue
		}
		f.fullReads.recordFailure()
		f.logReachability(err)
		if f.IsLoaded() {
			retry.Sleep(ctx, f.budget.ScalePeriod(delays.NextBackOff(), maxReadRetry))
			continue
		}
		delay := f.budget.ScalePeriod(firstReadDelays.NextBackOff(), maxReadRetry)
		f.firstRead.RecordFailure(delay)
		retry.Sleep(ctx, delay)
	}
	return nil
}

// MaxFirstReadDelay returns the longest delay between two attempts of the first full read. Whoever waits for that read
// with a time limit must wait longer than this.
func (f *Follower) MaxFirstReadDelay() time.Duration {
	return f.budget.ScalePeriod(firstReadRetries.MaxDelay(), maxReadRetry)
}

// readDelay returns the time until the next read; zero if the data are already stale because the process was
// suspended.
func (f *Follower) readDelay() time.Duration {
	if f.Age() >= StaleAge {
		return 0
	}
	return f.budget.ScalePeriod(readGap, maxReadGap)
}

// readOnce makes a full read if one is due, then a read of changes.
func (f *Follower) readOnce(ctx context.Context) error {
	if err := f.refreshIfDue(ctx); err != nil {
		return err
	}
	wait := f.budget.ScalePeriod(pollWait, maxPollWait)
	if f.Age() >= StaleAge {
		wait = 0
	}
	sent := f.now()
	batch, err := f.log.ReadKeyed(ctx, f.topic, f.next, wait)
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		f.handle(record)
	}
	f.next = batch.Next
	upToDateAt := sent
	if len(batch.Records) == 0 {
		upToDateAt = longpoll.AsOf(sent, wait, f.now())
	}
	f.replica.advance(f.next, upToDateAt)
	f.fullReads.recordSuccess(time.Now(), rand.N(f.budget.ScalePeriod(refreshDelay, maxRefreshDelay)))
	return nil
}

// refreshIfDue makes a full read if one is due or a reload was requested.
func (f *Follower) refreshIfDue(ctx context.Context) error {
	requested := f.takeReloads()
	now := time.Now()
	if len(requested) == 0 && !f.fullReads.isDue(now) {
		return nil
	}
	if err := f.refresh(ctx, len(requested) > 0); err != nil {
		f.requeueReloads(requested)
		return err
	}
	f.fullReads.recordFullRead(now, f.untilRefresh())
	for _, each := range requested {
		close(each)
	}
	return nil
}

// untilRefresh returns the time until the next full read, which is long enough for the log to serve all nodes.
func (f *Follower) untilRefresh() time.Duration {
	size := 1 + len(f.offsets)/refreshRecords
	period := f.budget.ScalePeriod(time.Duration(size)*refreshPeriod, maxRefreshPeriod)
	period = max(period, f.budget.MinPeriod(f.fullBytes, maxRefreshPeriod))
	return period - time.Duration(rand.Float64()*refreshJitter*float64(period))
}

// refresh makes a full read. A known key that it lacks was deleted, unless the newest handled record of the key is
// newer than the read; the empty key stands for undecodable records and is skipped. If redeliver is true, records that
// were handled before are passed to the handler again.
func (f *Follower) refresh(ctx context.Context, redeliver bool) error {
	sent := f.now()
	batch, err := f.log.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	slices.SortFunc(batch.Records, func(a, b eventlog.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	present := make(map[string]bool, len(batch.Records))
	f.fullBytes = 0
	for _, record := range batch.Records {
		present[record.Key] = true
		f.fullBytes += len(record.Key) + len(record.Value)
		if !f.isDeletedSince(batch, record) {
			f.deliver(record, redeliver)
		}
	}
	for key, offset := range f.offsets {
		if !present[key] && offset < batch.Next && key != "" {
			f.handle(eventlog.KeyedRecord{Key: key, Deleted: true, Offset: batch.Next - 1})
		}
	}
	f.next = max(f.next, batch.Next)
	f.replica.advance(f.next, sent)
	if !f.IsLoaded() {
		close(f.loaded)
		f.logger.Info().Int("keys", len(f.offsets)).Int64("offset", f.next).EmbedObject(&f.firstRead).
			Msg("first full read of the topic completed")
	}
	return nil
}

// isDeletedSince reports whether the key of a record in a full read is known to have been deleted since: a replica
// that lags behind this follower may serve the read.
func (f *Follower) isDeletedSince(read eventlog.KeyedBatch, record eventlog.KeyedRecord) bool {
	_, found := f.offsets[record.Key]
	return !found && read.Next < f.next && record.Offset < f.next
}

// handle passes a record to the handler unless it, or a newer one of its key, was handled before.
func (f *Follower) handle(record eventlog.KeyedRecord) { f.deliver(record, false) }

// deliver is like handle, but passes the newest handled record of a key to the handler again if redeliver is true.
func (f *Follower) deliver(record eventlog.KeyedRecord, redeliver bool) {
	if known, found := f.offsets[record.Key]; found && (record.Offset < known || record.Offset == known && !redeliver) {
		return
	}
	if record.Deleted {
		if _, found := f.offsets[record.Key]; !found {
			return
		}
		delete(f.offsets, record.Key)
	} else {
		f.offsets[record.Key] = record.Offset
	}
	class := ""
	if f.classOf != nil && !record.Deleted {
		class = f.classOf(record)
	}
	f.replica.put(record, class)
	f.handler(record)
}

// logReachability logs when reads of the topic start to fail or succeed again.
func (f *Follower) logReachability(err error) {
	if healthy := err == nil; healthy != f.healthy {
		f.healthy = healthy
		f.logger.Info().Err(err).Bool("reachable", healthy).Int64("offset", f.next).Msg("topic reachability changed")
	}
}
