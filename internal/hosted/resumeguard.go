package hosted

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/suspension"
	"github.com/corkpulley/corkpulley/internal/follow"
)

// maxHoldTime bounds how long a node that resumed from a suspension sends nothing because it has not read the
// evacuations and the engine list again. If reads still fail by then, the log is taken to be down for all nodes, so
// that no new evacuation can have been recorded.
const maxHoldTime = 1500 * time.Millisecond

// lateCallWindow is the time after a suspension within which a call being handled may have arrived before it.
const lateCallWindow = 2 * time.Second

// resumeGuard holds requests back after a suspension of the process until the evacuations and the engine list have been
// read again: zones may have been evacuated and engines may have become cold meanwhile. It is safe for concurrent use.
type resumeGuard struct {
	// resumedAt returns the end of the newest suspension, zero without one. age returns the time since the evacuations
	// and the engine list were last both up to date. now is a clock that keeps running while the machine is suspended.
	resumedAt func() time.Time
	age       func() time.Duration
	now       func() time.Time
	logger    zerolog.Logger
	// settled is the end of the newest suspension that no longer holds requests back.
	settled atomic.Pointer[time.Time]
}

func newResumeGuard(
	detector *suspension.Detector, evacuations, engines *follow.Follower, logger zerolog.Logger,
) *resumeGuard {
	return &resumeGuard{
		resumedAt: detector.ResumedAt, now: boottime.Now, logger: logger,
		age: func() time.Duration { return max(evacuations.Age(), engines.Age()) },
	}
}

// allowsSending reports whether requests may be sent. The first true result after a suspension is logged.
func (g *resumeGuard) allowsSending() bool {
	resumed := g.resumedAt()
	if settled := g.settled.Load(); resumed.IsZero() || settled != nil && settled.Equal(resumed) {
		return true
	}
	age, sinceResume := g.age(), g.now().Sub(resumed)
	if age >= follow.StaleAge && sinceResume < maxHoldTime {
		return false
	}
	if before := g.settled.Swap(&resumed); before == nil || !before.Equal(resumed) {
		g.logger.Info().Dur("age_ms", age).Dur("awake_ms", sinceResume).Msg("sending resumed after a suspension")
	}
	return true
}

// callsMayBeLate reports whether a call handled now may have arrived before a suspension.
func (g *resumeGuard) callsMayBeLate() bool {
	resumed := g.resumedAt()
	return !resumed.IsZero() && g.now().Sub(resumed) < lateCallWindow
}
