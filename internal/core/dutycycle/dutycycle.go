// Package dutycycle limits the share of its time that a process spends on repeated work: the longer a round
// takes, the longer the wait before the next. It has no input, output or clock; the time of each event is
// passed in.
package dutycycle

import "time"

// maxWait bounds the wait after a round, since a long round may be one during which the process was paused. Rounds
// that would require a longer wait exceed their share: at a share of 1/20 those from 105 ms on.
const maxWait = 2 * time.Second

// Cycle paces the rounds of repeated work. It is not safe for concurrent use.
type Cycle struct {
	period time.Duration
	share  float64
	next   time.Time
}

// New returns a cycle whose rounds start at least period apart and take at most the given share (0 to 1) of
// the time, unless that requires a wait above maxWait.
func New(period time.Duration, share float64) *Cycle {
	return &Cycle{period: period, share: share}
}

// Due reports whether a round may start.
func (c *Cycle) Due(now time.Time) bool { return !now.Before(c.next) }

// Wait returns the time until the next round may start.
func (c *Cycle) Wait(now time.Time) time.Duration { return max(0, c.next.Sub(now)) }

// Ended records the start and end of a round.
func (c *Cycle) Ended(began, ended time.Time) {
	took := ended.Sub(began)
	wait := time.Duration(float64(took)/c.share) - took
	c.next = ended.Add(max(began.Add(c.period).Sub(ended), min(wait, maxWait)))
}
