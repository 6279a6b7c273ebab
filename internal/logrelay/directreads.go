package logrelay

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

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
	// due is the earliest time of the next read; zero until it is scheduled.
	due time.Time
}

func newDirectReads(log eventlog.Log) *directReads {
	return &directReads{log: log, topics: make(map[string]directRead)}
}

// schedule sets the time of the topic's next read, unless it was set since the last read: after minWait and a random part
// of up to the same length, or more after failures.
func (d *directReads) schedule(topic string, minWait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.topics[topic]
	if !next.due.IsZero() {
		return
	}
	wait := minWait + randomBelow(minWait)
	if next.failures > 0 {
		wait += randomBelow(min(repeatSpread<<next.failures, maxRepeatSpread))
	}
	next.due = time.Now().Add(wait)
	d.topics[topic] = next
}

// isDue reports whether the topic may be read from the log.
func (d *directReads) isDue(topic string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !time.Now().Before(d.topics[topic].due)
}

// isRepeated reports whether the topic's last read failed.
func (d *directReads) isRepeated(topic string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.topics[topic].failures > 0
}

// read makes a read of the topic that is due.
func (d *directReads) read(
	ctx context.Context, topic string, call func() (eventlog.KeyedBatch, error),
) (eventlog.KeyedBatch, error) {
	if d.isRepeated(topic) {
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
	d.topics[topic] = directRead{failures: min(d.topics[topic].failures+1, maxDoublings)}
}

// reset forgets the failures of a topic, after a successful read.
func (d *directReads) reset(topic string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.topics, topic)
}

func randomBelow(limit time.Duration) time.Duration { return rand.N(max(limit, 1)) }
