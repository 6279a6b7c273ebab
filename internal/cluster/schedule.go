package cluster

import (
	"context"
	"time"
)

const (
	// The periods below count protocol periods (500 ms by default).
	syncPeriods        = 3 // one contact in the zone
	farPeriods         = 2 // one contact in another zone, while there are few
	farPeriodsMany     = 4 // the same when there are more than fewZones
	fewZones           = 4
	joinPeriods        = 2  // tries to join, while alone in the zone
	pollPeriods        = 2  // machine list
	pollPeriodsFailing = 6  // machine list, while it is down
	refreshPeriods     = 12 // loads of the own cells
	sweepPeriods       = 2
	// wantContactsEvery is how often a far contact asks for more contacts.
	wantContactsEvery = 16
)

// schedule holds when each periodic task is due next.
type schedule struct {
	sync, far, join, poll, refresh, sweep, sound  time.Time
	farCount                                      int
	polling, joining, syncing, reaching, sounding bool
}

func (c *Cluster) periods(count int) time.Duration {
	return time.Duration(count) * c.options.ProbeInterval
}

// jittered spreads a period by a tenth, so that nodes don't fall into step.
func (c *Cluster) jittered(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.9 + 0.2*c.random.Float64()))
}

func (c *Cluster) startSchedule(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedule = schedule{join: now, poll: now}
	c.schedule.sync = now.Add(c.jittered(c.periods(1)))
	c.schedule.far = now.Add(c.jittered(c.periods(1)))
	c.schedule.refresh = now.Add(c.jittered(c.periods(refreshPeriods)))
}

// due reports whether the task is due and sets its next time.
func (c *Cluster) due(next *time.Time, now time.Time, periods int) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(c.jittered(c.periods(periods)))
	return true
}

// runDue starts the tasks that are due. A task that still runs isn't started again.
func (c *Cluster) runDue(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.schedule
	if c.stopped {
		return
	}
	if c.due(&s.sweep, now, sweepPeriods) {
		c.sweep(now)
	}
	if c.due(&s.refresh, now, refreshPeriods) {
		c.refreshCells(now)
	}
	if c.due(&s.sync, now, syncPeriods) {
		c.startTask(&s.syncing, func() { c.syncZone(ctx) })
	}
	if c.due(&s.far, now, c.farPeriods()) {
		c.startTask(&s.reaching, func() { c.reachFar(ctx) })
	}
	if c.soundDue(now) {
		c.startTask(&s.sounding, func() { c.soundZones(ctx) })
	}
	if c.due(&s.join, now, joinPeriods) && (c.alone() || len(c.unheardSeeds()) > 0) {
		c.startTask(&s.joining, func() { c.join(ctx) })
	}
	if c.due(&s.poll, now, c.engines.pollPeriods()) && c.shouldPoll(now) {
		c.startTask(&s.polling, func() { c.pollMachines(ctx) })
	}
}

// startTask is called with the lock held.
func (c *Cluster) startTask(running *bool, task func()) {
	if *running {
		return
	}
	*running = true
	c.calls.Go(func() {
		task()
		c.mu.Lock()
		*running = false
		c.mu.Unlock()
	})
}

func (c *Cluster) farPeriods() int {
	if len(c.zones)-1 > fewZones {
		return farPeriodsMany
	}
	return farPeriods
}

// alone reports whether no other member of the zone is known to live.
func (c *Cluster) alone() bool { return len(c.liveMembers()) == 0 }
