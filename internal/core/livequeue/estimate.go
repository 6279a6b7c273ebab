package livequeue

import "time"

// interval returns the expected time between two slots that come free for this node. The engines free Slots in each
// response time. Other nodes send to them as well, and a node gets about the part of the slots that its requests have
// of all requests at the engines. A node without requests there counts as having one.
func (c Capacity) interval() time.Duration {
	share := 1.0
	if c.Occupied > 0 {
		share = min(1, float64(max(1, c.Own))/float64(c.Occupied))
	}
	return time.Duration(float64(c.Response) / (float64(max(1, c.Slots)) * share))
}

// excess returns the number of this node's part of the requests that wait at the engines already.
func (c Capacity) excess() int {
	beyond := max(0, c.Occupied-c.Slots)
	return beyond * min(c.Own, c.Occupied) / max(1, c.Occupied)
}

// maxOvertaken bounds the part of the free slots that later requests are expected to take before a waiting one. Their
// recent rate may be that of a burst that ends.
const maxOvertaken = 0.9

// maxRefusals bounds the refusals that lengthen the estimate, each by a factor of two.
const maxRefusals = 5

// estimate sets the entry's basis. next is the number of slots that must come free for the first request of the queue.
// Requests of more urgent priorities, and of flows that use less than their share, go first also if they arrive later,
// so that only the other slots are left for the entry.
func (q *Queue) estimate(now time.Time, entry *Entry, capacity Capacity, next int) {
	s := q.services[entry.Service]
	ahead, overtakes := s.ahead(entry)
	q.describe(now, entry, capacity, ahead)
	interval := capacity.interval()
	taken := s.arrivals.perSecond(now, interval, entry, overtakes) * interval.Seconds()
	slots := float64(ahead + capacity.excess() + next)
	// Each refusal by an engine shows that other nodes take more of the free slots than estimated.
	slots *= float64(int(1) << min(entry.Refusals, maxRefusals))
	entry.Basis.Expected = time.Duration(slots * float64(interval) / (1 - min(taken, maxOvertaken)))
	entry.Basis.slotAt = now.Add(entry.Basis.Expected)
}

// describe sets the entry's basis for a decision without an expected wait.
func (q *Queue) describe(now time.Time, entry *Entry, capacity Capacity, ahead int) {
	entry.Basis = Basis{
		Ahead: ahead, Waiting: q.services[entry.Service].waiting, Response: capacity.Response,
		Remaining: entry.Deadline.Sub(now), Slots: capacity.Slots, Occupied: capacity.Occupied, Own: capacity.Own,
		freeAt: capacity.FreeAt,
	}
}

// isInTime reports whether the entry's response is expected before its deadline and its slot within the longest wait.
func (e *Entry) isInTime(now time.Time, maxWait time.Duration) bool {
	slotAt := now.Add(e.Basis.Expected)
	return !slotAt.Add(e.Basis.Response).After(e.Deadline) && !slotAt.After(e.Arrived.Add(maxWait))
}
