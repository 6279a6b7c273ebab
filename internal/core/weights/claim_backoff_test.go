package weights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against ownership flapping between two partitioned nodes.
func TestClaimBackoffLimitsAlternatingClaims(t *testing.T) {
	var nodes [2]ClaimBackoff
	owner, claims := 0, 0
	start := time.Unix(1_000_000, 0)
	for second := range 3600 {
		now := start.Add(time.Duration(second) * time.Second)
		other := 1 - owner
		if nodes[other].MayClaim(now) {
			nodes[owner].RecordLoss(now)
			owner = other
			claims++
		}
	}
	assert.Assert(t, claims < 40, "%d claims in an hour", claims)
}

func TestClaimBackoffResetsAfterLossRetention(t *testing.T) {
	var backoff ClaimBackoff
	now := time.Unix(1_000_000, 0)
	assert.Assert(t, backoff.MayClaim(now))
	for range 10 {
		backoff.RecordLoss(now)
	}
	assert.Assert(t, !backoff.MayClaim(now.Add(maxClaimDelay-time.Second)))
	now = now.Add(lossRetention + time.Second)
	backoff.RecordLoss(now)
	assert.Assert(t, backoff.MayClaim(now.Add(minClaimDelay)))
}
