package logrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/pauses"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// replicaWait bounds how long a replica holds a read, replicaTimeout how much later
	// its answer may come, and maxReplicaAge how old its knowledge may be (it reads once a
	// second at least). With replicaReadGap they add up to the 2 s by which a node may learn
	// later of a change, through a replica that froze or lost the log just then. Where
	// there are replicas, a configuration has to be in force after 4 s.
	replicaWait    = 300 * time.Millisecond
	replicaTimeout = 300 * time.Millisecond
	maxReplicaAge  = 1300 * time.Millisecond
	// replicaReadGap is the time between two reads of a topic from a replica, in which
	// changes gather.
	replicaReadGap = 100 * time.Millisecond
	// newestTimeout bounds a full read from a replica, which serves many readers at once.
	newestTimeout = 2 * time.Second
	// brokenPause leaves a replica alone that did not answer, stalePause one that does not
	// know enough: it has lost the log, or has just started.
	brokenPause = 3 * time.Second
	stalePause  = 300 * time.Millisecond
	// minTailWait and minNewestWait are the least times that reads wait for replicas before they go to the log. A
	// random part of the same length is added; it doubles with each read of the log that fails. Nodes that read from
	// the log what replicas are still reading keep the replicas from it.
	minTailWait   = 300 * time.Millisecond
	minNewestWait = 2 * time.Second
	// maxRandomWait bounds the random part.
	maxRandomWait = 30 * time.Second
	// maxDoublings keeps the doubled wait from overflowing; maxRandomWait is reached before.
	maxDoublings = 10
	// askAgain is the time between two attempts to find a replica that answers.
	askAgain = 100 * time.Millisecond
)

// ReplicaOptions say how a ReplicaReader finds and asks replicas.
type ReplicaOptions struct {
	// Sources returns the replicas to ask, the first choice first; none where the node reads the log itself.
	Sources func() []string
	// AwaitSources waits until the node knows whether there are replicas, as long as that makes sense; nil for
	// no wait.
	AwaitSources func(ctx context.Context)
	// LeftOut returns the classes of a topic's records that this node does without; nil for none. The log itself
	// returns all records.
	LeftOut func(topic string) []string
	Client  *http.Client
}

// ReplicaReader is a log whose compacted topics are read from replicas where the cluster
// has them, and from the log itself where it has none, or they don't answer or know
// too little for a while. It implements eventlog.Log.
type ReplicaReader struct {
	eventlog.Log
	options ReplicaOptions
	paused  *pauses.Pauses
	awaited sync.Once

	mu sync.Mutex
	// readAt is when each topic was read from a replica last.
	readAt map[string]time.Time
	// failed counts the reads of each topic from the log, in place of replicas, that failed in a row.
	failed map[string]int
}

var _ eventlog.Log = (*ReplicaReader)(nil)

// NewReplicaReader returns a reader that asks replicas, or else the log.
func NewReplicaReader(log eventlog.Log, options ReplicaOptions) *ReplicaReader {
	if options.LeftOut == nil {
		options.LeftOut = func(string) []string { return nil }
	}
	return &ReplicaReader{
		Log: log, options: options, paused: pauses.New(),
		readAt: make(map[string]time.Time), failed: make(map[string]int),
	}
}

// Newest implements eventlog.Log.
func (r *ReplicaReader) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	if r.options.AwaitSources != nil {
		r.awaited.Do(func() { r.options.AwaitSources(ctx) })
	}
	call := request{Operation: opReplicaNewest, Topic: topic, LeftOut: r.options.LeftOut(topic)}
	answer, known, _ := r.askUntil(ctx, call, newestTimeout, r.waitForReplicas(topic, minNewestWait))
	if !known {
		batch, err := r.Log.Newest(ctx, topic)
		r.recordLogRead(topic, err)
		return batch, err
	}
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, nil
}

// ReadKeyed implements eventlog.Log.
func (r *ReplicaReader) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	call := request{
		Operation: opReplicaRead, Topic: topic, Offset: from, Wait: min(wait, replicaWait),
		LeftOut: r.options.LeftOut(topic),
	}
	retry.Sleep(ctx, r.gapLeft(topic))
	answer, known, err := r.askUntil(ctx, call, call.Wait+replicaTimeout, r.waitForReplicas(topic, minTailWait))
	if !known {
		batch, err := r.Log.ReadKeyed(ctx, topic, from, wait)
		r.recordLogRead(topic, err)
		return batch, err
	}
	if err != nil {
		return eventlog.KeyedBatch{}, err
	}
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, nil
}

// gapLeft is the time until the topic should be read from a replica again.
func (r *ReplicaReader) gapLeft(topic string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, replicaReadGap-time.Since(r.readAt[topic]))
}

// draw returns a random time below the limit.
func draw(limit time.Duration) time.Duration { return rand.N(max(limit, 1)) }

// waitForReplicas returns how long a read waits for replicas, the given time at the least. Its random part doubles with
// each read that the log itself did not answer: the records may be large, and all nodes may be reading them.
func (r *ReplicaReader) waitForReplicas(topic string, least time.Duration) time.Duration {
	r.mu.Lock()
	failed := r.failed[topic]
	r.mu.Unlock()
	return least + draw(min(least<<failed, maxRandomWait))
}

// recordLogRead counts failures of reads that the log was to answer in place of replicas.
func (r *ReplicaReader) recordLogRead(topic string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone *eventlog.GoneError
	if err == nil || errors.As(err, &gone) {
		delete(r.failed, topic)
		return
	}
	r.failed[topic] = min(r.failed[topic]+1, maxDoublings)
}

// askUntil asks replicas until one answers or the wait is over. It does not wait where the cluster has no
// replicas.
func (r *ReplicaReader) askUntil(
	ctx context.Context, call request, timeout, wait time.Duration,
) (answer response, known bool, err error) {
	until := time.Now().Add(wait)
	for {
		answer, known, err = r.ask(ctx, call, timeout)
		if known || len(r.options.Sources()) == 0 || time.Now().After(until) || !retry.Sleep(ctx, askAgain) {
			return answer, known, err
		}
		// The time in which the first replica might have reported a change has passed.
		call.Wait = 0
	}
}

// ask asks the first replica that is not paused. The answer is worth something only if
// known is true; then err is nil or says that the reader has to read whole.
func (r *ReplicaReader) ask(
	ctx context.Context, call request, timeout time.Duration,
) (answer response, known bool, err error) {
	address, found := r.source()
	if !found {
		return response{}, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replica := &peer{client: r.options.Client, address: address}
	answer, err = replica.call(ctx, call)
	var gone *eventlog.GoneError
	switch {
	case errors.As(err, &gone):
		return answer, true, err
	case errors.Is(err, errNoWay), err == nil && answer.Age > maxReplicaAge:
		r.paused.Begin(address, stalePause)
		return response{}, false, nil
	case err != nil:
		r.paused.Begin(address, brokenPause)
		return response{}, false, nil
	}
	r.mu.Lock()
	r.readAt[call.Topic] = time.Now()
	delete(r.failed, call.Topic)
	r.mu.Unlock()
	return answer, true, nil
}

// source returns the first replica that is not paused.
func (r *ReplicaReader) source() (string, bool) {
	for _, address := range r.options.Sources() {
		if !r.paused.Active(address) {
			return address, true
		}
	}
	return "", false
}
