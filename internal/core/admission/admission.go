// Package admission bounds how many calls of one sender are under way at a
// service that others use as well. It has no input, output or clock.
package admission

const (
	// share is the part of a service's places that the sender may fill; the rest
	// is left to those who wait for their answers.
	share = 0.5
	// firstLimit is the limit before anything was learned, minLimit the lowest.
	firstLimit = 4
	minLimit   = 1
	// decrease is what a refusal leaves of the limit.
	decrease = 0.5
)

// Places are the places of a service, as far as they are known.
type Places struct {
	// Slots is the number of requests that its engines work on at once.
	Slots int
	// Busy is the number of requests that they have, waiting ones included.
	Busy int
}

// Window learns how many calls may be under way: each whole answer raises the
// limit by a fraction, a refusal halves it.
type Window struct {
	limit    float64
	underWay int
}

// NewWindow returns a window that has learned nothing.
func NewWindow() *Window { return &Window{limit: firstLimit} }

// Admits tells whether one more call may begin. One at a time always may, so that a
// service is tried of which nothing is known, and none is left out for good.
func (w *Window) Admits(places Places) bool {
	if w.underWay == 0 {
		return true
	}
	allowed := share * float64(places.Slots)
	return float64(w.underWay) < min(w.limit, allowed) && float64(places.Busy) < allowed
}

// Began notes that a call is under way.
func (w *Window) Began() { w.underWay++ }

// UnderWay is the number of calls under way.
func (w *Window) UnderWay() int { return w.underWay }

// Answered notes a whole answer.
func (w *Window) Answered() {
	w.underWay--
	w.limit += 1 / w.limit
}

// Refused notes a call that found no place.
func (w *Window) Refused() {
	w.underWay--
	w.limit = max(minLimit, w.limit*decrease)
}

// Failed notes a call that ended otherwise, which says nothing of places.
func (w *Window) Failed() { w.underWay-- }
