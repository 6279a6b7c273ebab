package cluster

import (
	"context"
	"time"
)

const (
	// Intervals of the periodic tasks, in protocol periods (500 ms by default).
	syncPeriods                = 3 // sync with one member of the zone
	remotePullPeriods          = 2 // pull from one other zone
	remotePullPeriodsManyZones = 4 // same, with more than manyZonesThreshold other zones
	manyZonesThreshold         = 4
	joinPeriods                = 2  // join attempts
	pollPeriods                = 2  // machine list reads
	pollPeriodsFailing         = 6  // machine list, after a failed read
	refreshPeriods             = 12 // announcement of cell loads
	sweepPeriods               = 2  // removal of expired state
	// wantContactsEvery: one in this many remote pulls requests contacts.
	wantContactsEvery = 16
)

// schedule holds the next due time of each periodic task, and which tasks are running.
type schedule struct {
	sync, remote, join, poll, refresh, sweep, zoneCheck     time.Time
	remotePullCount                                         int
	polling, joining, syncing, pullingRemote, checkingZones bool
}

// periods converts protocol periods to a duration.
func (c *Cluster) periods(count int) time.Duration {
	return time.Duration(count) * c.options.ProbeInterval
}

// jittered varies a period by up to 10 % to avoid synchronization between nodes.
func (c *Cluster) jittered(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.9 + 0.2*c.random.Float64()))
}

func (c *Cluster) startSchedule(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedule = schedule{join: now, poll: now}
	c.schedule.sync = now.Add(c.jittered(c.periods(1)))
	c.schedule.remote = now.Add(c.jittered(c.periods(1)))
	c.schedule.refresh = now.Add(c.jittered(c.periods(refreshPeriods)))
}

// due reports whether the task is due and, if so, schedules it again. Must be called with mu held.
func (c *Cluster) due(next *time.Time, now time.Time, periods int) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(c.jittered(c.periods(periods)))
	return true
}

// startDueTasks starts the tasks that are due and not already running.
func (c *Cluster) startDueTasks(ctx context.Context, now time.Time) {
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
		c.refreshOwnCells(now)
	}
	if c.due(&s.sync, now, syncPeriods) {
		c.startTask(&s.syncing, func() { c.syncZone(ctx) })
	}
	if c.due(&s.remote, now, c.remotePullPeriods()) {
		c.startTask(&s.pullingRemote, func() { c.pullNextRemoteZone(ctx) })
	}
	if c.zoneCheckDue(now) {
		c.startTask(&s.checkingZones, func() { c.checkZones(ctx) })
	}
	if c.due(&s.join, now, joinPeriods) && (c.aloneInZone() || len(c.unansweredSeeds()) > 0) {
		c.startTask(&s.joining, func() { c.join(ctx) })
	}
	if c.due(&s.poll, now, c.engines.pollPeriods()) && c.shouldPoll(now) {
		c.startTask(&s.polling, func() { c.pollMachines(ctx) })
	}
}

// startTask runs a task in the background unless it is already running. Must be called with mu held.
func (c *Cluster) startTask(running *bool, task func()) {
	if *running {
		return
	}
	*running = true
	c.background.Go(func() {
		task()
		c.mu.Lock()
		*running = false
		c.mu.Unlock()
	})
}

func (c *Cluster) remotePullPeriods() int {
	if len(c.zones)-1 > manyZonesThreshold {
		return remotePullPeriodsManyZones
	}
	return remotePullPeriods
}

// aloneInZone reports whether no other live member of the zone is known.
func (c *Cluster) aloneInZone() bool { return len(c.liveMembers()) == 0 }
