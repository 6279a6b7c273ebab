package logrelay

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// repeatSpread is the time over which nodes spread a read of the log that failed once; it doubles with each further
	// failure up to maxRepeatSpread.
	repeatSpread    = 250 * time.Millisecond
	maxRepeatSpread = 30 * time.Second
	// maxDoublings suffices for repeatSpread to reach maxRepeatSpread.
	maxDoublings = 7
)

// directReads paces the reads of compacted topics that a node makes from the log because no replica serves them. Their
// records may be large, and all nodes may be making them, so that they overload the log.
//
// A read that failed is repeated at a random time, and only once a read without records succeeds: a log that is
// overloaded or unavailable fails those too, and a node can make them often. Only failures that follow such a success
// count as overload, so that a node does not stay away from the log because of an outage that has ended. It is safe for
// concurrent use.
type directReads struct {
	log eventlog.Log

	mu     sync.Mutex
	topics map[string]directRead
}

// directRead is the state of the reads of one topic since the last successful one.
type directRead struct {
	// failures counts the failed reads, without those of no records.
	failures int
	// due is the earliest time of the next read.
	due time.Time
}

func newDirectReads(log eventlog.Log) *directReads {
	return &directReads{log: log, topics: make(map[string]directRead)}
}

// failures returns the number of consecutive failed reads of the topic, without those of no records.
func (d *directReads) failures(topic string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.topics[topic].failures
}

// read makes a read of the topic, as soon as it is due.
func (d *directReads) read(
	ctx context.Context, topic string, call func() (eventlog.KeyedBatch, error),
) (eventlog.KeyedBatch, error) {
	if d.failures(topic) > 0 {
		retry.Sleep(ctx, d.untilDue(topic))
		if err := d.probe(ctx, topic); err != nil {
			return eventlog.KeyedBatch{}, err
		}
	}
	batch, err := call()
	var trimmed *eventlog.TrimmedError
	if err == nil || errors.As(err, &trimmed) {
		d.reset(topic)
	} else {
		d.recordFailure(topic)
	}
	return batch, err
}

// probe reads the topic at an offset without records.
func (d *directReads) probe(ctx context.Context, topic string) error {
	_, err := d.log.Read(ctx, eventlog.Partition{Topic: topic}, math.MaxInt64, 1, 0)
	return err
}

func (d *directReads) recordFailure(topic string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	failures := min(d.topics[topic].failures+1, maxDoublings)
	spread := min(repeatSpread<<failures, maxRepeatSpread)
	d.topics[topic] = directRead{failures: failures, due: time.Now().Add(randomBelow(spread))}
}

// untilDue returns the time until the topic's next read.
func (d *directReads) untilDue(topic string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.topics[topic].due)
}

// reset forgets the failures of a topic, after a successful read.
func (d *directReads) reset(topic string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.topics, topic)
}

func randomBelow(limit time.Duration) time.Duration { return rand.N(max(limit, 1)) }
