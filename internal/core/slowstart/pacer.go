// Package slowstart paces what engines get while they are cold: right after a start an engine bears
// a few requests a second, and falls over above that. It has no input, output or clock; every
// event comes with its time.
//
// Invariant: in any second, the admissions of one engine number no more than its rate and Burst,
// whatever is asked, and whoever asks. So one pacer must decide for all senders; see
// docs/design/slow-start.md.
package slowstart

import (
	"math"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// Burst is how many admissions may come at once after a pause. The second one lets a sender
	// that looks only every few hundredths of a second use the whole rate.
	Burst = 2
	// window is the time for which earlier starts count: the engine's rate is one of requests a
	// second.
	window = time.Second
	// PermitLife is how long after it was asked for an admission may be used. What was admitted
	// in that time may leave together, so a second may hold the admissions of a second and of
	// this time.
	PermitLife = 250 * time.Millisecond
	// arrivalTime is how long a request that has left may be on its way.
	arrivalTime = 250 * time.Millisecond
	// TakeoverPause is how long a new leader admits nothing: it knows neither what the one before it
	// admitted in the last second, nor which admissions are still out.
	TakeoverPause = window + PermitLife + arrivalTime
)

// Pacer admits requests to cold engines, evenly spaced: a leaky bucket as a meter (the generic cell rate
// algorithm), with due as the theoretical arrival time and gap as the emission interval. It is safe for concurrent use.
type Pacer struct {
	// settledAt is the time before which nothing is admitted.
	settledAt time.Time

	mu sync.Mutex
	// due is, for each engine, when all that was admitted is used up at its rate.
	due map[incarnation.ID]time.Time
}

// New returns a pacer for one time of leading, which began at the given time.
func New(began time.Time) *Pacer {
	return &Pacer{settledAt: began.Add(TakeoverPause), due: make(map[incarnation.ID]time.Time)}
}

// Admit takes one request to the engine, at its rate a second. It returns zero where that may
// leave now, otherwise after which time another try may succeed.
func (p *Pacer) Admit(to incarnation.ID, ratePerSecond float64, now time.Time) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait := p.waitFor(to, ratePerSecond, now); wait > 0 {
		return wait
	}
	p.due[to] = p.from(to, now).Add(gap(ratePerSecond))
	return 0
}

// Room returns how many requests to the engine would be admitted at once.
func (p *Pacer) Room(to incarnation.ID, ratePerSecond float64, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waitFor(to, ratePerSecond, now) > 0 {
		return 0
	}
	ahead := p.from(to, now).Sub(now)
	return int((gap(ratePerSecond)*(Burst-1)-ahead)/gap(ratePerSecond)) + 1
}

// Note counts a request to an engine that is not known to be cold. Should it turn out to be, these
// count for it. They delay the next admission by a second at most.
func (p *Pacer) Note(to incarnation.ID, ratePerSecond float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.from(to, now).Add(gap(ratePerSecond))
	if latest := now.Add(window + gap(ratePerSecond)*(Burst-1)); due.After(latest) {
		due = latest
	}
	p.due[to] = due
}

// Forget drops what is kept of engines whose requests no longer count.
func (p *Pacer) Forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, due := range p.due {
		if due.Before(now) {
			delete(p.due, engine)
		}
	}
}

// waitFor is the time until the engine's next admission; mu is held.
func (p *Pacer) waitFor(to incarnation.ID, ratePerSecond float64, now time.Time) time.Duration {
	next := p.settledAt
	if due, known := p.due[to]; known {
		if allowed := due.Add(-gap(ratePerSecond) * (Burst - 1)); allowed.After(next) {
			next = allowed
		}
	}
	return max(0, next.Sub(now))
}

// from is when the engine's next request begins to count; mu is held.
func (p *Pacer) from(to incarnation.ID, now time.Time) time.Time {
	if due, known := p.due[to]; known && due.After(now) {
		return due
	}
	return now
}

// gap is the time between two requests, rounded up: a rate is never exceeded by rounding.
func gap(ratePerSecond float64) time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / ratePerSecond))
}
