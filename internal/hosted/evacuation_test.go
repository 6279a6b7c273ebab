package hosted

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/ingress"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// suspendedPlacement is a placementKnowledge with a fake clock, at the end of a suspension of one hour.
type suspendedPlacement struct {
	placementKnowledge
	clock   time.Time
	resumed time.Time
	readAt  time.Time
}

func newSuspendedPlacement() *suspendedPlacement {
	began := time.Unix(1000, 0)
	s := &suspendedPlacement{clock: began.Add(time.Hour), resumed: began.Add(time.Hour), readAt: began}
	s.placementKnowledge.resumedAt = func() time.Time { return s.resumed }
	s.placementKnowledge.age = func() time.Duration { return s.clock.Sub(s.readAt) }
	s.placementKnowledge.now = func() time.Time { return s.clock }
	s.placementKnowledge.logger = zerolog.Nop()
	return s
}

// Guards against serving before the control topic has been read in full: the missing part may hold an evacuation.
func TestNotReadyBeforeControlTopicIsRead(t *testing.T) {
	n := &node{state: newState(0), fleet: fleet.New()}
	n.control = follow.New(memlog.New(), "control", func(eventlog.KeyedRecord) {}, pacing.Budget{}, zerolog.Nop())
	n.state.setTable(routes.NewTable(routes.Definition{Version: 1}))
	n.fleet.Put(fleet.Engine{ID: "e"})
	failure := n.Relay(nil, t.Context(), &ingress.Request{})
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Kind, errkind.NotReady)
	assert.ErrorContains(t, failure, "evacuated")
	assert.ErrorContains(t, n.ready(), "evacuated")
}

// Guards against sending by data from before the suspension.
func TestPlacementUnknownAfterSuspension(t *testing.T) {
	s := newSuspendedPlacement()
	assert.Assert(t, !s.isKnown())
	s.clock = s.clock.Add(100 * time.Millisecond)
	assert.Assert(t, !s.isKnown())
	s.readAt = s.clock
	assert.Assert(t, s.isKnown())
	// The log fails afterwards, so no evacuation can be recorded.
	s.clock = s.clock.Add(time.Minute)
	assert.Assert(t, s.isKnown())
	s.resumed = s.clock
	assert.Assert(t, !s.isKnown(), "the next suspension was not detected")
}

// Guards against an outage of the log that blocks resumed nodes.
func TestPlacementKnownAfterSuspensionDuringLogOutage(t *testing.T) {
	s := newSuspendedPlacement()
	s.clock = s.clock.Add(maxUnknownTime - 1)
	assert.Assert(t, !s.isKnown())
	s.clock = s.clock.Add(1)
	assert.Assert(t, s.isKnown())
}

// Guards against a short suspension that delays requests although the data is recent.
func TestPlacementKnownAfterShortSuspension(t *testing.T) {
	s := newSuspendedPlacement()
	s.readAt = s.clock.Add(-follow.StaleAge + 1)
	assert.Assert(t, s.isKnown())
}

// Guards against a delayed request that overrides a later one which the operator sent to another node.
func TestWriteEvacuationRefusesDelayedCall(t *testing.T) {
	s := newSuspendedPlacement()
	n := &node{placement: &s.placementKnowledge, platform: memPlatform{}, log: memlog.New()}
	err := n.writeEvacuation(t.Context(), Evacuation{Zone: "za", InForce: true})
	assert.Assert(t, err != nil, "the evacuation was written")
	assert.Equal(t, errkind.KindOf(err), errkind.NotReady)
	s.clock = s.clock.Add(lateCallTime)
	assert.NilError(t, n.writeEvacuation(t.Context(), Evacuation{Zone: "za", InForce: true}))
}

// memPlatform is a platform with a control topic only.
type memPlatform struct{ Platform }

func (memPlatform) ControlTopic() string { return "control" }

func (memPlatform) EncodeEvacuation(evacuation Evacuation) eventlog.KeyedRecord {
	return eventlog.KeyedRecord{Key: evacuation.Zone, Value: []byte("{}"), Deleted: !evacuation.InForce}
}
