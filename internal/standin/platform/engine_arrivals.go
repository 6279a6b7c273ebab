package platform

import (
	"net/http"
	"time"
)

// Arrival is one request that reached an engine: begun, or refused because the engine was
// full. Requests for another engine are none.
type Arrival struct {
	ID string
	At time.Time
	// From is the address that the request came from, without the port.
	From string
}

// ExpectedEngine is the ID of the engine that a request is meant for; empty where it tells none.
func ExpectedEngine(r *http.Request) string { return r.Header.Get(headerExpect) }

// arrived notes a request.
func (e *Engine) arrived(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, Arrival{ID: r.Header.Get(headerRequestID), At: time.Now(), From: hostOf(r.RemoteAddr)})
}

// ArrivalsSeen returns the requests that reached the engine, in the order of their arrival.
func (e *Engine) ArrivalsSeen() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// Arrivals returns when requests reached the engine.
func (e *Engine) Arrivals() []time.Time {
	var times []time.Time
	for _, each := range e.ArrivalsSeen() {
		times = append(times, each.At)
	}
	return times
}

// TurnCold makes the engine cold for a time from now on, or for as long as it is cold already. Its entry
// in the list is to be listed again.
func (e *Engine) TurnCold(lasting time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(lasting); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// coldLeft is how much longer the engine is cold; mu is held.
func (e *Engine) coldLeft() time.Duration { return max(0, time.Until(e.coldUntil)) }
