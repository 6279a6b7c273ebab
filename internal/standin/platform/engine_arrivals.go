package platform

import (
	"net/http"
	"time"
)

// Arrival is a request that reached an engine, whether executed or refused for lack of slots.
// Requests addressed to another engine are not recorded.
type Arrival struct {
	ID string
	At time.Time
	// From is the sender's IP address.
	From string
}

// ExpectedEngine returns the ID of the engine that a request is addressed to, or "".
func ExpectedEngine(r *http.Request) string { return r.Header.Get(headerExpectedInstance) }

func (e *Engine) recordArrival(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, Arrival{ID: r.Header.Get(headerRequestID), At: time.Now(), From: hostOf(r.RemoteAddr)})
}

// Arrivals returns the requests that reached the engine, in order of arrival.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// ArrivalTimes returns the arrival times of the requests that reached the engine.
func (e *Engine) ArrivalTimes() []time.Time {
	var times []time.Time
	for _, arrival := range e.Arrivals() {
		times = append(times, arrival.At)
	}
	return times
}

// SetCold makes the engine report for at least a duration from now on that it is cold, which limits
// its request rate. The caller must list the engine again to publish the change.
func (e *Engine) SetCold(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(duration); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// coldRemaining returns how much longer the engine is cold. Must be called with mu held.
func (e *Engine) coldRemaining() time.Duration { return max(0, time.Until(e.coldUntil)) }
