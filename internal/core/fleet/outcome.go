package fleet

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Outcome is the result of a request to an engine.
type Outcome struct {
	At time.Time
	// Failed: no complete answer arrived, although the client was still connected.
	Failed bool
	// ConnectionLost: the engine closed the connection before its answer was complete.
	ConnectionLost bool
	// AddressReused: a different engine answers at the address.
	AddressReused bool
	// Unreached: a connection was refused, lost or timed out, so that the engine may have restarted.
	Unreached bool
	// RefusedItem: the engine rejected a batch item although it appeared to have a free slot.
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
func (f *Fleet) RequestEnded(of incarnation.ID, outcome Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(of)
	if !found {
		return
	}
	// The count restarts at zero if the entry was removed and listed again during the request.
	known.inFlight = max(0, known.inFlight-1)
	f.updateColdMark(of, outcome)
	if outcome.Load != nil {
		known.load, known.loadAt = *outcome.Load, outcome.At
	}
	switch {
	case outcome.AddressReused:
		known.suspect(outcome.At, maxSuspicion)
	case outcome.Failed:
		known.failures++
		known.suspect(outcome.At, min(firstSuspicion<<min(known.failures-1, 4), maxSuspicion))
	case outcome.Latency > 0:
		known.failures = 0
		f.observeAnswerTime(known.engine.Service, outcome.Latency)
		known.latency += time.Duration(latencyWeight * float64(outcome.Latency-known.latency))
	}
}

func (m *member) suspect(now time.Time, period time.Duration) {
	if until := now.Add(period); until.After(m.suspectUntil) {
		m.suspectUntil = until
	}
}
