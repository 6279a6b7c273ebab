package logrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// newBudget returns the budget of a node in a cluster of the given size.
func newBudget(nodes int) pacing.Budget {
	limits := pacing.Limits{ReadsPerSecond: 16_000, BytesPerSecond: 80_000_000}
	return pacing.Budget{Limits: limits, Nodes: func() int { return nodes }}
}

// disconnectableTransport connects to one replica, unless it is disconnected.
type disconnectableTransport struct {
	cluster
	handler http.Handler
}

func (t *disconnectableTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.mu.Lock()
	isDisconnected := t.isDisconnected
	t.mu.Unlock()
	if isDisconnected {
		return nil, errors.New("connection refused")
	}
	connected := cluster{handlers: map[string]http.Handler{request.URL.Host: t.handler}}
	return connected.RoundTrip(request)
}

func (t *disconnectableTransport) setDisconnected(isDisconnected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isDisconnected = isDisconnected
}

// failingLog refuses the first remainingFailures reads of compacted topics.
type failingLog struct {
	*memlog.Log
	mu                sync.Mutex
	remainingFailures int
}

func (l *failingLog) fails() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remainingFailures--
	return l.remainingFailures >= 0
}

func (l *failingLog) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	if l.fails() {
		return eventlog.KeyedBatch{}, eventlog.ErrNotPerformed
	}
	return l.Log.Newest(ctx, topic)
}

func (l *failingLog) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	if l.fails() {
		return eventlog.KeyedBatch{}, eventlog.ErrNotPerformed
	}
	return l.Log.ReadKeyed(ctx, topic, from, wait)
}

// TestReaderWithoutReplicasLearnsOfChangesInTime guards against configurations that take effect too late on a node
// that cannot connect to the replicas and reads the log itself.
func TestReaderWithoutReplicasLearnsOfChangesInTime(t *testing.T) {
	for _, nodes := range []int{300, 2000} {
		synctest.Test(t, func(t *testing.T) {
			log := memlog.New()
			log.Put(followedTopic, "k", []byte("0"))
			reader := NewReplicaReader(log, ReplicaOptions{
				Sources: func() []string { return []string{"10.0.0.1:1", "10.0.0.2:1"} },
				Client:  &http.Client{Transport: &disconnectableTransport{cluster: cluster{isDisconnected: true}}},
			})
			var mu sync.Mutex
			seen := ""
			follower := follow.New(reader, followedTopic, func(record eventlog.KeyedRecord) {
				mu.Lock()
				defer mu.Unlock()
				seen = string(record.Value)
			}, newBudget(nodes), zerolog.Nop())
			follower.UseClock(time.Now)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = follower.Run(ctx) })
			<-follower.Loaded()
			for change := range 100 {
				value := fmt.Sprint(change)
				log.Put(followedTopic, "k", []byte(value))
				changed := time.Now()
				for isSeen := false; !isSeen; {
					time.Sleep(20 * time.Millisecond)
					mu.Lock()
					isSeen = seen == value
					mu.Unlock()
				}
				assert.Assert(t, time.Since(changed) <= 5*time.Second, "%d nodes: %s", nodes, time.Since(changed))
				time.Sleep(time.Second)
			}
			cancel()
			running.Wait()
		})
	}
}

// TestFailedFullReadIsRetriedSoon guards against a single refused read that delays the start of a replica, and with
// it of all nodes, by seconds.
func TestFailedFullReadIsRetriedSoon(t *testing.T) {
	for _, nodes := range []int{90, 300, 2000} {
		synctest.Test(t, func(t *testing.T) {
			log := &failingLog{Log: memlog.New(), remainingFailures: 1}
			log.Put(followedTopic, "k", []byte("0"))
			reader := NewReplicaReader(log, ReplicaOptions{Sources: func() []string { return nil }, Client: NewClient()})
			follower := follow.New(reader, followedTopic, func(eventlog.KeyedRecord) {}, newBudget(nodes), zerolog.Nop())
			follower.UseClock(time.Now)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = follower.Run(ctx) })
			started := time.Now()
			<-follower.Loaded()
			assert.Assert(t, time.Since(started) <= 2*time.Second, "%d nodes: %s", nodes, time.Since(started))
			cancel()
			running.Wait()
		})
	}
}

// TestReplicaReplyResetsBackOff guards against past failures that still delay reads of the log.
func TestReplicaReplyResetsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		log.Put(followedTopic, "k", []byte("0"))
		replica := follow.New(log, followedTopic, func(eventlog.KeyedRecord) {}, pacing.Budget{}, zerolog.Nop())
		replica.UseClock(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = replica.Run(ctx) })
		<-replica.Loaded()
		link := &disconnectableTransport{handler: NewHandler(log, canRelayAlways, oneReplica{replica})}
		link.setDisconnected(true)
		reader := NewReplicaReader(&failingLog{Log: log, remainingFailures: 8}, ReplicaOptions{
			Sources: func() []string { return []string{"10.0.0.1:1"} }, Client: &http.Client{Transport: link},
		})
		for range 8 {
			_, err := reader.ReadKeyed(ctx, followedTopic, 0, 0)
			assert.ErrorIs(t, err, eventlog.ErrNotPerformed)
		}
		link.setDisconnected(false)
		time.Sleep(time.Minute)
		_, err := reader.ReadKeyed(ctx, followedTopic, 0, 0)
		assert.NilError(t, err)
		link.setDisconnected(true)
		started := time.Now()
		_, err = reader.ReadKeyed(ctx, followedTopic, 0, 0)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) <= time.Second, "%s", time.Since(started))
		cancel()
		running.Wait()
	})
}

// TestConfigurationIsReadWithoutDirectory guards against nodes that read no configuration while only the directory
// is unavailable.
func TestConfigurationIsReadWithoutDirectory(t *testing.T) {
	result := restart(t, 120, restartFaults{noDirectory: true})
	assert.Assert(t, result.seconds < maxRestartSeconds, "%+v", result)
}
