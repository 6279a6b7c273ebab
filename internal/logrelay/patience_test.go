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

// budgetOf is the budget of a node that knows so many.
func budgetOf(nodes int) pacing.Budget {
	limits := pacing.Limits{ReadsPerSecond: 16_000, BytesPerSecond: 80_000_000}
	return pacing.Budget{Limits: limits, Nodes: func() int { return nodes }}
}

// switchedLink reaches a replica, or nothing while it is cut.
type switchedLink struct {
	cluster
	handler http.Handler
}

func (s *switchedLink) RoundTrip(request *http.Request) (*http.Response, error) {
	s.mu.Lock()
	isCut := s.isCut
	s.mu.Unlock()
	if isCut {
		return nil, errors.New("connection refused")
	}
	reached := cluster{handlers: map[string]http.Handler{request.URL.Host: s.handler}}
	return reached.RoundTrip(request)
}

func (s *switchedLink) cut(isCut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut = isCut
}

// failingLog refuses the first few reads of compacted topics.
type failingLog struct {
	*memlog.Log
	mu   sync.Mutex
	left int
}

func (l *failingLog) fails() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left--
	return l.left >= 0
}

func (l *failingLog) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	if l.fails() {
		return eventlog.KeyedBatch{}, eventlog.ErrNotDone
	}
	return l.Log.Newest(ctx, topic)
}

func (l *failingLog) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	if l.fails() {
		return eventlog.KeyedBatch{}, eventlog.ErrNotDone
	}
	return l.Log.ReadKeyed(ctx, topic, from, wait)
}

// TestANodeThatNoReplicaAnswersLearnsOfChangesInTime guards against configurations that come into force too late at
// a node that is cut off from the replicas and reads the log itself.
func TestANodeThatNoReplicaAnswersLearnsOfChangesInTime(t *testing.T) {
	for _, nodes := range []int{300, 2000} {
		synctest.Test(t, func(t *testing.T) {
			log := memlog.New()
			log.Put(followed, "k", []byte("0"))
			reader := NewReplicaReader(log, ReplicaOptions{
				Sources: func() []string { return []string{"10.0.0.1:1", "10.0.0.2:1"} },
				Client:  &http.Client{Transport: &switchedLink{cluster: cluster{isCut: true}}},
			})
			var mu sync.Mutex
			seen := ""
			follower := follow.New(reader, followed, func(record eventlog.KeyedRecord) {
				mu.Lock()
				defer mu.Unlock()
				seen = string(record.Value)
			}, budgetOf(nodes), zerolog.Nop())
			follower.UseClock(time.Now)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = follower.Run(ctx) })
			<-follower.Loaded()
			for change := range 100 {
				value := fmt.Sprint(change)
				log.Put(followed, "k", []byte(value))
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

// TestAFullReadThatFailedOnceIsMadeAgainSoon guards against one refused read that delays the start of a replica, and
// with it of all nodes, by seconds.
func TestAFullReadThatFailedOnceIsMadeAgainSoon(t *testing.T) {
	for _, nodes := range []int{90, 300, 2000} {
		synctest.Test(t, func(t *testing.T) {
			log := &failingLog{Log: memlog.New(), left: 1}
			log.Put(followed, "k", []byte("0"))
			reader := NewReplicaReader(log, ReplicaOptions{Sources: func() []string { return nil }, Client: NewClient()})
			follower := follow.New(reader, followed, func(eventlog.KeyedRecord) {}, budgetOf(nodes), zerolog.Nop())
			follower.UseClock(time.Now)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = follower.Run(ctx) })
			began := time.Now()
			<-follower.Loaded()
			assert.Assert(t, time.Since(began) <= 2*time.Second, "%d nodes: %s", nodes, time.Since(began))
			cancel()
			running.Wait()
		})
	}
}

// TestAnAnswerOfAReplicaEndsTheBackOff guards against failures of long ago that delay reads of the log.
func TestAnAnswerOfAReplicaEndsTheBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		log.Put(followed, "k", []byte("0"))
		replica := follow.New(log, followed, func(eventlog.KeyedRecord) {}, pacing.Budget{}, zerolog.Nop())
		replica.UseClock(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = replica.Run(ctx) })
		<-replica.Loaded()
		link := &switchedLink{handler: NewHandler(log, always, oneReplica{replica})}
		link.cut(true)
		reader := NewReplicaReader(&failingLog{Log: log, left: 8}, ReplicaOptions{
			Sources: func() []string { return []string{"10.0.0.1:1"} }, Client: &http.Client{Transport: link},
		})
		for range 8 {
			_, err := reader.ReadKeyed(ctx, followed, 0, 0)
			assert.ErrorIs(t, err, eventlog.ErrNotDone)
		}
		link.cut(false)
		time.Sleep(time.Minute)
		_, err := reader.ReadKeyed(ctx, followed, 0, 0)
		assert.NilError(t, err)
		link.cut(true)
		began := time.Now()
		_, err = reader.ReadKeyed(ctx, followed, 0, 0)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) <= time.Second, "%s", time.Since(began))
		cancel()
		running.Wait()
	})
}

// TestNodesThatCannotReadTheDirectoryAllReadTheConfiguration guards against a pace that rests on knowledge of the
// other nodes: the log may be away in part.
func TestNodesThatCannotReadTheDirectoryAllReadTheConfiguration(t *testing.T) {
	result := restart(t, 120, restartFaults{noDirectory: true})
	assert.Assert(t, result.seconds < restartLimit, "%+v", result)
}
