package logrelay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// Guards against a node that loses the others of its zone while the log is unavailable for 8 s, and against nodes that
// stay live without announcements. The clock is virtual.
func TestLiveNodesOutlastAnOutageOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		one := NewDirectory(log, NodeInfo{Node: "n1", Address: "127.0.0.1:1", Zone: "z1"}, pacing.Limits{}, zerolog.Nop())
		two := NewDirectory(log, NodeInfo{Node: "n2", Address: "127.0.0.1:2", Zone: "z2"}, pacing.Limits{}, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = one.Run(ctx) })
		running.Go(func() { _ = two.Run(ctx) })
		both := []LiveNode{
			{Node: "n1", Address: "127.0.0.1:1", Zone: "z1"}, {Node: "n2", Address: "127.0.0.1:2", Zone: "z2"},
		}
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, one.LiveNodes(), both)
		log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		time.Sleep(8 * time.Second)
		assert.DeepEqual(t, one.LiveNodes(), both)
		time.Sleep(missedAnnouncements * announcePeriod)
		assert.DeepEqual(t, one.LiveNodes(), both[:1])
		cancel()
		running.Wait()
	})
}
