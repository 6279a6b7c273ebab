package lease

import (
	"maps"
	"time"
)

// history is what a reader knows of the orders of all holders.
//
// Invariant: a holder orders an engine only after an Order record with it was appended in the
// holder's epoch. An engine without a record before the next claim is not ordered by an earlier
// holder, unless a gap hides the record.
type history struct {
	// held is the newest Held of the epoch in force, proven the total time that records have
	// proved to have passed.
	held   time.Duration
	proven time.Duration
	// readAt is when the newest record was read.
	readAt time.Time
	// gap is true while records are missing before the next one, complete the moment
	// since which none is missing; the zero moment if none ever was.
	gap      bool
	complete moment
	// orders holds the newest order of each engine by each machine. Expired ones are dropped
	// once there are more engines than forgetAt.
	orders   map[string][]order
	forgetAt int
}

// moment is a position in the log: when it was read, and the time proven up to it.
type moment struct {
	at     time.Time
	proven time.Duration
	// unproven is true when the record at the position proves no time: the time that a later
	// record proves may have begun before it.
	unproven bool
}

// order is the newest order that an engine may have been given by a machine.
type order struct {
	machine  machine
	epoch    int64
	when     moment
	released bool
}

// machine identifies a machine. A name alone does not: a replacement may have the same one.
type machine struct {
	node    string
	address string
}

// isSame reports whether both are certainly the same machine.
func (m machine) isSame(other machine) bool { return m == other && m.address != "" }

const (
	// minForgetAt is the number of engines up to which no order is dropped.
	minForgetAt = 1024
	// orderTTL is how long an order is kept. It must exceed every quiet time.
	orderTTL = MaxQuiet + time.Minute
)

func (h *history) recordRead(at time.Time) { h.readAt = at }

// closeGap ends a gap before the newest record. proves is whether that record proves how long
// its holder has held the epoch in force.
func (h *history) closeGap(proves bool) {
	if h.gap {
		h.gap = false
		h.complete = h.now(proves)
	}
}

func (h *history) now(proves bool) moment {
	return moment{at: h.readAt, proven: h.proven, unproven: !proves}
}

// beginEpoch records a new epoch that has been held for the given time.
func (h *history) beginEpoch(held time.Duration) { h.held = held }

// advance adds the time that the epoch in force has been held since its previous record.
func (h *history) advance(held time.Duration) {
	if held > h.held {
		h.proven += held - h.held
		h.held = held
	}
}

// markReleased records that the holder of the epoch sends no further orders.
func (h *history) markReleased(epoch int64) {
	for _, orders := range h.orders {
		for i := range orders {
			orders[i].released = orders[i].released || orders[i].epoch == epoch
		}
	}
}

// addOrders adds the engines of an Order record; proves as in closeGap.
func (h *history) addOrders(record Record, proves bool, at time.Time) {
	if h.orders == nil {
		h.orders = make(map[string][]order)
	}
	if len(h.orders) > max(h.forgetAt, minForgetAt) {
		h.forgetOld(at)
	}
	newest := order{machine: record.machine(), epoch: record.Epoch, when: h.now(proves)}
	for _, engine := range record.Engines {
		h.orders[engine] = append(h.retained(engine, newest, at), newest)
	}
}

// retained returns the unexpired orders of an engine that the newest one does not replace: those
// of other machines, and of a later epoch.
func (h *history) retained(engine string, newest order, at time.Time) []order {
	kept := h.orders[engine][:0]
	for _, each := range h.orders[engine] {
		replaced := each.machine == newest.machine && each.epoch <= newest.epoch
		if !replaced && !h.endOf(each.when, orderTTL).Before(at) {
			kept = append(kept, each)
		}
	}
	return kept
}

// forgetOld drops expired orders. It scans all of them, so it next runs when there are twice as
// many engines as it leaves.
func (h *history) forgetOld(at time.Time) {
	maps.DeleteFunc(h.orders, func(_ string, orders []order) bool {
		for _, each := range orders {
			if !h.endOf(each.when, orderTTL).Before(at) {
				return false
			}
		}
		return true
	})
	h.forgetAt = 2 * len(h.orders)
}

// endOf returns when the period that begins at a moment is over: by the reader's own clock, or by
// the time that later records prove, whichever is sooner.
func (h *history) endOf(begin moment, period time.Duration) time.Time {
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
		until = h.endOf(h.complete, quiet.Between+quiet.Arrival)
	}
	for _, each := range h.orders[engine] {
		period, needed := quiet.periodAfter(each, epoch, own)
		if !needed {
			continue
		}
		if end := h.endOf(each.when, period); end.After(until) {
			until = end
		}
	}
	return until
}

// periodAfter returns the quiet time after a possible order; false if none is needed.
func (q Quiet) periodAfter(last order, epoch int64, own machine) (time.Duration, bool) {
	switch {
	case last.epoch == epoch:
		return 0, false
	case q.EnginesFence && (last.released || last.machine.isSame(own)):
		return 0, false
	case last.machine.isSame(own):
		return q.Arrival, true
	default:
		return q.Between + q.Arrival, true
	}
}
