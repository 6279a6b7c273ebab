package logstream

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against snapshots of a large state that outweigh its records: without MaxSnapshotInterval one is due after
// SnapshotEvery records, with it after up to MaxSnapshotInterval.
func TestMaxSnapshotIntervalDefersLargeSnapshots(t *testing.T) {
	const records = 120
	for _, test := range []struct {
		name        string
		stateBytes  int
		maxInterval int64
		snapshots   []int64
	}{
		{"by records", snapshotPartBytes, 0, []int64{10, 20, 30}},
		{"small state", 1, 30, []int64{10, 20, 30}},
		{"large state", snapshotPartBytes, 30, []int64{10, 40, 70}},
	} {
		t.Run(test.name, func(t *testing.T) {
			stream := &TailedStream{
				manager:    newFixture(t).manager(t, "a"),
				reducer:    &recordingReducer{Accepted: []string{strings.Repeat("x", test.stateBytes)}},
				options:    StreamOptions{SnapshotEvery: 10, MaxSnapshotInterval: test.maxInterval},
				writer:     "a",
				references: 1,
				wake:       make(chan struct{}, 1),
			}
			var written []int64
			for range records {
				stream.applied++
				stream.bytesSinceSnapshot += 100
				stream.acceptedSinceSnapshot = true
				before := stream.lastSnapshotOffset
				stream.queueSnapshot()
				if stream.lastSnapshotOffset != before {
					written = append(written, stream.lastSnapshotOffset)
				}
			}
			assert.DeepEqual(t, written[:len(test.snapshots)], test.snapshots)
		})
	}
}
