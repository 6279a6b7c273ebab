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
	// newestTimeout bounds a read of a whole topic from a replica: megabytes over a link
	// of 60 Mbit/s.
	newestTimeout = time.Second
	// brokenPause leaves a replica alone that did not answer, stalePause one that does not
	// know enough: it has lost the log, or has just started.
	brokenPause = 3 * time.Second
	stalePause  = 300 * time.Millisecond
	// tailPatience and wholePatience are how long reads wait for replicas, where the cluster has some, before
	// the log itself is asked: at the least, and up to twice as long, each node for itself. Replicas read a
	// topic in about a second after all nodes have started at once. A thousand nodes that read 3 MB each from
	// the log meanwhile would keep it, and with it the replicas, busy for as long as they try.
	tailPatience  = 300 * time.Millisecond
	wholePatience = 2 * time.Second
	// askAgain is the time between two looks for a replica that answers.
	askAgain = 100 * time.Millisecond
)

// ReplicaReader is a log whose compacted topics are read from replicas where the cluster
// has them, and from the log itself where it has none, or they don't answer or know
// too little for a while. It implements eventlog.Log.
type ReplicaReader struct {
	eventlog.Log
	// sources returns the replicas to ask, the first choice first.
	sources func() []string
	client  *http.Client
	paused  *pauses.Pauses
	// leftOut returns the classes of a topic's records that this node does without.
	leftOut func(topic string) []string

	mu sync.Mutex
	// readAt is when each topic was read from a replica last.
	readAt map[string]time.Time
}

var _ eventlog.Log = (*ReplicaReader)(nil)

// NewReplicaReader returns a reader that asks the sources over the client, or else the log.
func NewReplicaReader(log eventlog.Log, sources func() []string, client *http.Client) *ReplicaReader {
	return &ReplicaReader{
		Log: log, sources: sources, client: client, paused: pauses.New(),
		leftOut: func(string) []string { return nil },
		readAt:  make(map[string]time.Time),
	}
}

// LeaveOut has replicas leave out the classes of a topic's records that the function returns at each read;
// before the first read only. The log itself tells all records.
func (r *ReplicaReader) LeaveOut(leftOut func(topic string) []string) { r.leftOut = leftOut }

// Newest implements eventlog.Log.
func (r *ReplicaReader) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	call := request{Operation: opReplicaNewest, Topic: topic, LeftOut: r.leftOut(topic)}
	answer, known, _ := r.askPatiently(ctx, call, newestTimeout, wholePatience)
	if !known {
		return r.Log.Newest(ctx, topic)
	}
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, nil
}

// ReadKeyed implements eventlog.Log.
func (r *ReplicaReader) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	call := request{
		Operation: opReplicaRead, Topic: topic, Offset: from, Wait: min(wait, replicaWait), LeftOut: r.leftOut(topic),
	}
	retry.Sleep(ctx, r.gapLeft(topic))
	answer, known, err := r.askPatiently(ctx, call, call.Wait+replicaTimeout, tailPatience)
	if !known {
		return r.Log.ReadKeyed(ctx, topic, from, wait)
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

// askPatiently asks replicas until one answers or the patience, and up to as much again, is over. It does not
// wait where the cluster has no replicas.
func (r *ReplicaReader) askPatiently(
	ctx context.Context, call request, timeout, patience time.Duration,
) (answer response, known bool, err error) {
	until := time.Now().Add(patience + rand.N(patience))
	for {
		answer, known, err = r.ask(ctx, call, timeout)
		if known || len(r.sources()) == 0 || time.Now().After(until) || !retry.Sleep(ctx, askAgain) {
			return answer, known, err
		}
		// The time in which the first replica might have told of a change has passed.
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
	replica := &peer{client: r.client, address: address}
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
	r.mu.Unlock()
	return answer, true, nil
}

// source returns the first replica that is not paused.
func (r *ReplicaReader) source() (string, bool) {
	for _, address := range r.sources() {
		if !r.paused.Active(address) {
			return address, true
		}
	}
	return "", false
}
