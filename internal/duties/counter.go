package duties

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/usage"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// The log partitions of usage counts and usage reports.
var (
	countPartition  = eventlog.Partition{Topic: "corkpulley.usage"}
	reportPartition = eventlog.Partition{Topic: "corkpulley.usagereports"}
)

const (
	// countDelay is how long counts are batched before they are written; a killed process loses unwritten counts.
	// It grows with the number of nodes, up to maxCountDelay, since they share the partition's write rate.
	countDelay    = 200 * time.Millisecond
	maxCountDelay = 2 * time.Second
	// countTTL is how long the counts of a window are kept. It exceeds maxReportAge, so older ones are of no use.
	countTTL = 5 * time.Minute
	// finalWriteTimeout bounds the write at shutdown. It must be below hosted.minTaskTime, the time that a stopping
	// node leaves for it.
	finalWriteTimeout = 300 * time.Millisecond
)

var countRetries = retry.Policy{First: 50 * time.Millisecond, Longest: 400 * time.Millisecond}

// Counter counts the requests that begin at this process and writes the counts to the log.
type Counter struct {
	log    eventlog.Log
	source string
	span   time.Duration
	budget pacing.Budget
	logger zerolog.Logger

	mu sync.Mutex
	// counts holds the counts of the windows within countTTL. unwritten holds the windows whose latest counts are
	// not in the log.
	counts    map[usage.Window]usage.Counts
	unwritten map[usage.Window]bool
	added     chan struct{}
}

// NewCounter returns a counter for windows of the given span; a zero span disables it.
// source identifies the process start.
func NewCounter(
	log eventlog.Log, source string, span time.Duration, budget pacing.Budget, logger zerolog.Logger,
) *Counter {
	return &Counter{
		log: log, source: source, span: span, budget: budget, logger: logger,
		counts: make(map[usage.Window]usage.Counts), unwritten: make(map[usage.Window]bool),
		added: make(chan struct{}, 1),
	}
}

// CountRequest counts a request of a tenant that an engine began to run at the given time.
func (c *Counter) CountRequest(tenant string, at time.Time) {
	if c.span <= 0 || tenant == "" {
		return
	}
	window := usage.WindowOf(at, c.span)
	c.mu.Lock()
	if c.counts[window] == nil {
		c.counts[window] = make(usage.Counts)
	}
	c.counts[window][tenant]++
	c.unwritten[window] = true
	c.mu.Unlock()
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// Run writes counts until ctx ends, and a last time after it has ended.
func (c *Counter) Run(ctx context.Context) error {
	if c.span <= 0 {
		return nil
	}
	delays := countRetries.Delays()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case <-c.added:
		}
		retry.Sleep(ctx, c.budget.ScalePeriod(countDelay, maxCountDelay))
		for err := c.write(ctx); err != nil && ctx.Err() == nil; err = c.write(ctx) {
			c.logger.Warn().Err(err).Int("windows", c.unwrittenWindows()).Msg("usage counts not written")
			retry.Sleep(ctx, delays.NextBackOff())
		}
		delays.Reset()
	}
	finalContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer cancel()
	if err := c.write(finalContext); err != nil {
		c.logger.Warn().Err(err).Int("windows", c.unwrittenWindows()).Msg("usage counts not written")
	}
	return nil
}

func (c *Counter) unwrittenWindows() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unwritten)
}

// write writes the counts of all changed windows in one call.
func (c *Counter) write(ctx context.Context) error {
	records, windows, err := c.drain()
	if err != nil || len(records) == 0 {
		return err
	}
	if _, err := c.log.Append(ctx, countPartition, records); err != nil {
		c.markUnwritten(windows)
		return errors.Wrap(err, "append usage counts")
	}
	return nil
}

// drain returns the records of the unwritten windows, and the windows, and marks them as written.
func (c *Counter) drain() ([][]byte, []usage.Window, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := usage.WindowOf(time.Now().Add(-countTTL), c.span)
	maps.DeleteFunc(c.counts, func(window usage.Window, _ usage.Counts) bool { return window < oldest })
	maps.DeleteFunc(c.unwritten, func(window usage.Window, _ bool) bool { return window < oldest })
	windows := slices.Sorted(maps.Keys(c.unwritten))
	var records [][]byte
	for _, window := range windows {
		raw, err := msgpack.Marshal(&usage.CountRecord{Source: c.source, Window: window, Counts: c.counts[window]})
		if err != nil {
			return nil, nil, errors.Wrap(err, "encode usage counts")
		}
		records = append(records, raw)
	}
	clear(c.unwritten)
	return records, windows, nil
}

func (c *Counter) markUnwritten(windows []usage.Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, window := range windows {
		c.unwritten[window] = true
	}
}
