package fleet

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Outcome is the result of a request to an engine.
type Outcome struct {
	At time.Time
	// Failed is true if no complete answer arrived although the client was still connected.
	Failed bool
	// ConnectionLost is true if the engine closed the connection before its answer was complete.
	ConnectionLost bool
	// AddressReused is true if a different engine answers at the address.
	AddressReused bool
	// Unreached is true if a connection was refused, lost or timed out, so that the engine may have restarted.
	Unreached bool
	// RefusedItem is true if the engine rejected a batch item although it appeared to have a free slot.
	RefusedItem bool
	// Load is the load that the engine reported; nil for none.
	Load *Load
	// Latency is the time to the complete answer; zero if there was none.
	Latency time.Duration
}

const (
	// firstSuspicion is how long an engine is avoided after one failure; each further consecutive one doubles
	// it, up to maxSuspicion.
	firstSuspicion = 400 * time.Millisecond
	maxSuspicion   = 4 * time.Second
	// latencyWeight is the weight of a new value in the moving means.
	latencyWeight = 0.2
)

// RequestEnded records the result of a request to the engine.
func (f *Fleet) RequestEnded(id incarnation.ID, outcome Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.lookUp(id)
	if !found {
		return
	}
	// The count restarts at zero if the entry was removed and listed again during the request.
	m.inFlight = max(0, m.inFlight-1)
	f.updateColdMark(id, outcome)
	if outcome.Load != nil {
		m.load, m.loadAt, m.loadCountsEnded = *outcome.Load, outcome.At, outcome.Latency > 0
	}
	switch {
	case outcome.AddressReused:
		m.suspect(outcome.At, maxSuspicion)
	case outcome.Failed:
		m.failures++
		m.suspect(outcome.At, min(firstSuspicion<<min(m.failures-1, 4), maxSuspicion))
	case outcome.Latency > 0:
		m.failures = 0
		f.observeAnswerTime(m.engine.Service, outcome.Latency)
		m.latency += time.Duration(latencyWeight * float64(outcome.Latency-m.latency))
	}
}

func (m *member) suspect(now time.Time, period time.Duration) {
	if until := now.Add(period); until.After(m.suspectUntil) {
		m.suspectUntil = until
	}
}
