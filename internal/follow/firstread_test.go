package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestFirstReadAfterOutageHasBoundedDelay guards against nodes started in an outage of the log that read a topic only
// long after the outage has ended.
func TestFirstReadAfterOutageHasBoundedDelay(t *testing.T) {
	for _, nodes := range []int{1, 300, 2000} {
		for range 10 {
			synctest.Test(t, func(t *testing.T) {
				log := &countingLog{Log: memlog.New(), throttled: true}
				budget := pacing.Budget{Limits: pacing.Limits{ReadsPerSecond: 16_000}, Nodes: func() int { return nodes }}
				follower := New(log, topic, func(eventlog.KeyedRecord) {}, budget, zerolog.Nop())
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = follower.Run(ctx) })
				time.Sleep(time.Minute)
				log.setThrottled(false)
				available := time.Now()
				<-follower.Loaded()
				waited := time.Since(available)
				assert.Assert(t, waited <= follower.MaxFirstReadDelay(), "%d nodes: %s", nodes, waited)
				assert.Assert(t, waited <= 4*time.Second, "%d nodes: %s", nodes, waited)
				cancel()
				running.Wait()
			})
		}
	}
}

// TestFirstReadRetriesStayWithinTheLogsLimit guards against starting nodes, which may not know of each other, that keep
// an overloaded log overloaded.
func TestFirstReadRetriesStayWithinTheLogsLimit(t *testing.T) {
	const (
		readsPerSecond = 16_000
		seconds        = 20
		// topics is the number of compacted topics that a node follows.
		topics = 3
	)
	for _, nodes := range []int{1000, 2000} {
		synctest.Test(t, func(t *testing.T) {
			var reads atomic.Int64
			log := memlog.New()
			log.SetFault(func(memlog.Call) memlog.Fault {
				reads.Add(1)
				return memlog.Refused
			})
			budget := pacing.Budget{Limits: pacing.Limits{ReadsPerSecond: readsPerSecond}, Nodes: func() int { return 1 }}
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			for range nodes {
				follower := New(log, topic, func(eventlog.KeyedRecord) {}, budget, zerolog.Nop())
				running.Go(func() { _ = follower.Run(ctx) })
			}
			time.Sleep(5 * time.Second)
			reads.Store(0)
			time.Sleep(seconds * time.Second)
			perSecond := topics * reads.Load() / seconds
			assert.Assert(t, perSecond <= readsPerSecond/2, "%d nodes: %d reads per second", nodes, perSecond)
			cancel()
			running.Wait()
		})
	}
}
