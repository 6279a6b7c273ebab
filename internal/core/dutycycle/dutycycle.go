// Package dutycycle bounds the share of its time that a process spends on work
// which it repeats: the longer a round takes, the longer the wait before the next.
// It has no input, output or clock; every event comes with its time.
package dutycycle

import "time"

// maxWait bounds the wait after work. Longer work exceeds its share (at a share of 1/20 from 105 ms on), since work
// during which the process stood still cannot be told from it.
const maxWait = 2 * time.Second

// Cycle paces one piece of repeated work. It is not safe for concurrent use.
type Cycle struct {
	period time.Duration
	share  float64
	next   time.Time
}

// New returns a cycle whose rounds begin at least period apart and take at most
// the given share (0 to 1) of the time, as far as that puts none off for longer than maxWait.
func New(period time.Duration, share float64) *Cycle {
	return &Cycle{period: period, share: share}
}

// Due tells whether a round may begin.
func (c *Cycle) Due(now time.Time) bool { return !now.Before(c.next) }

// Wait is the time until the next round may begin.
func (c *Cycle) Wait(now time.Time) time.Duration { return max(0, c.next.Sub(now)) }

// Ended takes the time of a round.
func (c *Cycle) Ended(began, ended time.Time) {
	took := ended.Sub(began)
	wait := time.Duration(float64(took)/c.share) - took
	c.next = ended.Add(max(began.Add(c.period).Sub(ended), min(wait, maxWait)))
}
