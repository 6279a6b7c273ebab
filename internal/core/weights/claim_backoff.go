package weights

import "time"

const (
	// The delay before a node reclaims a stream doubles with each loss, from
	// minClaimDelay to maxClaimDelay.
	minClaimDelay = 5 * time.Second
	maxClaimDelay = 5 * time.Minute
	// lossRetention is the time without a loss after which the delay is reset.
	lossRetention = 15 * time.Minute
)

// ClaimBackoff is the backoff of one node's claims on a stream that it lost to another
// node. It limits ownership flapping during a network partition in which two nodes
// reach the log but not each other. Ownership is not needed for correctness, so any
// delay is safe. The zero value is ready to use.
type ClaimBackoff struct {
	delay  time.Duration
	lostAt time.Time
}

// RecordLoss records that another node claimed the stream.
func (c *ClaimBackoff) RecordLoss(now time.Time) {
	if now.Sub(c.lostAt) > lossRetention {
		c.delay = 0
	}
	c.delay = min(max(minClaimDelay, 2*c.delay), maxClaimDelay)
	c.lostAt = now
}

// MayClaim reports whether the backoff delay has passed.
func (c *ClaimBackoff) MayClaim(now time.Time) bool { return now.Sub(c.lostAt) >= c.delay }
