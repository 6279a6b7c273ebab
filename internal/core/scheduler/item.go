package scheduler

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/engine"
)

const (
	// defaultExpectedTokens stands in for an unknown answer length.
	defaultExpectedTokens = 256
	// minimumRemainingTokens is the least work that a running request counts for.
	minimumRemainingTokens = 16
	// overrunFraction: an answer that outgrew its expected length is expected
	// to go on for this part of what it has (lengths have a heavy tail).
	overrunFraction = 4
)

// Item is one request that waits for an engine.
type Item struct {
	// ID is unique among the queued and running items of a cell.
	ID      string
	Service string
	Model   string
	// MinVersion of Model that may run the item; 0 accepts any.
	MinVersion uint64
	// Prompt is read for its prefix hashes only.
	Prompt string
	// Live marks a live service; others are trainers, which may not take the
	// reserved slots.
	Live bool
	// Priority 0..9; a higher class is served first.
	Priority int
	// Share 1..1000 is the weight of the service inside its class.
	Share int
	// Cap bounds the service's requests in flight in this cell; 0 for no cap.
	Cap int
	// ExpectedTokens still to be generated; 0 when unknown.
	ExpectedTokens int
	// Urgent raises the item among those of its own service.
	Urgent bool
	// Deadline ends the wait in the queue.
	Deadline time.Time
	// Requeued marks an item that waits again after its engine or its former
	// dispatcher failed: it goes first in its service and a full queue does not
	// refuse it.
	Requeued bool
	// Excluded engines refused the item before; they are not asked again.
	Excluded []string
}

// Assignment tells the caller to send an item to an engine now.
type Assignment struct {
	Item     Item
	EngineID string
	// Version of the item's model that the engine last reported.
	Version uint64
	// Waited is the time that the item spent in the queue.
	Waited time.Duration
}

// Expired is an item that was given up on while it was queued.
type Expired struct {
	Item Item
	Err  *errkind.Error
}

// entry is an item inside the cell, queued or running.
type entry struct {
	item     Item
	sequence uint64
	enqueued time.Time
	flow     *flow
	lane     *lane
	// laneIndex and deadlineIndex are positions in the two heaps while queued.
	laneIndex     int
	deadlineIndex int
	// hashes caches the prompt's prefix hashes by version.
	hashes map[uint64][]uint64
	// engineID and remaining are set while running.
	engineID  string
	remaining int
}

// expectedTokens returns the expected length, never below 1.
func (e *entry) expectedTokens() int {
	if e.item.ExpectedTokens > 0 {
		return e.item.ExpectedTokens
	}
	return defaultExpectedTokens
}

// prefixHashes returns the prompt's prefix hashes under a version.
func (e *entry) prefixHashes(version uint64) []uint64 {
	if hashes, ok := e.hashes[version]; ok {
		return hashes
	}
	hashes := engine.PrefixHashes(e.item.Model, version, e.item.Prompt)
	if e.hashes == nil {
		e.hashes = make(map[uint64][]uint64, 1)
	}
	e.hashes[version] = hashes
	return hashes
}

// remainingAfter returns the expected work left once so many tokens came.
func (e *entry) remainingAfter(generated int) int {
	remaining := e.expectedTokens() - generated
	return max(remaining, generated/overrunFraction, minimumRemainingTokens)
}
