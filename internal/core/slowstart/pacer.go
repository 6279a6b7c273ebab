// Package slowstart limits the request rate of cold engines: right after its start an engine handles only a
// few requests a second and overloads above that. It has no input, output or clock; the time of each event is
// passed in.
//
// Invariant: within any second, an engine is admitted at most its rate plus Burst requests. A single pacer
// must therefore decide for all senders; see docs/design/slow-start.md.
package slowstart

import (
	"math"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// Burst is the number of admissions that are possible at once after a pause. A burst of two lets a sender
	// that polls every few tens of milliseconds use the whole rate.
	Burst = 2
	// window is how long an admission counts towards the rate, which is per second.
	window = time.Second
	// PermitTTL is how long a permit may be used after it was requested. All valid permits may be used at once,
	// so an engine may receive the requests admitted in one second plus PermitTTL within a second.
	PermitTTL = 250 * time.Millisecond
	// maxTransit is the assumed maximum time that a sent request takes to arrive.
	maxTransit = 250 * time.Millisecond
	// TakeoverPause is how long a new leader admits nothing, since it knows neither the admissions of its
	// predecessor nor which of its permits are still unused.
	TakeoverPause = window + PermitTTL + maxTransit
)

// Pacer admits requests to cold engines, evenly spaced: a leaky bucket as a meter (the generic cell rate
// algorithm), with due as the theoretical arrival time and interval as the emission interval. It is safe for
// concurrent use.
type Pacer struct {
	// admitsFrom is the time before which nothing is admitted.
	admitsFrom time.Time

	mu sync.Mutex
	// due is the theoretical arrival time of each engine's next request.
	due map[incarnation.ID]time.Time
}

// New returns a pacer for a term of leadership that began at the given time.
func New(began time.Time) *Pacer {
	return &Pacer{admitsFrom: began.Add(TakeoverPause), due: make(map[incarnation.ID]time.Time)}
}

// Admit admits one request to the engine at the given rate. It returns zero if the request may be sent now,
// otherwise the time after which to try again.
func (p *Pacer) Admit(engine incarnation.ID, ratePerSecond float64, now time.Time) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait := p.waitFor(engine, ratePerSecond, now); wait > 0 {
		return wait
	}
	p.due[engine] = p.arrivalTime(engine, now).Add(interval(ratePerSecond))
	return 0
}

// Available returns how many requests to the engine would be admitted now.
func (p *Pacer) Available(engine incarnation.ID, ratePerSecond float64, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waitFor(engine, ratePerSecond, now) > 0 {
		return 0
	}
	ahead := p.arrivalTime(engine, now).Sub(now)
	return int((interval(ratePerSecond)*(Burst-1)-ahead)/interval(ratePerSecond)) + 1
}

// RecordUnpaced counts a request to an engine that is not known to be cold, in case it turns out to be cold. Such
// requests delay the next admission by at most a second.
func (p *Pacer) RecordUnpaced(engine incarnation.ID, ratePerSecond float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.arrivalTime(engine, now).Add(interval(ratePerSecond))
	if latest := now.Add(window + interval(ratePerSecond)*(Burst-1)); due.After(latest) {
		due = latest
	}
	p.due[engine] = due
}

// DropExpired drops the state of engines whose requests no longer count towards the rate.
func (p *Pacer) DropExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, due := range p.due {
		if due.Before(now) {
			delete(p.due, engine)
		}
	}
}

// waitFor returns the time until the engine's next admission. Must be called with mu held.
func (p *Pacer) waitFor(engine incarnation.ID, ratePerSecond float64, now time.Time) time.Duration {
	next := p.admitsFrom
	if due, known := p.due[engine]; known {
		if allowed := due.Add(-interval(ratePerSecond) * (Burst - 1)); allowed.After(next) {
			next = allowed
		}
	}
	return max(0, next.Sub(now))
}

// arrivalTime returns the theoretical arrival time of the engine's next request, at least now. Must be called with
// mu held.
func (p *Pacer) arrivalTime(engine incarnation.ID, now time.Time) time.Time {
	if due, known := p.due[engine]; known && due.After(now) {
		return due
	}
	return now
}

// interval returns the time between two requests. It is rounded up so that the rate is never exceeded.
func interval(ratePerSecond float64) time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / ratePerSecond))
}
