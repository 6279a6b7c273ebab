package scheduler

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/engine"
)

const (
	// defaultExpectedTokens is used if the expected length is unknown.
	defaultExpectedTokens = 256
	// minimumRemainingTokens is the lower bound of a running request's estimate.
	minimumRemainingTokens = 16
	// A request beyond its expected length is estimated to generate another
	// 1/overrunDivisor of its tokens so far, as lengths are heavy-tailed.
	overrunDivisor = 4
)

// Item is a request to be scheduled on an engine.
type Item struct {
	// ID is unique among the queued and running items of a cell.
	ID      string
	Service string
	Model   string
	// MinVersion is the lowest version of Model that may run the item; 0 accepts any.
	MinVersion uint64
	// Prompt is used only to compute prefix hashes.
	Prompt string
	// Live marks an item of a live service. Items of trainers may not use the
	// reserved slots.
	Live bool
	// Priority is the priority class, 0..9; higher classes are served first.
	Priority int
	// Share is the weight of the service within its class, 1..1000.
	Share int
	// Cap bounds the service's requests in flight in this cell; 0 for no cap.
	Cap int
	// ExpectedTokens is the number of tokens still to be generated; 0 if unknown.
	ExpectedTokens int
	// Urgent moves the item ahead of others of its service.
	Urgent bool
	// Deadline is when the item expires if it is still queued.
	Deadline time.Time
	// Requeued marks an item queued again after its engine or previous dispatcher
	// failed. It precedes others of its service and is exempt from queue limits.
	Requeued bool
	// Excluded lists the IDs of engines that refused the item.
	Excluded []string
}

// Assignment is an item that the caller must send to an engine.
type Assignment struct {
	Item     Item
	EngineID string
	// Version is the version of the item's model last reported by the engine.
	Version uint64
	// Waited is the time that the item spent in the queue.
	Waited time.Duration
}

// Expired is an item whose deadline passed while it was queued.
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
	// laneIndex and deadlineIndex are the heap positions of a queued entry.
	laneIndex     int
	deadlineIndex int
	// hashes caches the prompt's prefix hashes by version.
	hashes map[uint64][]uint64
	// engineID and remainingTokens are set while running.
	engineID        string
	remainingTokens int
}

// expectedTokens returns the expected length, at least 1.
func (e *entry) expectedTokens() int {
	if e.item.ExpectedTokens > 0 {
		return e.item.ExpectedTokens
	}
	return defaultExpectedTokens
}

// prefixHashes returns the prompt's prefix hashes for a model version.
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

// remainingAfter returns the expected remaining tokens after generated tokens.
func (e *entry) remainingAfter(generated int) int {
	remaining := e.expectedTokens() - generated
	return max(remaining, generated/overrunDivisor, minimumRemainingTokens)
}
