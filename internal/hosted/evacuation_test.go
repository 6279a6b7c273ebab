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

// suspended is the knowledge of a node whose machine was suspended for an hour, and its clock.
type suspended struct {
	placementKnowledge
	at     time.Time
	woke   time.Time
	readAt time.Time
}

func newSuspended() *suspended {
	began := time.Unix(1000, 0)
	s := &suspended{at: began.Add(time.Hour), woke: began.Add(time.Hour), readAt: began}
	s.placementKnowledge.wokeAt = func() time.Time { return s.woke }
	s.placementKnowledge.age = func() time.Duration { return s.at.Sub(s.readAt) }
	s.placementKnowledge.now = func() time.Time { return s.at }
	s.placementKnowledge.logger = zerolog.Nop()
	return s
}

// TestAConfigurationAloneIsNotEnoughToServe: the control topic has not been read whole, and what is
// missing may be an evacuation.
func TestAConfigurationAloneIsNotEnoughToServe(t *testing.T) {
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

// TestAfterAStandstillNothingIsSentUntilTheEvacuationsAreRead: what the node knows is an hour old.
func TestAfterAStandstillNothingIsSentUntilTheEvacuationsAreRead(t *testing.T) {
	s := newSuspended()
	assert.Assert(t, !s.known())
	s.at = s.at.Add(100 * time.Millisecond)
	assert.Assert(t, !s.known())
	s.readAt = s.at
	assert.Assert(t, s.known())
	// The log goes away afterwards: nobody can evacuate anything.
	s.at = s.at.Add(time.Minute)
	assert.Assert(t, s.known())
	s.woke = s.at
	assert.Assert(t, !s.known(), "the next standstill went unnoticed")
}

// TestInAnOutageOfTheLogANodeThatWokeServesOn: after the time in which it would have learned.
func TestInAnOutageOfTheLogANodeThatWokeServesOn(t *testing.T) {
	s := newSuspended()
	s.at = s.at.Add(unknownAtMost - 1)
	assert.Assert(t, !s.known())
	s.at = s.at.Add(1)
	assert.Assert(t, s.known())
}

// TestAShortStandstillHoldsNothingUp: what is known is as new as without it.
func TestAShortStandstillHoldsNothingUp(t *testing.T) {
	s := newSuspended()
	s.readAt = s.at.Add(-follow.StaleAge + 1)
	assert.Assert(t, s.known())
}

// TestAnOrderThatLayHereDuringAStandstillIsNotWritten: its operator may have been told otherwise by another
// node since, and have taken the zone back.
func TestAnOrderThatLayHereDuringAStandstillIsNotWritten(t *testing.T) {
	s := newSuspended()
	n := &node{knowledge: &s.placementKnowledge, platform: memPlatform{}, log: memlog.New()}
	err := n.writeEvacuation(t.Context(), Evacuation{Zone: "za", InForce: true})
	assert.Assert(t, err != nil, "the order was written")
	assert.Equal(t, errkind.KindOf(err), errkind.NotReady)
	s.at = s.at.Add(lateOrderTime)
	assert.NilError(t, n.writeEvacuation(t.Context(), Evacuation{Zone: "za", InForce: true}))
}

// memPlatform names a topic of a log in memory.
type memPlatform struct{ Platform }

func (memPlatform) ControlTopic() string { return "control" }

func (memPlatform) EncodeEvacuation(evacuation Evacuation) eventlog.KeyedRecord {
	return eventlog.KeyedRecord{Key: evacuation.Zone, Value: []byte("{}"), Deleted: !evacuation.InForce}
}
