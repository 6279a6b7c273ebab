package prefixcache

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

const engineID = "engine-1"

func TestMatchCountsLeadingBlocks(t *testing.T) {
	index := New(16)
	index.RecordSent(engineID, []uint64{1, 2, 3})
	assert.DeepEqual(t, index.Match(engineID, []uint64{1, 2, 9, 3}), Match{Blocks: 2, Trust: 1})
	assert.DeepEqual(t, index.Match("other", []uint64{1}), Match{Trust: 1})
}

func TestCacheEventsCorrectTheEstimate(t *testing.T) {
	index := New(16)
	index.RecordSent(engineID, []uint64{1, 2, 3})
	index.RecordEvicted(engineID, 1, []uint64{2})
	assert.Equal(t, index.Match(engineID, []uint64{1, 2, 3}).Blocks, 1)
	index.RecordStored(engineID, 2, []uint64{2})
	assert.Equal(t, index.Match(engineID, []uint64{1, 2, 3}).Blocks, 3)
}

func TestEventGapsLowerTrustThenClearTheIndex(t *testing.T) {
	index := New(16)
	index.RecordStored(engineID, 1, []uint64{1})
	index.RecordStored(engineID, 3, []uint64{2})
	assert.Equal(t, index.Match(engineID, []uint64{1}), Match{Blocks: 1, Trust: 0.5})
	index.RecordStored(engineID, 4, []uint64{3})
	assert.Assert(t, index.Match(engineID, []uint64{1}).Trust > 0.5)
	index.RecordStored(engineID, 9, []uint64{4})
	index.RecordStored(engineID, 19, []uint64{5})
	assert.Equal(t, index.Match(engineID, []uint64{1}), Match{Blocks: 0, Trust: 1})
	assert.Equal(t, index.Match(engineID, []uint64{5}).Blocks, 1)
}

func TestRestartedEventStreamClearsTheIndex(t *testing.T) {
	index := New(16)
	index.RecordStored(engineID, 7, []uint64{1})
	index.RecordStored(engineID, 1, []uint64{2})
	assert.Equal(t, index.Match(engineID, []uint64{1}).Blocks, 0)
	assert.Equal(t, index.Len(engineID), 1)
	index.Remove(engineID)
	assert.Equal(t, index.Len(engineID), 0)
}

func TestCapacityBoundsEntriesAndKeepsLeadingBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		index := New(capacity)
		prompts := rapid.SliceOfN(rapid.IntRange(1, 12), 1, 20).Draw(t, "prompts")
		for base, blocks := range prompts {
			hashes := make([]uint64, blocks)
			for block := range hashes {
				hashes[block] = uint64(base*100 + block)
			}
			index.RecordSent(engineID, hashes)
			assert.Assert(t, index.Len(engineID) <= capacity)
			assert.Equal(t, index.Match(engineID, hashes).Blocks, min(blocks, capacity))
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	index := New(DefaultCapacity)
	hashes := make([]uint64, 64)
	for block := range hashes {
		hashes[block] = uint64(block) * 0x9e3779b97f4a7c15
	}
	index.RecordSent(engineID, hashes)
	for b.Loop() {
		index.Match(engineID, hashes)
	}
}
