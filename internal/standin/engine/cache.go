package engine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// tokensPerBlock is the number of tokens that one cached prefix block holds.
const tokensPerBlock = engine.PrefixBlockBytes / engine.BytesPerToken

// prefixCache keeps the most recently used prompt blocks. The owner locks it.
type prefixCache struct {
	blocks  *simplelru.LRU[uint64, struct{}]
	limit   int
	evicted []uint64
}

func newPrefixCache(capacityTokens int) *prefixCache {
	cache := &prefixCache{limit: max(1, capacityTokens/tokensPerBlock)}
	onEvict := func(hash uint64, _ struct{}) { cache.evicted = append(cache.evicted, hash) }
	// The only error of NewLRU is a size below one.
	cache.blocks, _ = simplelru.NewLRU[uint64, struct{}](cache.limit, onEvict)
	return cache
}

// touch looks the blocks of a prompt up and stores those that are missing. It
// returns the length in tokens of the longest prefix that was there, and the
// blocks stored and evicted.
func (c *prefixCache) touch(hashes []uint64) (cachedTokens int, stored, evicted []uint64) {
	c.evicted = nil
	cached := 0
	for cached < len(hashes) && c.blocks.Contains(hashes[cached]) {
		cached++
	}
	// Later blocks are touched first, so that a prefix outlives what extends it.
	kept := hashes[:min(len(hashes), c.limit)]
	for index := len(kept) - 1; index >= 0; index-- {
		if !c.blocks.Contains(kept[index]) {
			stored = append(stored, kept[index])
		}
		c.blocks.Add(kept[index], struct{}{})
	}
	return cached * tokensPerBlock, stored, c.evicted
}

// tokens returns the tokens held.
func (c *prefixCache) tokens() int { return c.blocks.Len() * tokensPerBlock }
