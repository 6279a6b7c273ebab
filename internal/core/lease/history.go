package lease

import (
	"maps"
	"time"
)

// history is what a reader knows of the orders that holders gave.
//
// Invariant: an engine is ordered by a holder only after an Order record of it was taken
// in the holder's epoch. So what stands in no record before the next claim is not ordered
// by an earlier holder, unless a gap hides the record.
type history struct {
	// held is the newest Held of the epoch in force, proven the sum of all times that
	// records proved to have passed.
	held   time.Duration
	proven time.Duration
	// readAt is when the newest record was read.
	readAt time.Time
	// gap is true while records are missing before the next one, complete the moment
	// from which on none is missing; the zero moment when none ever was.
	gap      bool
	complete moment
	// orders holds the newest order of each engine by each machine; once there are more
	// engines than forgetAt, old ones are forgotten.
	orders   map[string][]order
	forgetAt int
}

// moment is a place in the log: when it was read, and what was proven by then.
type moment struct {
	at     time.Time
	proven time.Duration
	// unproven is true when the record at that place did not tell how much time had
	// passed by then: the time that a later one proves may have begun before it.
	unproven bool
}

// order is the newest order that an engine may have been given by a machine.
type order struct {
	machine  machine
	epoch    int64
	when     moment
	released bool
}

// machine tells one machine from others: a name may be given to another one.
type machine struct {
	node    string
	address string
}

// same tells whether two are surely one machine.
func (m machine) same(other machine) bool { return m == other && m.address != "" }

const (
	// minForgetAt is the number of engines up to which no order is forgotten.
	minForgetAt = 1024
	// orderLife is how long an order is remembered: longer than any quiet time.
	orderLife = MaxQuiet + time.Minute
)

func (h *history) read(at time.Time) { h.readAt = at }

// settle ends a gap behind the newest record; proves tells whether that record told how long
// its holder has held the epoch in force.
func (h *history) settle(proves bool) {
	if h.gap {
		h.gap = false
		h.complete = h.now(proves)
	}
}

func (h *history) now(proves bool) moment {
	return moment{at: h.readAt, proven: h.proven, unproven: !proves}
}

// began notes that an epoch came into force of which this time has passed.
func (h *history) began(held time.Duration) { h.held = held }

// heard notes for how long the epoch in force has been held.
func (h *history) heard(held time.Duration) {
	if held > h.held {
		h.proven += held - h.held
		h.held = held
	}
}

// released notes that the holder of the epoch orders no more.
func (h *history) released(epoch int64) {
	for _, orders := range h.orders {
		for i := range orders {
			orders[i].released = orders[i].released || orders[i].epoch == epoch
		}
	}
}

// ordered notes an Order record; proves as in settle.
func (h *history) ordered(record Record, proves bool, at time.Time) {
	if h.orders == nil {
		h.orders = make(map[string][]order)
	}
	if len(h.orders) > max(h.forgetAt, minForgetAt) {
		h.forgetOld(at)
	}
	newest := order{machine: record.machine(), epoch: record.Epoch, when: h.now(proves)}
	for _, engine := range record.Engines {
		h.orders[engine] = append(h.others(engine, newest, at), newest)
	}
}

// others returns the orders of an engine that a quiet time may still follow and that a newer one
// does not take the place of: those of other machines, and of a later epoch.
func (h *history) others(engine string, newest order, at time.Time) []order {
	kept := h.orders[engine][:0]
	for _, each := range h.orders[engine] {
		replaced := each.machine == newest.machine && each.epoch <= newest.epoch
		if !replaced && !h.since(each.when, orderLife).Before(at) {
			kept = append(kept, each)
		}
	}
	return kept
}

// forgetOld drops orders that no quiet time follows any more. It looks at all of
// them, so it waits until there are twice as many engines as it leaves.
func (h *history) forgetOld(at time.Time) {
	maps.DeleteFunc(h.orders, func(_ string, orders []order) bool {
		for _, each := range orders {
			if !h.since(each.when, orderLife).Before(at) {
				return false
			}
		}
		return true
	})
	h.forgetAt = 2 * len(h.orders)
}

// since returns when the period after a moment is over: by the reader's own clock,
// or by what later records prove if that is sooner.
func (h *history) since(begin moment, period time.Duration) time.Time {
	byClock := begin.at.Add(period)
	if begin.unproven {
		return byClock
	}
	byLog := h.readAt.Add(period - (h.proven - begin.proven))
	if byLog.Before(byClock) {
		return byLog
	}
	return byClock
}

func (h *history) quietUntil(epoch int64, own machine, engine string, quiet Quiet) time.Time {
	var until time.Time
	if !h.complete.at.IsZero() {
		until = h.since(h.complete, quiet.Between+quiet.Arrival)
	}
	for _, each := range h.orders[engine] {
		period, needed := quiet.after(each, epoch, own)
		if !needed {
			continue
		}
		if own := h.since(each.when, period); own.After(until) {
			until = own
		}
	}
	return until
}

// after is how long a holder leaves an engine alone after another one may have ordered it.
func (q Quiet) after(last order, epoch int64, own machine) (time.Duration, bool) {
	switch {
	case last.epoch == epoch:
		return 0, false
	case q.EnginesFence && (last.released || last.machine.same(own)):
		return 0, false
	case last.machine.same(own):
		return q.Arrival, true
	default:
		return q.Between + q.Arrival, true
	}
}
