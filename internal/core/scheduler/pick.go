package scheduler

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// pickHighest returns the engine with the highest score. Ties are broken by a hash
// of seed, item and engine, which is deterministic and spreads items over engines.
func pickHighest(engines []*engineState, scores []float64, seed uint64, itemID string) *engineState {
	best := 0
	var bestHash uint64
	hashed := false
	for position := 1; position < len(engines); position++ {
		switch {
		case scores[position] > scores[best]:
			best = position
			hashed = false
		case scores[position] == scores[best]:
			if !hashed {
				bestHash = tieBreakHash(seed, itemID, engines[best].id)
				hashed = true
			}
			if hash := tieBreakHash(seed, itemID, engines[position].id); hash > bestHash {
				best = position
				bestHash = hash
			}
		}
	}
	return engines[best]
}

func tieBreakHash(seed uint64, itemID, engineID string) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], seed)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(itemID)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(engineID)
	return digest.Sum64()
}

// pickNext returns the engine that follows last in ID order, wrapping around.
// Engines must be sorted by ID.
func pickNext(engines []*engineState, last string) *engineState {
	for _, candidate := range engines {
		if candidate.id > last {
			return candidate
		}
	}
	return engines[0]
}

// pickLeastReported returns the engine with the lowest reported load per slot, the
// first of equals.
func pickLeastReported(engines []*engineState) *engineState {
	best := engines[0]
	for _, candidate := range engines[1:] {
		if reportedLoadPerSlot(candidate) < reportedLoadPerSlot(best) {
			best = candidate
		}
	}
	return best
}

func reportedLoadPerSlot(candidate *engineState) float64 {
	return float64(candidate.reportedLoad()) / float64(max(candidate.status.MaxBatch, 1))
}
