// Package prefixcache keeps, for each engine of a cell, an estimate of the
// prompt prefixes that its cache holds. The estimate is updated when a request
// is sent and corrected by the engine's cache events, which come late and with
// gaps. It has no input, output, clock or goroutines; the caller locks.
//
// The index is a hint: a wrong entry costs a computed prefix, never a promise.
package prefixcache

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// DefaultCapacity is the number of prefix hashes kept for each engine.
	DefaultCapacity = 16384
	// gapTrustFactor scales an engine's trust at each gap in its events.
	gapTrustFactor = 0.5
	// clearTrust is the trust below which an engine's entries are dropped: an
	// empty index is only incomplete, a distrusted one is misleading.
	clearTrust = 0.2
	// trustRecovery is the part of the lost trust that an event in sequence restores.
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
	// sequence is the number of the last cache event; valid once seen is set.
	sequence uint64
	seen     bool
	// trust is in (0, 1]: how far the entries are believed.
	trust float64
}

// Match tells how much of a prompt an engine is believed to hold.
type Match struct {
	// Blocks counts the leading prompt blocks that are indexed.
	Blocks int
	// Trust is how far the index of this engine is believed, in (0, 1].
	Trust float64
}

// New returns an empty index that keeps at most capacity hashes for each
// engine; a capacity below 1 takes DefaultCapacity.
func New(capacity int) *Index {
	if capacity < 1 {
		capacity = DefaultCapacity
	}
	return &Index{capacity: capacity, engines: make(map[string]*engineIndex)}
}

// Sent records that a prompt with these prefix hashes was sent to the engine,
// which will hold them once it has read the prompt.
func (x *Index) Sent(engineID string, hashes []uint64) {
	x.engine(engineID).add(hashes)
}

// Stored records a cache event: the engine stored the prefixes. Sequence is
// the event's number.
func (x *Index) Stored(engineID string, sequence uint64, hashes []uint64) {
	entry := x.engine(engineID)
	entry.follow(sequence)
	entry.add(hashes)
}

// Evicted records a cache event: the engine dropped the prefixes.
func (x *Index) Evicted(engineID string, sequence uint64, hashes []uint64) {
	entry := x.engine(engineID)
	entry.follow(sequence)
	for _, hash := range hashes {
		entry.prefixes.Remove(hash)
	}
}

// Remove forgets an engine: it left, or it started anew with an empty cache.
func (x *Index) Remove(engineID string) { delete(x.engines, engineID) }

// Match returns how many leading blocks of a prompt the engine is believed to
// hold. The hashes are those of engine.PrefixHashes, in order.
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
		// The library fails only for a size below 1, which New excludes.
		panic(err)
	}
	return &engineIndex{prefixes: prefixes, trust: 1}
}

// add inserts the hashes last block first, so that the least recently used
// entry is always the deepest one: a prefix outlives what extends it.
func (e *engineIndex) add(hashes []uint64) {
	for block := len(hashes) - 1; block >= 0; block-- {
		e.prefixes.Add(hashes[block], struct{}{})
	}
}

// follow checks an event's number against the last one. A number that does not
// rise tells of a restarted event stream, a jump tells of lost events.
func (e *engineIndex) follow(sequence uint64) {
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
		e.distrust()
	}
}

func (e *engineIndex) distrust() {
	e.trust *= gapTrustFactor
	if e.trust < clearTrust {
		e.clear()
	}
}

func (e *engineIndex) clear() {
	e.prefixes.Purge()
	e.trust = 1
}
