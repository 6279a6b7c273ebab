package logrelay

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// announceNodes appends an announcement of each node from..to-1.
func announceNodes(t *testing.T, log *memlog.Log, from, to int) {
	t.Helper()
	for number := from; number < to; number++ {
		self := NodeInfo{Node: fmt.Sprint("n", number), Address: fmt.Sprint("127.0.0.1:", number+1), Zone: "z"}
		assert.NilError(t, NewDirectory(log, self, pacing.Limits{}, zerolog.Nop()).announce(t.Context(), time.Minute))
	}
}

// TestDirectorySettlesOnceItStopsGrowing guards against a starting node that takes the first nodes it reads for the
// whole cluster.
func TestDirectorySettlesOnceItStopsGrowing(t *testing.T) {
	log := memlog.New()
	directory := NewDirectory(log, NodeInfo{Node: "own", Address: "127.0.0.1:9999", Zone: "z"}, pacing.Limits{}, zerolog.Nop())
	readOnce := func() bool {
		assert.Assert(t, directory.read(t.Context()))
		directory.chooseReplicas()
		return directory.isSettled()
	}
	assert.Assert(t, !readOnce(), "a single read is not enough")
	listed := 0
	for _, nodes := range []int{40, 90, 150, 190} {
		announceNodes(t, log, listed, nodes)
		listed = nodes
		assert.Assert(t, !readOnce(), "%d nodes", nodes)
	}
	announceNodes(t, log, listed, listed+3)
	assert.Assert(t, readOnce())
	assert.Assert(t, len(directory.Sources()) > 0 || directory.IsReplica())
}

// TestSmallDirectorySettlesWithSecondRead guards against a needless wait at the start in a small cluster.
func TestSmallDirectorySettlesWithSecondRead(t *testing.T) {
	log := memlog.New()
	announceNodes(t, log, 0, 9)
	directory := NewDirectory(log, NodeInfo{Node: "n0", Address: "127.0.0.1:1", Zone: "z"}, pacing.Limits{}, zerolog.Nop())
	for range 2 {
		assert.Assert(t, directory.read(t.Context()))
		directory.chooseReplicas()
	}
	assert.Assert(t, directory.isSettled())
	assert.Equal(t, len(directory.Sources()), 0)
}
