package lease

import (
	"maps"
	"time"
)

// history is a reader's view of the orders of all holders.
//
// Invariant: a holder sends an order to an engine only after an Order record for it was appended in the
// holder's epoch. Without such a record before the next claim, no earlier holder has sent one, unless
// the record is in a gap.
type history struct {
	// held is the newest Held of the current epoch.
	held time.Duration
	// proven is the total time that records have proved to have passed.
	proven time.Duration
	// readAt is when the newest record was read.
	readAt time.Time
	// gap is true if records are missing before the next one.
	gap bool
	// completeSince is the end of the newest gap; the zero value if there was none.
	completeSince logTime
	// orders holds the newest order of each machine by engine. Expired ones are removed once there are
	// more engines than pruneThreshold.
	orders         map[string][]order
	pruneThreshold int
}

// logTime is the time of a record, by the reader's clock and by the time that records prove.
type logTime struct {
	// at is when the reader read the record.
	at time.Time
	// proven is history.proven at the record.
	proven time.Duration
	// unproven is true if the record does not prove that its epoch was current. Part of the time that later
	// records prove may then have passed before this record.
	unproven bool
}

// order is the newest order that a machine may have sent to an engine.
type order struct {
	machine     machine
	epoch       int64
	announcedAt logTime
	released    bool
}

// machine identifies a machine. The node name alone does not: a replacement may have the same one.
type machine struct {
	node    string
	address string
}

// isSame reports whether both are certainly the same machine, which is never known without an address.
func (m machine) isSame(other machine) bool { return m == other && m.address != "" }

const (
	// minPruneThreshold is the number of engines up to which expired orders are not removed.
	minPruneThreshold = 1024
	// orderTTL is how long an order is kept. It must exceed every quiet period.
	orderTTL = MaxBetweenMachines + time.Minute
)

func (h *history) setReadAt(at time.Time) { h.readAt = at }

// closeGap ends a gap before the newest record. provesEpoch is whether the record proves that its epoch
// is current at its offset.
func (h *history) closeGap(provesEpoch bool) {
	if h.gap {
		h.gap = false
		h.completeSince = h.now(provesEpoch)
	}
}

func (h *history) now(provesEpoch bool) logTime {
	return logTime{at: h.readAt, proven: h.proven, unproven: !provesEpoch}
}

// beginEpoch starts a new epoch that has been held for the given time.
func (h *history) beginEpoch(held time.Duration) { h.held = held }

// advance adds the time that the current epoch has been held since its previous record.
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

// addOrders adds the orders of an Order record; provesEpoch has the same meaning as in closeGap.
func (h *history) addOrders(record Record, provesEpoch bool, at time.Time) {
	if h.orders == nil {
		h.orders = make(map[string][]order)
	}
	if len(h.orders) > max(h.pruneThreshold, minPruneThreshold) {
		h.pruneExpired(at)
	}
	newest := order{machine: record.machine(), epoch: record.Epoch, announcedAt: h.now(provesEpoch)}
	for _, engine := range record.Engines {
		h.orders[engine] = append(h.retained(engine, newest, at), newest)
	}
}

// retained returns the unexpired orders to an engine that the newest one does not replace: those of other
// machines and of later epochs.
func (h *history) retained(engine string, newest order, at time.Time) []order {
	kept := h.orders[engine][:0]
	for _, last := range h.orders[engine] {
		replaced := last.machine == newest.machine && last.epoch <= newest.epoch
		if !replaced && !h.endOfPeriod(last.announcedAt, orderTTL).Before(at) {
			kept = append(kept, last)
		}
	}
	return kept
}

// pruneExpired removes engines whose orders have all expired. It scans all of them, so it next runs when
// their number has doubled.
func (h *history) pruneExpired(at time.Time) {
	maps.DeleteFunc(h.orders, func(_ string, orders []order) bool {
		for _, last := range orders {
			if !h.endOfPeriod(last.announcedAt, orderTTL).Before(at) {
				return false
			}
		}
		return true
	})
	h.pruneThreshold = 2 * len(h.orders)
}

// endOfPeriod returns the end of the period that starts at begin: by the reader's clock or by the time that
// later records prove, whichever is earlier.
func (h *history) endOfPeriod(begin logTime, period time.Duration) time.Time {
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

func (h *history) quietUntil(epoch int64, own machine, engine string, quiet QuietPeriod) time.Time {
	var until time.Time
	if !h.completeSince.at.IsZero() {
		until = h.endOfPeriod(h.completeSince, quiet.BetweenMachines+quiet.MaxArrivalDelay)
	}
	for _, last := range h.orders[engine] {
		period, needed := quiet.periodAfter(last, epoch, own)
		if !needed {
			continue
		}
		if end := h.endOfPeriod(last.announcedAt, period); end.After(until) {
			until = end
		}
	}
	return until
}

// periodAfter returns the quiet period after a possible order; false if none is needed.
func (q QuietPeriod) periodAfter(last order, epoch int64, own machine) (time.Duration, bool) {
	switch {
	case last.epoch == epoch:
		return 0, false
	case q.EnginesFence && (last.released || last.machine.isSame(own)):
		return 0, false
	case last.machine.isSame(own):
		return q.MaxArrivalDelay, true
	default:
		return q.BetweenMachines + q.MaxArrivalDelay, true
	}
}
