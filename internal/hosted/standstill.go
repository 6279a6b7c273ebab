package hosted

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/standstill"
	"github.com/corkpulley/corkpulley/internal/follow"
)

// unknownAtMost bounds how long after a standstill this node sends nothing because it has not read the
// evacuations and the engine list again. Reads of the log, directly or by way of other nodes, that have not
// worked by then mean that the log is away for all: no operator could have written an evacuation.
const unknownAtMost = 1500 * time.Millisecond

// lateOrderTime bounds how long after a standstill a call may still be handled that arrived before it.
const lateOrderTime = 2 * time.Second

// placementKnowledge reports whether this node knows which engines may get requests, and at which rate. After
// a standstill it does not until it has read both the evacuations and the engine list again. It is safe for
// concurrent use.
type placementKnowledge struct {
	// wokeAt is when the newest standstill ended, zero when there was none; age is how old the older one of
	// the two is, now a clock that goes on while the machine is suspended.
	wokeAt func() time.Time
	age    func() time.Duration
	now    func() time.Time
	logger zerolog.Logger
	// settled is the newest standstill after which both were read again.
	settled atomic.Pointer[time.Time]
}

func newPlacementKnowledge(
	watch *standstill.Watch, evacuations, engines *follow.Follower, logger zerolog.Logger,
) *placementKnowledge {
	return &placementKnowledge{
		wokeAt: watch.WokeAt, now: boottime.Now, logger: logger,
		age: func() time.Duration { return max(evacuations.Age(), engines.Age()) },
	}
}

// known reports whether requests may be sent. The first call after a standstill that does logs it.
func (k *placementKnowledge) known() bool {
	woke := k.wokeAt()
	if settled := k.settled.Load(); woke.IsZero() || settled != nil && settled.Equal(woke) {
		return true
	}
	age, awake := k.age(), k.now().Sub(woke)
	if age >= follow.StaleAge && awake < unknownAtMost {
		return false
	}
	if before := k.settled.Swap(&woke); before == nil || !before.Equal(woke) {
		k.logger.Info().Dur("age_ms", age).Dur("awake_ms", awake).Msg("sending on after a standstill")
	}
	return true
}

// ordersMayBeLate reports whether a call that is handled now may have come before a standstill.
func (k *placementKnowledge) ordersMayBeLate() bool {
	woke := k.wokeAt()
	return !woke.IsZero() && k.now().Sub(woke) < lateOrderTime
}
