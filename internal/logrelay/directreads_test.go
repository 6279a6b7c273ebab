package logrelay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestFirstReadIsNotDelayedByEndedOutage guards against nodes that stay away from the log after an outage, the longer the
// longer it lasted, and serve without the records that they have not read.
func TestFirstReadIsNotDelayedByEndedOutage(t *testing.T) {
	for _, nodes := range []int{1, 300} {
		for range 5 {
			synctest.Test(t, func(t *testing.T) {
				log := memlog.New()
				log.Put(followedTopic, "k", []byte("0"))
				log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
				reader := NewReplicaReader(log, ReplicaOptions{Sources: func() []string { return nil }, Client: NewClient()})
				follower := follow.New(reader, followedTopic, func(eventlog.KeyedRecord) {}, newBudget(nodes), zerolog.Nop())
				follower.UseClock(time.Now)
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = follower.Run(ctx) })
				time.Sleep(time.Minute)
				log.SetFault(nil)
				available := time.Now()
				<-follower.Loaded()
				waited := time.Since(available)
				assert.Assert(t, waited <= follower.MaxFirstReadDelay(), "%d nodes: %s", nodes, waited)
				cancel()
				running.Wait()
			})
		}
	}
}

// TestReadsWithoutReplicasResumeSoonAfterOutage guards against nodes that cannot connect to the replicas and, after an
// outage of the log, wait for them for up to half a minute before they read the log.
func TestReadsWithoutReplicasResumeSoonAfterOutage(t *testing.T) {
	for _, loaded := range []bool{false, true} {
		for range 5 {
			synctest.Test(t, func(t *testing.T) {
				log := memlog.New()
				log.Put(followedTopic, "k", []byte("before"))
				refuse := func(memlog.Call) memlog.Fault { return memlog.Refused }
				if !loaded {
					log.SetFault(refuse)
				}
				reader := NewReplicaReader(log, ReplicaOptions{
					Sources: func() []string { return []string{"10.0.0.1:1", "10.0.0.2:1"} },
					Client:  &http.Client{Transport: &cluster{isDisconnected: true}},
				})
				changed := make(chan struct{})
				follower := follow.New(reader, followedTopic, func(record eventlog.KeyedRecord) {
					if string(record.Value) == "after" {
						close(changed)
					}
				}, newBudget(300), zerolog.Nop())
				follower.UseClock(time.Now)
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = follower.Run(ctx) })
				if loaded {
					<-follower.Loaded()
					log.SetFault(refuse)
				}
				time.Sleep(time.Minute)
				log.SetFault(nil)
				log.Put(followedTopic, "k", []byte("after"))
				available := time.Now()
				<-changed
				// A configuration must take effect within 4 s where replicas are used.
				assert.Assert(t, time.Since(available) <= 4*time.Second, "loaded %v: %s", loaded, time.Since(available))
				cancel()
				running.Wait()
			})
		}
	}
}

// fullReadFailingLog fails full reads, but no others, as a log does whose bandwidth is used up. It counts them.
type fullReadFailingLog struct {
	*memlog.Log
	mu        sync.Mutex
	fullReads int
}

func (l *fullReadFailingLog) Newest(context.Context, string) (eventlog.KeyedBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fullReads++
	return eventlog.KeyedBatch{}, eventlog.ErrNotPerformed
}

func (l *fullReadFailingLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fullReads
}

// TestFailedFullReadsBackOffWhileSmallReadsSucceed guards against nodes that keep a log overloaded with full reads because
// it still answers small ones.
func TestFailedFullReadsBackOffWhileSmallReadsSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fullReadFailingLog{Log: memlog.New()}
		reader := NewReplicaReader(log, ReplicaOptions{
			Sources: func() []string { return nil }, Client: &http.Client{Transport: &cluster{}},
		})
		follower := follow.New(reader, followedTopic, func(eventlog.KeyedRecord) {}, newBudget(1), zerolog.Nop())
		follower.UseClock(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = follower.Run(ctx) })
		time.Sleep(10 * time.Minute)
		// One per maxRepeatSpread/2 on average, after the first few.
		fullReads := log.count()
		assert.Assert(t, fullReads <= 2*40+maxDoublings, "%d full reads", fullReads)
		cancel()
		running.Wait()
	})
}
