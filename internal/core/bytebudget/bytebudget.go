// Package bytebudget counts the bytes that a node holds for others, callers and engines, and bounds them
// together. What is new is refused before it is taken; what is under way may pass the bound, and keeps new work
// out for as long as it does. It has no input, output or clock.
package bytebudget

import "sync"

// Kind is what bytes are held for.
type Kind uint8

// The kinds.
const (
	// Bodies are bodies of requests and of batch jobs that callers send.
	Bodies Kind = iota
	// Answers are answers of engines that callers have not taken yet.
	Answers
	// Results are results and bodies of batch jobs that callers have asked for.
	Results
	kindCount
)

var kindNames = [kindCount]string{Bodies: "bodies", Answers: "answers", Results: "results"}

// String returns the kind as it stands in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns every kind.
func Kinds() []Kind { return []Kind{Bodies, Answers, Results} }

// newShare is one in how many bytes of the budget each kind may take of what is new, so that those who submit
// cannot keep out those who read, nor the other way round.
const newShare = 2

// Budget bounds the bytes held. A nil one bounds nothing. It is safe for concurrent use.
//
// Invariant: Reserve succeeds only while the sum of all kinds is within the limit afterwards, or nothing is held.
type Budget struct {
	limit int64

	mu    sync.Mutex
	held  [kindCount]int64
	total int64
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes bytes of a kind that may still be refused, and tells whether they fit. Bytes that are more than
// the whole budget fit where nothing else is held.
func (b *Budget) Reserve(kind Kind, bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	fits := b.total+bytes <= b.limit && b.held[kind]+bytes <= b.limit/newShare
	if !fits && b.total > 0 {
		return false
	}
	b.add(kind, bytes)
	return true
}

// Take takes bytes of a kind that are there already and have to be delivered.
func (b *Budget) Take(kind Kind, bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(kind, bytes)
}

// Release gives bytes back.
func (b *Budget) Release(kind Kind, bytes int64) { b.Take(kind, -bytes) }

// Held returns the bytes held of a kind.
func (b *Budget) Held(kind Kind) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[kind]
}

// IsShort tells whether more is held than the budget has.
func (b *Budget) IsShort() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total > b.limit
}

// add changes what is held; mu is held.
func (b *Budget) add(kind Kind, bytes int64) {
	b.held[kind] += bytes
	b.total += bytes
}
