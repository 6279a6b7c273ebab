package logrelay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/cooldown"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// replicaWait limits how long a replica holds a read, replicaTimeout how much later its reply may arrive, and
	// maxReplicaAge the age of its data. Together with replicaReadGap they add up to 2 s, the longest delay of a
	// change through a replica that stalls or loses the log at that moment. A configuration has to take effect
	// within 4 s where replicas are used.
	replicaWait    = 300 * time.Millisecond
	replicaTimeout = 300 * time.Millisecond
	maxReplicaAge  = 1300 * time.Millisecond
	// replicaReadGap is the time between two reads of a topic from a replica, so that a read returns several
	// changes.
	replicaReadGap = 100 * time.Millisecond
	// fullReadTimeout limits a full read from a replica, which serves many readers at once.
	fullReadTimeout = 2 * time.Second
	// unresponsivePause is how long a replica is skipped after it did not reply, stalePause after it replied that
	// its data are missing or too old.
	unresponsivePause = 3 * time.Second
	stalePause        = 300 * time.Millisecond
	// minChangesWait and minFullReadWait are the shortest times for which reads of changes and full reads wait for
	// replicas before they go to the log. A random part of up to the same length is added. Reading directly too early
	// would compete with the replicas' own reads.
	minChangesWait  = 300 * time.Millisecond
	minFullReadWait = 2 * time.Second
	// queryInterval is the time between two attempts to find a replica that replies.
	queryInterval = 100 * time.Millisecond
)

// ReplicaOptions configures a ReplicaReader.
type ReplicaOptions struct {
	// Sources returns the addresses of the replicas, in order of preference; empty if the node reads the log
	// itself.
	Sources func() []string
	// AwaitSources blocks until the node knows whether there are replicas, or a time limit expires; nil for no
	// wait.
	AwaitSources func(ctx context.Context)
	// ExcludedClasses returns the record classes of a topic that this node does not need; nil for none. Reads of the log
	// itself return all records.
	ExcludedClasses func(topic string) []string
	Client          *http.Client
}

// ReplicaReader reads compacted topics from replicas. It reads from the log itself if the cluster has no replicas,
// or if they do not reply or are out of date for a while. It implements eventlog.Log.
type ReplicaReader struct {
	eventlog.Log
	options          ReplicaOptions
	paused           *cooldown.Set
	direct           *directReads
	awaitSourcesOnce sync.Once

	mu sync.Mutex
	// readAt is the time of the last read from a replica, by topic.
	readAt map[string]time.Time
}

var _ eventlog.Log = (*ReplicaReader)(nil)

// NewReplicaReader returns a reader that falls back to log.
func NewReplicaReader(log eventlog.Log, options ReplicaOptions) *ReplicaReader {
	if options.ExcludedClasses == nil {
		options.ExcludedClasses = func(string) []string { return nil }
	}
	return &ReplicaReader{
		Log: log, options: options, paused: cooldown.New(), direct: newDirectReads(log),
		readAt: make(map[string]time.Time),
	}
}

// Newest implements eventlog.Log.
func (r *ReplicaReader) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	if r.options.AwaitSources != nil {
		r.awaitSourcesOnce.Do(func() { r.options.AwaitSources(ctx) })
	}
	call := request{Operation: opReplicaNewest, Topic: topic, ExcludedClasses: r.options.ExcludedClasses(topic)}
	answer, answered, _ := r.queryUntilDue(ctx, call, fullReadTimeout, minFullReadWait)
	if !answered {
		return r.direct.read(ctx, topic, func() (eventlog.KeyedBatch, error) { return r.Log.Newest(ctx, topic) })
	}
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, nil
}

// ReadKeyed implements eventlog.Log.
func (r *ReplicaReader) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	if len(r.options.Sources()) == 0 {
		// The follower paces these reads, and delays would postpone what it serves to other nodes.
		return r.Log.ReadKeyed(ctx, topic, from, wait)
	}
	call := request{
		Operation: opReplicaRead, Topic: topic, Offset: from, Wait: min(wait, replicaWait),
		ExcludedClasses: r.options.ExcludedClasses(topic),
	}
	retry.Sleep(ctx, r.untilNextRead(topic))
	answer, answered, err := r.queryUntilDue(ctx, call, call.Wait+replicaTimeout, minChangesWait)
	if !answered {
		return r.direct.read(ctx, topic, func() (eventlog.KeyedBatch, error) {
			return r.Log.ReadKeyed(ctx, topic, from, wait)
		})
	}
	if err != nil {
		return eventlog.KeyedBatch{}, err
	}
	return eventlog.KeyedBatch{Records: answer.Keyed, Next: answer.Offset}, nil
}

// untilNextRead returns the time until the topic may be read from a replica again.
func (r *ReplicaReader) untilNextRead(topic string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, replicaReadGap-time.Since(r.readAt[topic]))
}

// queryUntilDue queries replicas until one replies, or until the topic may be read from the log: after at least minWait if
// the cluster has replicas, and later after failed reads of the log.
func (r *ReplicaReader) queryUntilDue(
	ctx context.Context, call request, timeout, minWait time.Duration,
) (answer response, answered bool, err error) {
	hasReplicas := len(r.options.Sources()) > 0
	if !hasReplicas {
		minWait = 0
	}
	r.direct.schedule(call.Topic, minWait)
	for {
		answer, answered, err = r.query(ctx, call, timeout)
		becameReplica := hasReplicas && len(r.options.Sources()) == 0
		if answered || becameReplica || r.direct.isDue(call.Topic) || !retry.Sleep(ctx, queryInterval) {
			return answer, answered, err
		}
		// The first attempt has used up the time for which a read may wait for changes.
		call.Wait = 0
	}
}

// query sends the call to the first replica that is not paused. If answered is false, the response is meaningless;
// otherwise err is nil, or a *eventlog.TrimmedError that requires a full read.
func (r *ReplicaReader) query(
	ctx context.Context, call request, timeout time.Duration,
) (answer response, answered bool, err error) {
	address, found := r.firstAvailable()
	if !found {
		return response{}, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replica := &relayClient{client: r.options.Client, address: address}
	answer, err = replica.call(ctx, call)
	var trimmed *eventlog.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return answer, true, err
	case errors.Is(err, errCannotRelay), err == nil && answer.Age > maxReplicaAge:
		r.paused.Start(address, stalePause)
		return response{}, false, nil
	case err != nil:
		r.paused.Start(address, unresponsivePause)
		return response{}, false, nil
	}
	r.direct.reset(call.Topic)
	r.mu.Lock()
	r.readAt[call.Topic] = time.Now()
	r.mu.Unlock()
	return answer, true, nil
}

// firstAvailable returns the address of the first replica that is not paused.
func (r *ReplicaReader) firstAvailable() (string, bool) {
	for _, address := range r.options.Sources() {
		if !r.paused.Active(address) {
			return address, true
		}
	}
	return "", false
}
