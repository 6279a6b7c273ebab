package livequeue

import (
	"math"
	"time"
)

const (
	// drainWindow is the time constant of the measured rate. Bursts last some seconds, and the rate changes when
	// engines leave.
	drainWindow = time.Second
	// minBusyTime is how long requests must have waited before the measured rate is used; a shorter time holds too few
	// responses of tens of milliseconds.
	minBusyTime = 200 * time.Millisecond
	// MinRetryAfter and MaxRetryAfter bound the times of refused requests. Clients honor a third of the time that they
	// have left, so that longer ones than MaxRetryAfter have no effect.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 10 * time.Second
	// UnknownRetryAfter applies if nothing is known of the rate at which slots come free.
	UnknownRetryAfter = 150 * time.Millisecond
)

// drainRate measures the rate at which slots come free while requests wait, by an exponentially decaying count. While
// none waits, the rate is that of the demand, not that of the engines: nothing is counted, and the measured rate is
// used only for minBusyTime longer.
type drainRate struct {
	busySince time.Time
	// busyUntil is when a request was last known to wait.
	busyUntil time.Time
	// at is the time to which count is decayed.
	at    time.Time
	count float64
}

// beginBusy records that a request waits although none did before. A short pause does not end a burst.
func (d *drainRate) beginBusy(now time.Time) {
	if now.Sub(d.busyUntil) > minBusyTime {
		*d = drainRate{busySince: now, at: now}
	}
	d.busyUntil = now
}

// ended records that a slot came free while requests waited.
func (d *drainRate) ended(now time.Time) {
	d.count, d.at = d.decayed(now)+1, now
}

func (d *drainRate) decayed(now time.Time) float64 {
	return d.count * math.Exp(-max(0, now.Sub(d.at).Seconds())/drainWindow.Seconds())
}

// perSecond returns the rate measured while requests last waited; zero if it is not known.
func (d *drainRate) perSecond(now time.Time) float64 {
	busy := d.busyUntil.Sub(d.busySince)
	if busy < minBusyTime || now.Sub(d.busyUntil) > minBusyTime {
		return 0
	}
	// The count of a period that has just begun lacks what a longer one would hold.
	whole := drainWindow.Seconds() * (1 - math.Exp(-busy.Seconds()/drainWindow.Seconds()))
	return d.decayed(d.busyUntil) / whole
}

// observe records that requests wait, if any does. It is called before each change of the queue.
func (s *service) observe(now time.Time) {
	if s.waiting > 0 {
		s.drain.busyUntil = now
	}
}

// retryTimes holds, by priority, the point in time that was given to the newest refusal.
type retryTimes struct {
	given [priorities]time.Time
	// spread counts the refusals whose points lie beyond MaxRetryAfter.
	spread int
}

// priorities is the number of priorities; lower ones count as the last of them.
const priorities = 10

// next gives a refusal of the priority the next point in time, at least empty from now, and the given interval after
// the last one. All less urgent refusals get later points than it.
func (r *retryTimes) next(now time.Time, priority int, empty, interval time.Duration) time.Duration {
	priority = min(max(0, priority), priorities-1)
	point := now.Add(max(empty, MinRetryAfter))
	if follows := r.given[priority].Add(interval); follows.After(point) {
		point = follows
	}
	if latest := now.Add(MaxRetryAfter); point.After(latest) {
		// Points beyond the bound would coincide there. The last quarter is divided by the golden ratio, which spreads
		// any number of points evenly. given stays at the bound, so that it does not run away from the clock.
		r.spread++
		_, fraction := math.Modf(float64(r.spread) * math.Phi)
		point = latest.Add(-time.Duration(fraction * float64(MaxRetryAfter/4)))
		r.advance(priority, latest)
		return point.Sub(now)
	}
	r.advance(priority, point)
	return point.Sub(now)
}

func (r *retryTimes) advance(priority int, point time.Time) {
	for i := priority; i < priorities; i++ {
		if r.given[i].Before(point) {
			r.given[i] = point
		}
	}
}

// RetryAfter returns when a refused request may come back: the time in which what is ahead of it is expected to be
// served, and a point in time of its own, so that clients return in an order and at a rate that can be served.
func (q *Queue) RetryAfter(now time.Time, request *Request, capacity Capacity) time.Duration {
	s := q.service(request.Service)
	s.observe(now)
	interval := time.Duration(0)
	if rate := s.drain.perSecond(now); rate > 0 {
		interval = time.Duration(float64(time.Second) / rate)
	} else if capacity.ResponseKnown && capacity.Candidates > 0 {
		interval = capacity.interval()
	}
	if interval <= 0 {
		return UnknownRetryAfter
	}
	ahead := capacity.excess()
	for _, class := range s.classes {
		if class.priority <= request.Priority {
			ahead += class.regions.sharing(request.Regions)
		}
	}
	empty := time.Duration(min(float64(ahead)*float64(interval), float64(MaxRetryAfter)))
	return s.retries.next(now, request.Priority, empty, interval)
}
