package logrelay

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestBootstrapFindsAllNodesAfterPartialRestart guards against a bootstrap that ends early, because restarted nodes
// announce themselves more often than the others: the new node would then choose wrong replicas.
func TestBootstrapFindsAllNodesAfterPartialRestart(t *testing.T) {
	const tenths = 10
	for _, test := range []struct {
		nodes, periodTenths, restartedZones int
	}{
		{300, 9*tenths + 5, 1}, {985, 30 * tenths, 1}, {300, 9*tenths + 5, 3}, {985, 30 * tenths, 3},
	} {
		log := memlog.New()
		announce := func(number int) {
			directory := NewDirectory(log, testNodeInfo(number), testLimits, zerolog.Nop())
			assert.NilError(t, directory.announce(t.Context(), maxAnnouncePeriod))
		}
		// Times are in tenths of a second before the new node starts.
		for untilStart := 10 * test.periodTenths; untilStart > 0; untilStart-- {
			for number := range test.nodes {
				hasRestarted := number%6 < test.restartedZones
				switch {
				case hasRestarted && untilStart <= 6*tenths:
					if untilStart == 6*tenths || untilStart == tenths {
						announce(number)
					}
				case (untilStart+number*7919)%test.periodTenths == 0:
					announce(number)
				}
			}
		}
		directory := NewDirectory(log, NodeInfo{Node: "own", Address: "10.1.0.1:7000", Zone: "zone-5"}, testLimits, zerolog.Nop())
		assert.Assert(t, directory.read(t.Context()))
		assert.Assert(t, directory.Nodes() >= test.nodes*97/100, "%d of %+v", directory.Nodes(), test)
	}
}
