// Package prefixcache estimates, for each engine of a cell, which prompt prefixes its cache holds. The
// estimate is updated when a request is sent, and corrected by the engine's cache events, which may
// be late or lost. It performs no I/O, reads no clock and is not safe for concurrent use.
//
// The index is a hint: a wrong entry costs the recomputation of a prefix, never correctness.
package prefixcache

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// DefaultCapacity is the default number of prefix hashes kept per engine.
	DefaultCapacity = 16384
	// gapTrustFactor is the factor applied to an engine's trust at each gap in its events.
	gapTrustFactor = 0.5
	// clearTrust is the trust below which an engine's entries are dropped, since an outdated entry
	// misdirects requests and a missing one does not.
	clearTrust = 0.2
	// trustRecovery is the fraction of the lost trust that each event in sequence restores.
	trustRecovery = 0.05
)

// Index holds the prefix hashes of the engines of one cell.
type Index struct {
	capacity int
	engines  map[string]*engineIndex
}

// engineIndex is the estimate for one engine.
type engineIndex struct {
	prefixes *lru.Cache[uint64, struct{}]
	// sequence is the number of the last cache event; valid only if seen is true.
	sequence uint64
	seen     bool
	// trust is the confidence in the entries, in (0, 1].
	trust float64
}

// Match is the estimate of how much of a prompt an engine's cache holds.
type Match struct {
	// Blocks is the number of leading prompt blocks in the index.
	Blocks int
	// Trust is the confidence in the engine's index, in (0, 1].
	Trust float64
}

// New returns an empty index that keeps at most capacity hashes per engine; a capacity below 1
// selects DefaultCapacity.
func New(capacity int) *Index {
	if capacity < 1 {
		capacity = DefaultCapacity
	}
	return &Index{capacity: capacity, engines: make(map[string]*engineIndex)}
}

// RecordSent records that a prompt with these prefix hashes was sent to the engine, which caches the prefixes
// when it processes the prompt.
func (x *Index) RecordSent(engineID string, hashes []uint64) {
	x.engine(engineID).add(hashes)
}

// RecordStored records a cache event: the engine stored the prefixes. The sequence is the event's number.
func (x *Index) RecordStored(engineID string, sequence uint64, hashes []uint64) {
	entry := x.engine(engineID)
	entry.observeSequence(sequence)
	entry.add(hashes)
}

// RecordEvicted records a cache event: the engine evicted the prefixes.
func (x *Index) RecordEvicted(engineID string, sequence uint64, hashes []uint64) {
	entry := x.engine(engineID)
	entry.observeSequence(sequence)
	for _, hash := range hashes {
		entry.prefixes.Remove(hash)
	}
}

// Remove drops an engine that left or restarted with an empty cache.
func (x *Index) Remove(engineID string) { delete(x.engines, engineID) }

// Match returns how many leading blocks of a prompt the engine's cache is estimated to hold. The
// hashes are those of engine.PrefixHashes, in order.
func (x *Index) Match(engineID string, hashes []uint64) Match {
	entry, ok := x.engines[engineID]
	if !ok {
		return Match{Trust: 1}
	}
	blocks := 0
	for blocks < len(hashes) && entry.prefixes.Contains(hashes[blocks]) {
		blocks++
	}
	return Match{Blocks: blocks, Trust: entry.trust}
}

// Len returns the number of hashes kept for an engine.
func (x *Index) Len(engineID string) int {
	entry, ok := x.engines[engineID]
	if !ok {
		return 0
	}
	return entry.prefixes.Len()
}

func (x *Index) engine(engineID string) *engineIndex {
	entry, ok := x.engines[engineID]
	if !ok {
		entry = newEngineIndex(x.capacity)
		x.engines[engineID] = entry
	}
	return entry
}

func newEngineIndex(capacity int) *engineIndex {
	prefixes, err := lru.New[uint64, struct{}](capacity)
	if err != nil {
		// lru.New fails only for a size below 1, which New excludes.
		panic(err)
	}
	return &engineIndex{prefixes: prefixes, trust: 1}
}

// add inserts the hashes in reverse order, so that a prefix is always used more recently than its
// extensions, which are evicted first.
func (e *engineIndex) add(hashes []uint64) {
	for block := len(hashes) - 1; block >= 0; block-- {
		e.prefixes.Add(hashes[block], struct{}{})
	}
}

// observeSequence compares an event's number with the last one. A number that does not increase
// indicates a restarted event stream, a gap indicates lost events.
func (e *engineIndex) observeSequence(sequence uint64) {
	inOrder := !e.seen || sequence == e.sequence+1
	restarted := e.seen && sequence <= e.sequence
	e.seen = true
	e.sequence = sequence
	switch {
	case restarted:
		e.clear()
	case inOrder:
		e.trust += (1 - e.trust) * trustRecovery
	default:
		e.recordGap()
	}
}

func (e *engineIndex) recordGap() {
	e.trust *= gapTrustFactor
	if e.trust < clearTrust {
		e.clear()
	}
}

func (e *engineIndex) clear() {
	e.prefixes.Purge()
	e.trust = 1
}
