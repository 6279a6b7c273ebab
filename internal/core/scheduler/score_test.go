package scheduler

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/prefixcache"
)

func TestScorePrefixIsShareOfMatchedBlocks(t *testing.T) {
	prefixes := prefixcache.New(64)
	queued := &entry{item: Item{Model: testModel, Prompt: strings.Repeat("a", 256)}}
	candidate := servingEngine("a", 3, 2)
	assert.Equal(t, scorePrefix(queued, candidate, nil), 0.0)
	assert.Equal(t, scorePrefix(queued, candidate, prefixes), 0.0)
	prefixes.RecordSent("a", queued.prefixHashes(3)[:2])
	assert.Equal(t, scorePrefix(queued, candidate, prefixes), 0.5)
	candidate.status.Models[0].Version = 4
	assert.Equal(t, scorePrefix(queued, candidate, prefixes), 0.0)
}

func TestScoreLoadAndFreshness(t *testing.T) {
	idle := servingEngine("a", 3, 2)
	busy := servingEngine("b", 5, 2)
	busy.start(&entry{item: Item{ID: "r", ExpectedTokens: 100}})
	eligible := &candidates{engines: []*engineState{idle, busy}}
	eligible.computeRanges(testModel)
	queued := &entry{item: Item{Model: testModel}}
	assert.Equal(t, scoreLoad(idle, eligible), 1.0)
	assert.Equal(t, scoreLoad(busy, eligible), 0.25)
	assert.Equal(t, scoreFreshness(queued, idle, eligible), 0.0)
	assert.Equal(t, scoreFreshness(queued, busy, eligible), 1.0)
}

func TestRemainingAfter(t *testing.T) {
	running := &entry{item: Item{ExpectedTokens: 100}}
	assert.Equal(t, running.remainingAfter(60), 40)
	assert.Equal(t, running.remainingAfter(400), 100)
	assert.Equal(t, running.remainingAfter(99), 24)
	assert.Equal(t, (&entry{}).remainingAfter(0), defaultExpectedTokens)
}
