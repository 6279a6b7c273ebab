package scheduler

import (
	"github.com/corkpulley/corkpulley/internal/core/prefixcache"
)

// Weights scale the scores of an engine; each score is in [0, 1].
type Weights struct {
	// Prefix weighs the part of the prompt that the engine's cache holds.
	Prefix float64
	// Load weighs the room left by the work in flight.
	Load float64
	// Freshness weighs the newness of the engine's weight version.
	Freshness float64
}

// DefaultWeights are the weights of a zero Config.Weights.
var DefaultWeights = Weights{Prefix: 0.8, Load: 1, Freshness: 0.3}

// candidates are the engines left after filtering, with the ranges that scores
// are taken against.
type candidates struct {
	engines []*engineState
	// mostWork is the highest expected remaining work, in tokens.
	mostWork int
	// lowestVersion and highestVersion are of the item's model.
	lowestVersion  uint64
	highestVersion uint64
}

// measure fills in the ranges for an item's model.
func (c *candidates) measure(model string) {
	c.mostWork = 0
	c.lowestVersion = 0
	c.highestVersion = 0
	for position, candidate := range c.engines {
		c.mostWork = max(c.mostWork, candidate.work)
		version, _ := candidate.version(model)
		c.highestVersion = max(c.highestVersion, version)
		if position == 0 || version < c.lowestVersion {
			c.lowestVersion = version
		}
	}
}

// score returns the weighted sum of all scores of an engine for an entry.
func (w Weights) score(
	queued *entry, candidate *engineState, among *candidates, prefixes *prefixcache.Index,
) float64 {
	return w.Prefix*scorePrefix(queued, candidate, prefixes) +
		w.Load*scoreLoad(candidate, among) +
		w.Freshness*scoreFreshness(queued, candidate, among)
}

// scorePrefix is the part of the prompt's blocks that the engine is believed
// to hold, scaled by how far that belief is trusted.
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

// scoreLoad is 1 for an idle engine and falls with the expected remaining
// tokens of its work in flight, as a part of the busiest candidate's, and with
// the slots in use.
func scoreLoad(candidate *engineState, among *candidates) float64 {
	slotsFree := float64(candidate.free()) / float64(max(candidate.status.MaxBatch, 1))
	if among.mostWork == 0 {
		return slotsFree
	}
	workFree := 1 - float64(candidate.work)/float64(among.mostWork)
	return (slotsFree + workFree) / 2
}

// scoreFreshness is 1 for the newest version among the candidates and 0 for the oldest.
func scoreFreshness(queued *entry, candidate *engineState, among *candidates) float64 {
	if among.highestVersion == among.lowestVersion {
		return 0
	}
	version, _ := candidate.version(queued.item.Model)
	above := float64(version - among.lowestVersion)
	return above / float64(among.highestVersion-among.lowestVersion)
}
