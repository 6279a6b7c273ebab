package logrelay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestAnnouncementStaysValidUntilTheNextOne guards against a starting node of a large cluster whose first announcement
// expires before the next one, because its announcement period grows as it learns of other nodes. The clock is virtual.
func TestAnnouncementStaysValidUntilTheNextOne(t *testing.T) {
	for _, nodes := range []int{3, 300, 600} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := memlog.New()
				const readsPerSecond = 2000
				own := NewDirectory(log, NodeInfo{Node: "own", Address: "127.0.0.1:9999", Zone: "z"}, pacing.Limits{ReadsPerSecond: readsPerSecond}, zerolog.Nop())
				reader := NewDirectory(log, NodeInfo{Node: "reader", Address: "127.0.0.1:9998", Zone: "z"}, pacing.Limits{ReadsPerSecond: readsPerSecond}, zerolog.Nop())
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = own.Run(ctx) })
				time.Sleep(time.Second)
				announceNodes(t, log, 0, nodes)
				for range 120 {
					time.Sleep(time.Second)
					assert.Assert(t, reader.read(ctx))
					assert.Assert(t, reader.AddressOf("own") != "", "its announcement has expired")
				}
				cancel()
				running.Wait()
			})
		})
	}
}
