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
	// Headers are the headers of requests, as received and decoded, and what each request takes besides.
	Headers
	// KindCount is the number of kinds.
	KindCount
)

var kindNames = [KindCount]string{Bodies: "bodies", Answers: "answers", Results: "results", Headers: "headers"}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

func Kinds() []Kind { return []Kind{Bodies, Answers, Results, Headers} }

// kindDivisor limits the reservations of one kind to limit/kindDivisor, so that callers that submit work and
// callers that read results cannot starve each other.
const kindDivisor = 2

// aloneDivisor is the part of the budget that others may hold beside a request that needs more than the budget allows.
const aloneDivisor = 8

// aloneFactor bounds such a request: it may hold aloneFactor times the budget.
const aloneFactor = 3

// Budget bounds the held bytes. A nil Budget is unlimited. It is safe for concurrent use.
//
// Invariant: a reservation succeeds only if the total is within the limit afterwards, or if others hold at most
// limit/aloneDivisor and the work that reserves at most aloneFactor*limit.
type Budget struct {
	limit int64

	mu    sync.Mutex
	held  [KindCount]int64
	total int64
}

// New returns a budget of the given number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves bytes for new work and reports whether they fit. More than the whole budget fits if hardly anything
// else is held.
func (b *Budget) Reserve(kind Kind, bytes int64) bool { return b.ReserveMore(kind, bytes, 0) }

// ReserveMore is like Reserve for work that holds own bytes already.
func (b *Budget) ReserveMore(kind Kind, bytes, own int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	fits := b.total+bytes <= b.limit && b.held[kind]+bytes <= b.limit/kindDivisor
	alone := b.total-own <= b.limit/aloneDivisor && own+bytes <= aloneFactor*b.limit
	if !fits && !alone {
		return false
	}
	b.add(kind, bytes)
	return true
}

// Exceeds reports whether work that holds own bytes can never hold the given ones in addition.
func (b *Budget) Exceeds(bytes, own int64) bool { return b != nil && own+bytes > aloneFactor*b.limit }

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
