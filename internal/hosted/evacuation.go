package hosted

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/standstill"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/follow"
)

// unknownAtMost bounds how long after a standstill this node sends nothing because it has not learned
// the evacuations again. Reads of the log, directly or by way of other nodes, that have not worked by
// then mean that the log is away for all: nobody could have written an evacuation.
const unknownAtMost = 1500 * time.Millisecond

// lateOrderTime is how long after a standstill an operator's order may have lain here since before it. Calls
// that have lain are handled at once, also where a processor is short.
const lateOrderTime = 2 * time.Second

// takeEvacuation puts the operator's record for a zone in force.
func (n *node) takeEvacuation(evacuation Evacuation, offset int64) {
	now := time.Now()
	change := n.fleet.TakeBack
	if evacuation.InForce {
		change = n.fleet.Evacuate
	} else if n.fleet.IsEvacuated(evacuation.Zone) {
		// Its engines may have turned cold meanwhile; none may be chosen as a warm one first.
		n.fleet.MarkZoneDoubtful(evacuation.Zone, fleet.ZoneReturned, now)
	}
	if !change(evacuation.Zone, now, offset) {
		return
	}
	n.metrics.evacuated.Set(float64(len(n.fleet.EvacuatedZones())))
	engines, inFlight := 0, 0
	for _, zone := range n.fleet.Zones() {
		if zone.Name == evacuation.Zone {
			engines, inFlight = zone.Engines, zone.InFlight
		}
	}
	line := n.logger.Info().Str("engine_zone", evacuation.Zone).Int64("offset", offset).Int("engines", engines).
		Int("in_flight", inFlight)
	if evacuation.InForce {
		line.Msg("zone evacuated")
		return
	}
	line.Msg("zone taken back")
}

// zoneKnowledge tells whether this node knows which zones are evacuated. After a standstill it does
// not, until it has read the control topic again. It is safe for concurrent use.
type zoneKnowledge struct {
	// wokeAt is when the newest standstill ended, zero when there was none; age is how old what is
	// known of the control topic is, now a clock that goes on while the machine is suspended.
	wokeAt func() time.Time
	age    func() time.Duration
	now    func() time.Time
	logger zerolog.Logger
	// settled is the newest standstill after which the evacuations were learned again.
	settled atomic.Pointer[time.Time]
}

func newZoneKnowledge(watch *standstill.Watch, control *follow.Follower, logger zerolog.Logger) *zoneKnowledge {
	return &zoneKnowledge{wokeAt: watch.WokeAt, age: control.Age, now: boottime.Now, logger: logger}
}

func (k *zoneKnowledge) known() bool {
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

// ordersMayBeLate tells whether a call that is handled now may have come before a standstill.
func (k *zoneKnowledge) ordersMayBeLate() bool {
	woke := k.wokeAt()
	return !woke.IsZero() && k.now().Sub(woke) < lateOrderTime
}
