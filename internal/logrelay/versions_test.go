package logrelay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestVersionsAreCurrentOnlyWhileReadsSucceed guards against a view that is considered current although failed
// reads made live nodes expire. The clock is virtual.
func TestVersionsAreCurrentOnlyWhileReadsSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New()
		own := NewDirectory(log, NodeInfo{Node: "own", Version: clusterversion.Announced}, pacing.Limits{}, zerolog.Nop())
		assert.Assert(t, !own.Versions().Known)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = own.Run(ctx) })
		announce := func(each member) {
			raw, err := msgpack.Marshal(&each)
			assert.NilError(t, err)
			_, err = log.Append(ctx, eventlog.Partition{Topic: directoryTopic}, [][]byte{raw})
			assert.NilError(t, err)
		}
		announce(member{Node: "oldest", TTL: 20 * time.Second})
		announce(member{Node: "older", Region: "north", TTL: time.Hour})
		time.Sleep(10 * time.Second)
		view := own.Versions()
		assert.Assert(t, view.Known && view.Current)
		assert.Equal(t, view.Lowest, clusterversion.Unversioned)
		assert.Equal(t, view.Highest, clusterversion.Announced)
		time.Sleep(20 * time.Second)
		assert.Equal(t, own.Versions().Lowest, clusterversion.Homes, "an expired node was counted")

		log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		time.Sleep(maxOwnAnnouncementAge)
		assert.Assert(t, !own.Versions().Current, "while reads fail")
		assert.Assert(t, !own.Versions().Known, "while reads fail")
		log.SetFault(nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, own.Versions().Current && own.Versions().Known)
		cancel()
		running.Wait()
	})
}
