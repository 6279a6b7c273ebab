// Package bytebudget bounds the memory that a node holds for callers and engines. New work is rejected if it
// would exceed the budget; work in progress may exceed it. It has no input, output or clock.
package bytebudget

import "sync"

// Kind is the purpose of held bytes.
type Kind uint8

const (
	// Bodies are request and batch job bodies from callers.
	Bodies Kind = iota
	// Answers are engine responses that callers have not read yet.
	Answers
	// Results are responses about batch jobs, which hold results or bodies of jobs.
	Results
	kindCount
)

var kindNames = [kindCount]string{Bodies: "bodies", Answers: "answers", Results: "results"}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

func Kinds() []Kind { return []Kind{Bodies, Answers, Results} }

// kindDivisor limits the reservations of one kind to limit/kindDivisor, so that callers that submit work and
// callers that read results cannot starve each other.
const kindDivisor = 2

// Budget bounds the held bytes. A nil Budget is unlimited. It is safe for concurrent use.
//
// Invariant: Reserve succeeds only if the total is within the limit afterwards, or nothing was held before.
type Budget struct {
	limit int64

	mu    sync.Mutex
	held  [kindCount]int64
	total int64
}

// New returns a budget of the given number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves bytes for new work and reports whether they fit. More than the whole budget fits if nothing
// else is held.
func (b *Budget) Reserve(kind Kind, bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	fits := b.total+bytes <= b.limit && b.held[kind]+bytes <= b.limit/kindDivisor
	if !fits && b.total > 0 {
		return false
	}
	b.add(kind, bytes)
	return true
}

// ForceReserve adds bytes held by work in progress, even above the budget.
func (b *Budget) ForceReserve(kind Kind, bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(kind, bytes)
}

// Release returns bytes to the budget.
func (b *Budget) Release(kind Kind, bytes int64) { b.ForceReserve(kind, -bytes) }

// Held returns the bytes held of a kind.
func (b *Budget) Held(kind Kind) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[kind]
}

// IsExceeded reports whether the held bytes exceed the budget.
func (b *Budget) IsExceeded() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total > b.limit
}

// add changes the held bytes. Must be called with mu held.
func (b *Budget) add(kind Kind, bytes int64) {
	b.held[kind] += bytes
	b.total += bytes
}
