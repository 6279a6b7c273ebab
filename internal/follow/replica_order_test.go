package follow

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// TestReadReturnsNewestRecordsInOffsetOrder guards against records missing, obsolete or out of order in a read from
// any offset.
func TestReadReturnsNewestRecordsInOffsetOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := newReplica()
		newest := make(map[string]eventlog.KeyedRecord)
		offset := int64(0)
		for range rapid.IntRange(1, 3000).Draw(t, "records") {
			key := fmt.Sprint("k", rapid.IntRange(0, 20).Draw(t, "key"))
			value := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "value")
			if _, found := newest[key]; !found && value == "" {
				continue
			}
			newest[key] = record(key, value, offset)
			replica.put(newest[key], "")
			offset++
		}
		replica.advance(offset, boottime.Now())
		from := rapid.Int64Range(0, offset).Draw(t, "from")
		var expected []eventlog.KeyedRecord
		for _, each := range newest {
			if each.Offset >= from {
				expected = append(expected, each)
			}
		}
		slices.SortFunc(expected, func(a, b eventlog.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
		batch, err := replica.readFrom(from, nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, batch.Records, expected)
		assert.Assert(t, len(replica.positions) <= 2*len(replica.records)+maxObsoletePositions+1)
	})
}

// TestMissedRecordIsInsertedInOffsetOrder covers a full read that returns a record after newer ones were handled.
func TestMissedRecordIsInsertedInOffsetOrder(t *testing.T) {
	replica := newReplica()
	replica.put(record("b", "1", 1), "")
	replica.put(record("c", "1", 2), "")
	replica.put(record("a", "1", 0), "")
	replica.put(record("a", "1", 0), "")
	replica.advance(3, boottime.Now())
	batch, err := replica.readFrom(0, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 3)
	assert.Equal(t, batch.Records[0].Key, "a")
}
