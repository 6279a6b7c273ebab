package scheduler

import (
	"github.com/corkpulley/corkpulley/internal/core/prefixcache"
)

// Weights are the factors of an engine's scores, each of which is in [0, 1].
type Weights struct {
	// Prefix is the factor for the share of the prompt in the engine's cache.
	Prefix float64
	// Load is the factor for free capacity.
	Load float64
	// Freshness is the factor for the recency of the engine's weight version.
	Freshness float64
}

// DefaultWeights replaces a zero Config.Weights.
var DefaultWeights = Weights{Prefix: 0.8, Load: 1, Freshness: 0.3}

// candidates are the engines left after filtering and the value ranges by which
// scores are normalized.
type candidates struct {
	engines []*engineState
	// maxRemainingTokens is the maximum of the engines' totalRemaining.
	maxRemainingTokens int
	// lowestVersion and highestVersion are versions of the item's model.
	lowestVersion  uint64
	highestVersion uint64
}

// computeRanges sets the ranges for an item of the model.
func (c *candidates) computeRanges(model string) {
	c.maxRemainingTokens = 0
	c.lowestVersion = 0
	c.highestVersion = 0
	for position, candidate := range c.engines {
		c.maxRemainingTokens = max(c.maxRemainingTokens, candidate.totalRemaining)
		version, _ := candidate.version(model)
		c.highestVersion = max(c.highestVersion, version)
		if position == 0 || version < c.lowestVersion {
			c.lowestVersion = version
		}
	}
}

// score returns the weighted sum of an engine's scores for an entry.
func (w Weights) score(
	queued *entry, candidate *engineState, eligible *candidates, prefixes *prefixcache.Index,
) float64 {
	return w.Prefix*scorePrefix(queued, candidate, prefixes) +
		w.Load*scoreLoad(candidate, eligible) +
		w.Freshness*scoreFreshness(queued, candidate, eligible)
}

// scorePrefix is the share of the prompt's blocks that the engine is expected to
// have cached, scaled by the confidence in that estimate.
func scorePrefix(queued *entry, candidate *engineState, prefixes *prefixcache.Index) float64 {
	if prefixes == nil {
		return 0
	}
	version, _ := candidate.version(queued.item.Model)
	hashes := queued.prefixHashes(version)
	if len(hashes) == 0 {
		return 0
	}
	match := prefixes.Match(candidate.id, hashes)
	return match.Trust * float64(match.Blocks) / float64(len(hashes))
}

// scoreLoad is 1 for an idle engine and decreases with the slots in use and with
// the expected remaining tokens relative to the busiest candidate.
func scoreLoad(candidate *engineState, eligible *candidates) float64 {
	freeSlots := float64(candidate.free()) / float64(max(candidate.status.MaxBatch, 1))
	if eligible.maxRemainingTokens == 0 {
		return freeSlots
	}
	freeTokens := 1 - float64(candidate.totalRemaining)/float64(eligible.maxRemainingTokens)
	return (freeSlots + freeTokens) / 2
}

// scoreFreshness is 1 for the newest version among the candidates, 0 for the oldest,
// and 0 for all if their versions are equal.
func scoreFreshness(queued *entry, candidate *engineState, eligible *candidates) float64 {
	if eligible.highestVersion == eligible.lowestVersion {
		return 0
	}
	version, _ := candidate.version(queued.item.Model)
	above := float64(version - eligible.lowestVersion)
	return above / float64(eligible.highestVersion-eligible.lowestVersion)
}
