package logrelay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/replicaset"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const followedTopic = "keyed.followed"

// noReplicas is a node that serves no replica.
type noReplicas struct{}

func (noReplicas) Replica(string) (Replica, bool) { return nil, false }

// oneReplica serves the replica of one follower.
type oneReplica struct{ follower *follow.Follower }

func (o oneReplica) Replica(topic string) (Replica, bool) {
	return o.follower.Replica(), topic == followedTopic
}

// countingLog counts reads of compacted topics.
type countingLog struct {
	*memlog.Log
	reads atomic.Int64
}

func (l *countingLog) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	l.reads.Add(1)
	return l.Log.Newest(ctx, topic)
}

func (l *countingLog) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	l.reads.Add(1)
	return l.Log.ReadKeyed(ctx, topic, from, wait)
}

// newReader returns a reader with one replica.
func newReader(log eventlog.Log, address string) *ReplicaReader {
	return NewReplicaReader(log, ReplicaOptions{
		Sources: func() []string { return []string{address} }, Client: NewClient(),
	})
}

// replicaChain is a log, a replica that follows it, and a reader that follows the replica.
type replicaChain struct {
	t *testing.T
	// log is read by the replica, readerLog by the reader when it bypasses the replica.
	log       *memlog.Log
	readerLog *countingLog
	// hold, if set, blocks the replica's replies until it is closed.
	hold atomic.Pointer[chan struct{}]

	mu     sync.Mutex
	values map[string]string
}

