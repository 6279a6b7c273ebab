package weights

import "time"

const (
	// firstContestDelay is how long a node that lost a stream waits before it
	// claims it again; the wait doubles with each further loss.
	firstContestDelay   = 5 * time.Second
	longestContestDelay = 5 * time.Minute
	// contestMemory is how long after a loss the earlier ones still count.
	contestMemory = 15 * time.Minute
)

// Contest slows down the claims of one node on one stream after it lost the
// stream to another node. Two parts of the system that reach the log, but not
// each other, each take the other's owner for dead; without a delay they would
// take the stream from each other at every look for as long as that lasts.
// Claims decide no promise, so any delay is safe. The zero value is ready.
type Contest struct {
	delay  time.Duration
	lostAt time.Time
}

// Lost notes that another node took the stream.
func (c *Contest) Lost(now time.Time) {
	if now.Sub(c.lostAt) > contestMemory {
		c.delay = 0
	}
	c.delay = min(max(firstContestDelay, 2*c.delay), longestContestDelay)
	c.lostAt = now
}

// MayClaim reports whether the node may claim the stream.
func (c *Contest) MayClaim(now time.Time) bool { return now.Sub(c.lostAt) >= c.delay }
