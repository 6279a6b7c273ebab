package platform

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// SetPace changes the factor by which the engine's work takes longer than EventTime and PlainTime. It applies to the
// events of running requests, too.
func (e *Engine) SetPace(pace float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace = pace
}

// wait waits for the given time at the engine's current pace. It returns false if the sender left.
func (e *Engine) wait(r *http.Request, duration time.Duration) bool {
	e.mu.Lock()
	paced := time.Duration(e.pace * float64(duration))
	e.mu.Unlock()
	if paced <= 0 {
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(paced):
		return true
	}
}

// load returns the content of the load header: the requests that run, those that wait, the slots and, with ReportsPace,
// the pace in percent.
func (e *Engine) load() string {
	const percent = 100
	e.mu.Lock()
	defer e.mu.Unlock()
	load := fmt.Sprintf("%d,0,%d", e.running, e.options.Slots)
	if e.options.ReportsPace {
		load += fmt.Sprintf(",%.0f", math.Round(e.pace*percent))
	}
	return load
}
