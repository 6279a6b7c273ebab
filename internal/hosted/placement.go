package hosted

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/suspension"
	"github.com/corkpulley/corkpulley/internal/follow"
)

// maxUnknownTime bounds how long a node that resumed from a suspension sends nothing because it has not read the
// evacuations and the engine list again. If reads still fail by then, the log is taken to be down for all nodes, so
// that no new evacuation can have been recorded.
const maxUnknownTime = 1500 * time.Millisecond

// lateCallTime bounds how long after a suspension a call may be handled that arrived before it.
const lateCallTime = 2 * time.Second

// placementKnowledge tracks whether this node knows which engines may get requests, and at which rate. After a
// suspension of the process this is unknown until the evacuations and the engine list have been read again. It is
// safe for concurrent use.
type placementKnowledge struct {
	// resumedAt returns the end of the newest suspension, zero without one. age returns the age of the older of the
	// two reads. now is a clock that keeps running while the machine is suspended.
	resumedAt func() time.Time
	age       func() time.Duration
	now       func() time.Time
	logger    zerolog.Logger
	// settled is the end of the newest suspension after which both have been read again.
	settled atomic.Pointer[time.Time]
}

func newPlacementKnowledge(
	detector *suspension.Detector, evacuations, engines *follow.Follower, logger zerolog.Logger,
) *placementKnowledge {
	return &placementKnowledge{
		resumedAt: detector.ResumedAt, now: boottime.Now, logger: logger,
		age: func() time.Duration { return max(evacuations.Age(), engines.Age()) },
	}
}

// isKnown reports whether requests may be sent. The first true result after a suspension is logged.
func (k *placementKnowledge) isKnown() bool {
	resumed := k.resumedAt()
	if settled := k.settled.Load(); resumed.IsZero() || settled != nil && settled.Equal(resumed) {
		return true
	}
	age, sinceResume := k.age(), k.now().Sub(resumed)
	if age >= follow.StaleAge && sinceResume < maxUnknownTime {
		return false
	}
	if before := k.settled.Swap(&resumed); before == nil || !before.Equal(resumed) {
		k.logger.Info().Dur("age_ms", age).Dur("awake_ms", sinceResume).Msg("sending on after a standstill")
	}
	return true
}

// callsMayBeLate reports whether a call handled now may have arrived before a suspension.
func (k *placementKnowledge) callsMayBeLate() bool {
	resumed := k.resumedAt()
	return !resumed.IsZero() && k.now().Sub(resumed) < lateCallTime
}
