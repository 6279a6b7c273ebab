// Package admission limits the concurrent calls of one sender to a service that others use as well, by additive
// increase and multiplicative decrease (AIMD). The package has no input, output or clock.
package admission

const (
	// shareOfSlots is the share of a service's slots that the sender may use; the rest is for interactive requests.
	shareOfSlots = 0.5
	initialLimit = 4
	minLimit     = 1
	// decreaseFactor multiplies the limit after a refusal.
	decreaseFactor = 0.5
)

// Capacity is the known capacity of a service.
type Capacity struct {
	// Slots is the number of requests that its engines can run concurrently.
	Slots int
	// Busy is the number of requests at its engines, including waiting ones.
	Busy int
}

// Window is an adaptive concurrency limit: each complete answer raises it by a fraction, a refusal halves it.
type Window struct {
	limit    float64
	inFlight int
}

func NewWindow() *Window { return &Window{limit: initialLimit} }

// Admits reports whether another call may start. If none is in flight, one always may, so that a service whose
// capacity is unknown or used up is still probed.
func (w *Window) Admits(capacity Capacity) bool {
	if w.inFlight == 0 {
		return true
	}
	allowed := shareOfSlots * float64(capacity.Slots)
	return float64(w.inFlight) < min(w.limit, allowed) && float64(capacity.Busy) < allowed
}

// Began records the start of a call.
func (w *Window) Began() { w.inFlight++ }

func (w *Window) InFlight() int { return w.inFlight }

// Answered records a call with a complete answer.
func (w *Window) Answered() {
	w.inFlight--
	w.limit += 1 / w.limit
}

// Refused records a call that was rejected for lack of a free slot.
func (w *Window) Refused() {
	w.inFlight--
	w.limit = max(minLimit, w.limit*decreaseFactor)
}

// Failed records a call that ended for another reason, which leaves the limit unchanged.
func (w *Window) Failed() { w.inFlight-- }
