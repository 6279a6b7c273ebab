// Package follow keeps a process up to date with a compacted topic of the log:
// it reads the newest record of each key, then each change, through outages and
// lost history.
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

	"github.com/corkpulley/corkpulley/internal/common/answered"
	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// pollWait is how long a read waits for a change. It bounds how long a
	// store that has stopped telling of changes goes unnoticed.
	pollWait = 500 * time.Millisecond
	// maxPollWait bounds it where many nodes share the log's reads. A read that
	// was sent to a silent log hangs for this long beyond the end of the outage.
	maxPollWait = time.Second
	// readGap is the time between two reads: every change ends a read that waits, and
	// changes gather meanwhile. It grows with the nodes.
	readGap    = 20 * time.Millisecond
	maxReadGap = 700 * time.Millisecond
	// refreshPeriod is the time between two full reads of refreshRecords keys, which
	// find what a tailing read has missed; it grows with the keys and the nodes. The
	// share refreshJitter of it is drawn, since nodes that start together would read
	// together.
	refreshPeriod    = 5 * time.Second
	maxRefreshPeriod = 2 * time.Minute
	refreshRecords   = 500
	refreshJitter    = 0.3
	// fullReadRetry is the longest time until the first full read that failed is tried again, maxFullReadRetry that
	// until a later one: it doubles, so that nodes that do not know each other yet do not overload the log.
	fullReadRetry    = 250 * time.Millisecond
	maxFullReadRetry = 30 * time.Second
	// maxDoublings is enough for fullReadRetry to reach maxFullReadRetry.
	maxDoublings = 7
	// refreshDelay is the longest time for which a whole read that came due in an outage
	// is postponed; it grows with the nodes.
	refreshDelay    = 2 * time.Second
	maxRefreshDelay = 10 * time.Second
)

// StaleAge is beyond any age that knowledge of a topic has while its reads work. A read that comes
// after it, such as the first one after the machine was suspended, waits for no change.
const StaleAge = maxPollWait + maxReadGap + 300*time.Millisecond

// maxReadRetry bounds the delays of readRetries once they have grown with the nodes.
const maxReadRetry = 4 * time.Second

// readRetries are the delays between tries while reads fail, where few nodes share the log. They grow with the
// nodes: when reads fail since all nodes together ask for more than the log serves, tries at a fixed pace keep it
// overloaded for good.
var readRetries = retry.Policy{First: 50 * time.Millisecond, Longest: 400 * time.Millisecond}

// Handler takes the records of a topic in the order of their offsets, each
// once; after a full read, also deletions of keys that are no longer there.
type Handler func(record eventlog.KeyedRecord)

// Follower follows one topic.
type Follower struct {
	log     eventlog.Log
	topic   string
	handler Handler
	budget  pacing.Budget
	logger  zerolog.Logger

	// The fields from here to classOf are used by Run's goroutine only, except for replica and loaded.
	// offsets holds the offset of the newest record handled for each key.
	offsets map[string]int64
	next    int64
	// fullBytes is the size of the newest full read.
	fullBytes int
	// failedLoads counts the reads that failed before the first full read, maxDoublings at the most.
	failedLoads int
	healthy     bool
	// replica holds what was read, for other nodes.
	replica *Replica
	// now reads a clock that goes on while the machine is suspended.
	now func() time.Time
	// loaded is closed after the first full read.
	loaded chan struct{}
	whole  refreshSchedule
	// classOf tells the class of a record; nil where all are of one.
	classOf func(eventlog.KeyedRecord) string

	mu sync.Mutex
	// reloads are closed after the next full read.
	reloads []chan struct{}
}

// New returns a follower; Run starts it.
func New(log eventlog.Log, topic string, handler Handler, budget pacing.Budget, logger zerolog.Logger) *Follower {
	return &Follower{
		log:     log,
		topic:   topic,
		handler: handler,
		budget:  budget,
		logger:  logger.With().Str("topic", topic).Logger(),
		offsets: make(map[string]int64),
		loaded:  make(chan struct{}),
		whole:   refreshSchedule{postponed: true},
		replica: newReplica(),
		now:     boottime.Now,
	}
}

// Classify has readers of the replica leave out whole classes of records; before Run only.
func (f *Follower) Classify(classOf func(record eventlog.KeyedRecord) string) { f.classOf = classOf }

// Reload forces a full resync of the topic. The channel is closed after it.
func (f *Follower) Reload() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	reloaded := make(chan struct{})
	f.reloads = append(f.reloads, reloaded)
	return reloaded
}

// takeReloads returns the reloads asked for since the last call.
func (f *Follower) takeReloads() []chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.reloads
	f.reloads = nil
	return asked
}

// keepReloads leaves reloads to the next full read.
func (f *Follower) keepReloads(asked []chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reloads = append(asked, f.reloads...)
}

// UseClock replaces the clock of package boottime; before Run only. Simulations have a clock of their own.
func (f *Follower) UseClock(now func() time.Time) { f.now, f.replica.now = now, now }

// Replica returns what the follower has read, for other nodes.
func (f *Follower) Replica() *Replica { return f.replica }