func newReplicaChain(t *testing.T) *replicaChain {
	t.Helper()
	c := &replicaChain{t: t, log: memlog.New(), values: make(map[string]string)}
	c.readerLog = &countingLog{Log: c.log}
	c.log.Put(followedTopic, "first", []byte("1"))
	replica := c.follow(c.log, func(eventlog.KeyedRecord) {})
	<-replica.Loaded()
	handler := NewHandler(c.log, canRelayAlways, oneReplica{replica})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hold := c.hold.Load(); hold != nil {
			<-*hold
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	c.follow(newReader(c.readerLog, address), c.handle)
	return c
}

// follow runs a follower for the rest of the test.
func (c *replicaChain) follow(log eventlog.Log, handler follow.Handler) *follow.Follower {
	follower := follow.New(log, followedTopic, handler, pacing.Budget{}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
	return follower
}

func (c *replicaChain) handle(record eventlog.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record.Deleted {
		delete(c.values, record.Key)
		return
	}
	c.values[record.Key] = string(record.Value)
}

func (c *replicaChain) await(key, value string) {
	c.t.Helper()
	testwait.Until(c.t, fmt.Sprintf("%s = %q", key, value), func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.values[key] == value
	})
}

// TestChangesAreReadFromReplica guards against reads of the log by a node that has a working replica.
func TestChangesAreReadFromReplica(t *testing.T) {
	c := newReplicaChain(t)
	c.await("first", "1")
	for number := range 20 {
		c.log.Put(followedTopic, "second", fmt.Append(nil, number))
		c.await("second", fmt.Sprint(number))
	}
	c.log.Put(followedTopic, "second", nil)
	c.await("second", "")
	assert.Equal(t, c.readerLog.reads.Load(), int64(0))
}

// TestReaderBypassesOutdatedReplica guards against stale data from a replica that lost the log while the reader can
// reach it.
func TestReaderBypassesOutdatedReplica(t *testing.T) {
	c := newReplicaChain(t)
	c.await("first", "1")
	c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	// The reader's connection to the log still works.
	healthy := memlog.New()
	healthy.Put(followedTopic, "first", []byte("1"))
	c.readerLog.Log = healthy
	healthy.Put(followedTopic, "second", []byte("2"))
	c.await("second", "2")
}

// TestReaderBypassesUnresponsiveReplica covers a replica that accepts connections but does not reply.
func TestReaderBypassesUnresponsiveReplica(t *testing.T) {
	c := newReplicaChain(t)
	c.await("first", "1")
	hold := make(chan struct{})
	c.hold.Store(&hold)
	defer close(hold)
	c.log.Put(followedTopic, "second", []byte("2"))
	started := time.Now()
	c.await("second", "2")
	assert.Assert(t, c.readerLog.reads.Load() > 0)
	t.Logf("the change was read after %v", time.Since(started))
}

func TestReaderReadsTheLogIfPeerIsNoReplica(t *testing.T) {
	server := httptest.NewServer(NewHandler(memlog.New(), canRelayAlways, noReplicas{}))
	t.Cleanup(server.Close)
	log := &countingLog{Log: memlog.New()}
	log.Put(followedTopic, "k", []byte("v"))
	reader := newReader(log, strings.TrimPrefix(server.URL, "http://"))
	batch, err := reader.Newest(t.Context(), followedTopic)
	assert.NilError(t, err)
	assert.Equal(t, string(batch.Records[0].Value), "v")
	batch, err = reader.ReadKeyed(t.Context(), followedTopic, 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 1)
}

// TestNodesOfALargeClusterChooseTheSameReplicas guards against nodes that read from others which do not serve
// replicas.
func TestNodesOfALargeClusterChooseTheSameReplicas(t *testing.T) {
	log := memlog.New()
	var directories []*Directory
	for number := range replicaset.MinNodes {
		self := NodeInfo{
			Node: fmt.Sprint("n", number), Address: fmt.Sprint("127.0.0.1:", number+1), Zone: "z", Processors: 0.2,
		}
		if number < 20 {
			self.Processors = 0.8
		}
		directory := NewDirectory(log, self, pacing.Limits{}, zerolog.Nop())
		assert.NilError(t, directory.announce(t.Context(), time.Minute))
		directories = append(directories, directory)
	}
	replicas := make(map[string]bool)
	for _, directory := range directories {
		directory.read(t.Context())
		directory.chooseReplicas()
		if directory.IsReplica() {
			replicas[directory.own.Address] = true
			assert.Equal(t, len(directory.Sources()), 0)
		}
	}
	assert.Assert(t, len(replicas) > 1)
	for _, directory := range directories {
		for _, source := range directory.Sources() {
			assert.Assert(t, replicas[source], "%s reads from %s", directory.own.Node, source)
		}
	}
}

// startingReplica serves no replica for the first calls, as many as refused.
type startingReplica struct {
	oneReplica
	refused atomic.Int64
}

func (r *startingReplica) Replica(topic string) (Replica, bool) {
	if r.refused.Add(-1) >= 0 {
		return nil, false
	}
	return r.oneReplica.Replica(topic)
}

// TestReadersWaitForStartingReplicas guards against a restart in which all nodes read from the log at once.
func TestReadersWaitForStartingReplicas(t *testing.T) {
	log := memlog.New()
	log.Put(followedTopic, "k", []byte("v"))
	follower := follow.New(log, followedTopic, func(eventlog.KeyedRecord) {}, pacing.Budget{}, zerolog.Nop())
	go func() { _ = follower.Run(t.Context()) }()
	<-follower.Loaded()
	starting := &startingReplica{oneReplica: oneReplica{follower}}
	server := httptest.NewServer(NewHandler(log, canRelayAlways, starting))
	t.Cleanup(server.Close)
	sources := func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} }
	for reader := range 5 {
		starting.refused.Store(3)
		own := &countingLog{Log: log}
		batch, err := NewReplicaReader(own, ReplicaOptions{Sources: sources, Client: NewClient()}).Newest(t.Context(), followedTopic)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		assert.Equal(t, own.reads.Load(), int64(0), "reader %d", reader)
	}
}

func TestReplicaOmitsExcludedClasses(t *testing.T) {
	log := memlog.New()
	for _, key := range []string{"a1", "a2", "b1"} {
		log.Put(followedTopic, key, []byte("v"))
	}
	follower := follow.New(log, followedTopic, func(eventlog.KeyedRecord) {}, pacing.Budget{}, zerolog.Nop())
	follower.Classify(func(record eventlog.KeyedRecord) string { return record.Key[:1] })
	go func() { _ = follower.Run(t.Context()) }()
	<-follower.Loaded()
	server := httptest.NewServer(NewHandler(log, canRelayAlways, oneReplica{follower}))
	t.Cleanup(server.Close)
	reader := newReader(log, strings.TrimPrefix(server.URL, "http://"))
	reader.options.ExcludedClasses = func(string) []string { return []string{"a"} }
	batch, err := reader.Newest(t.Context(), followedTopic)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 1)
	log.Put(followedTopic, "a3", []byte("v"))
	log.Put(followedTopic, "b2", []byte("v"))
	var keys []string
	for next := batch.Next; len(keys) == 0; {
		changes, err := reader.ReadKeyed(t.Context(), followedTopic, next, time.Second)
		assert.NilError(t, err)
		for _, record := range changes.Records {
			keys = append(keys, record.Key)
		}
		next = changes.Next
	}
	assert.DeepEqual(t, keys, []string{"b2"})
}
