package engine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// tokensPerBlock is the number of tokens in a cached prefix block.
const tokensPerBlock = engine.PrefixBlockBytes / engine.BytesPerToken

// prefixCache is an LRU cache of prompt blocks. It is not safe for concurrent use.
type prefixCache struct {
	blocks  *simplelru.LRU[uint64, struct{}]
	limit   int
	evicted []uint64
}

func newPrefixCache(capacityTokens int) *prefixCache {
	cache := &prefixCache{limit: max(1, capacityTokens/tokensPerBlock)}
	onEvict := func(hash uint64, _ struct{}) { cache.evicted = append(cache.evicted, hash) }
	// NewLRU fails only for a size below one.
	cache.blocks, _ = simplelru.NewLRU[uint64, struct{}](cache.limit, onEvict)
	return cache
}

// lookupAndStore looks up the blocks of a prompt and stores the missing ones. It returns the length in tokens
// of the longest cached prefix, and the blocks stored and evicted.
func (c *prefixCache) lookupAndStore(hashes []uint64) (cachedTokens int, stored, evicted []uint64) {
	c.evicted = nil
	cached := 0
	for cached < len(hashes) && c.blocks.Contains(hashes[cached]) {
		cached++
	}
	// Later blocks are added first, so that a prefix is evicted after its extensions.
	kept := hashes[:min(len(hashes), c.limit)]
	for index := len(kept) - 1; index >= 0; index-- {
		if !c.blocks.Contains(kept[index]) {
			stored = append(stored, kept[index])
		}
		c.blocks.Add(kept[index], struct{}{})
	}
	return cached * tokensPerBlock, stored, c.evicted
}

// cachedTokens returns the number of tokens in the cache.
func (c *prefixCache) cachedTokens() int { return c.blocks.Len() * tokensPerBlock }