// Loaded is closed once the topic was read whole for the first time.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// IsLoaded tells whether the topic was read whole once.
func (f *Follower) IsLoaded() bool {
	select {
	case <-f.loaded:
		return true
	default:
		return false
	}
}

// Age is how old the newest knowledge of the topic is; very old before the first read.
func (f *Follower) Age() time.Duration { return f.replica.age() }

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	delays := readRetries.Delays()
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			delays.Reset()
			f.contact(nil)
			retry.Sleep(ctx, f.gap())
			continue
		}
		if ctx.Err() != nil {
			break
		}
		var gone *eventlog.GoneError
		if errors.As(err, &gone) {
			f.logger.Info().Int64("offset", f.next).Int64("first_kept", gone.First).Msg("history lost, reading whole")
			f.whole.force()
			continue
		}
		f.whole.failed()
		f.contact(err)
		retry.Sleep(ctx, f.retryDelay(delays))
	}
	return nil
}

// retryDelay is the time until a failed read is tried again. Nodes that have not read the topic yet make full reads.
func (f *Follower) retryDelay(delays *retry.Delays) time.Duration {
	delay := f.budget.Stretch(delays.NextBackOff(), maxReadRetry)
	if f.IsLoaded() {
		return delay
	}
	longest := min(fullReadRetry<<f.failedLoads, maxFullReadRetry)
	f.failedLoads = min(f.failedLoads+1, maxDoublings)
	return delay + rand.N(longest)
}

// gap is the time until the next read. None is left after an answer that had lain here while the process
// stood still.
func (f *Follower) gap() time.Duration {
	if f.Age() >= StaleAge {
		return 0
	}
	return f.budget.Stretch(readGap, maxReadGap)
}

func (f *Follower) step(ctx context.Context) error {
	if err := f.refreshIfDue(ctx); err != nil {
		return err
	}
	wait := f.budget.Stretch(pollWait, maxPollWait)
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
	known := sent
	if len(batch.Records) == 0 {
		known = answered.At(sent, wait, f.now())
	}
	f.replica.reached(f.next, known)
	f.whole.worked(time.Now(), rand.N(f.budget.Stretch(refreshDelay, maxRefreshDelay)))
	return nil
}

// refreshIfDue reads the topic whole if its time has come, or somebody has asked for it.
func (f *Follower) refreshIfDue(ctx context.Context) error {
	asked := f.takeReloads()
	now := time.Now()
	if len(asked) == 0 && !f.whole.isDue(now) {
		return nil
	}
	if err := f.refresh(ctx, len(asked) > 0); err != nil {
		f.keepReloads(asked)
		return err
	}
	f.whole.done(now, f.untilRefresh())
	for _, each := range asked {
		close(each)
	}
	return nil
}

// untilRefresh is the time until the next full read: long enough for the log to serve it to all nodes.
func (f *Follower) untilRefresh() time.Duration {
	size := 1 + len(f.offsets)/refreshRecords
	period := f.budget.Stretch(time.Duration(size)*refreshPeriod, maxRefreshPeriod)
	period = max(period, f.budget.Spread(f.fullBytes, maxRefreshPeriod))
	return period - time.Duration(rand.Float64()*refreshJitter*float64(period))
}

// refresh reads the topic whole. A key that is missing was deleted, unless its
// record is newer than the read, or could not be read and has no key. A record that was handled
// before is handled once more if all are to be.
func (f *Follower) refresh(ctx context.Context, all bool) error {
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
		if !f.deletedSince(batch, record) {
			f.handleIf(record, all)
		}
	}
	for key, offset := range f.offsets {
		if !present[key] && offset < batch.Next && key != "" {
			f.handle(eventlog.KeyedRecord{Key: key, Deleted: true, Offset: batch.Next - 1})
		}
	}
	f.next = max(f.next, batch.Next)
	f.replica.reached(f.next, sent)
	if !f.IsLoaded() {
		close(f.loaded)
		f.logger.Info().Int("keys", len(f.offsets)).Int64("offset", f.next).Msg("topic read whole")
	}
	return nil
}

// deletedSince tells whether a key that a whole read has is known to have been deleted after it: the
// read was of a replica that knows less than this follower has read already.
func (f *Follower) deletedSince(read eventlog.KeyedBatch, record eventlog.KeyedRecord) bool {
	_, found := f.offsets[record.Key]
	return !found && read.Next < f.next && record.Offset < f.next
}

// handle passes a record on unless it was handled, or a newer one of its key.
func (f *Follower) handle(record eventlog.KeyedRecord) { f.handleIf(record, false) }

// handleIf is handle, but passes a record on again if asked to.
func (f *Follower) handleIf(record eventlog.KeyedRecord, again bool) {
	if known, found := f.offsets[record.Key]; found && (record.Offset < known || record.Offset == known && !again) {
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
	f.replica.take(record, class)
	f.handler(record)
}

// contact logs when the topic is lost or regained.
func (f *Follower) contact(err error) {
	if healthy := err == nil; healthy != f.healthy {
		f.healthy = healthy
		f.logger.Info().Err(err).Bool("reachable", healthy).Int64("offset", f.next).Msg("topic contact changed")
	}
}
