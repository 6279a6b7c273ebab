package fleet

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Outcome is how a request at an engine ended.
type Outcome struct {
	At time.Time
	// Failed: no whole answer came, whatever the reason, and the client had not left.
	Failed bool
	// ConnectionLost: the engine ended the connection before its answer was whole.
	ConnectionLost bool
	// Gone: another engine answers at the address.
	Gone bool
	// Unreached: a connection was refused, lost or silent, so that the engine may have started again.
	Unreached bool
	// RefusedItem: the engine did not run an item of a batch job, whose places are counted.
	RefusedItem bool
	// Load is what the engine said of itself, if it did.
	Load *Load
	// Latency is the time to the whole answer; zero when there was none.
	Latency time.Duration
}

const (
	// firstSuspicion is how long one failure keeps new requests away; each
	// further one in a row doubles it, up to maxSuspicion.
	firstSuspicion = 400 * time.Millisecond
	maxSuspicion   = 4 * time.Second
	// latencyWeight is the weight of a new latency in the moving mean.
	latencyWeight = 0.2
)

// Ended notes how a request at the engine ended.
func (f *Fleet) Ended(of incarnation.ID, outcome Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(of)
	if !found {
		return
	}
	// An entry that went and came back while the request was there has begun a new count.
	known.inFlight = max(0, known.inFlight-1)
	f.noteOutcome(of, outcome)
	if outcome.Load != nil {
		known.load, known.loadAt = *outcome.Load, outcome.At
	}
	switch {
	case outcome.Gone:
		known.suspect(outcome.At, maxSuspicion)
	case outcome.Failed:
		known.failures++
		known.suspect(outcome.At, min(firstSuspicion<<min(known.failures-1, 4), maxSuspicion))
	case outcome.Latency > 0:
		known.failures = 0
		f.observeAnswer(known.engine.Service, outcome.Latency)
		known.latency += time.Duration(latencyWeight * float64(outcome.Latency-known.latency))
	}
}

func (m *member) suspect(now time.Time, period time.Duration) {
	if until := now.Add(period); until.After(m.suspectUntil) {
		m.suspectUntil = until
	}
}
