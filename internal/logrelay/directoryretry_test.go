package logrelay

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestDirectoryBacksOffWhileTheLogRefusesCalls guards against starting nodes, whose read period is short, that keep
// overloading a log that refuses their calls.
func TestDirectoryBacksOffWhileTheLogRefusesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		announceNodes(t, log, 0, 300)
		var calls atomic.Int64
		log.SetFault(func(memlog.Call) memlog.Fault {
			calls.Add(1)
			return memlog.Refused
		})
		directory := NewDirectory(
			log, NodeInfo{Node: "own", Address: "127.0.0.1:9999", Zone: "z"}, pacing.Limits{ReadsPerSecond: 16_000}, zerolog.Nop(),
		)
		go func() { _ = directory.Run(t.Context()) }()
		time.Sleep(10 * time.Second)
		// At most an announcement and a read per second, after the first few.
		assert.Assert(t, calls.Load() <= 30, "%d calls", calls.Load())
		log.SetFault(nil)
		time.Sleep(4 * time.Second)
		assert.Equal(t, directory.Nodes(), 301)
	})
}
