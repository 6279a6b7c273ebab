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

// fakeClockGuard is a resumeGuard with a fake clock, at the end of a suspension of one hour.
type fakeClockGuard struct {
	resumeGuard
	clock   time.Time
	resumed time.Time
	readAt  time.Time
}

func newFakeClockGuard() *fakeClockGuard {
	began := time.Unix(1000, 0)
	g := &fakeClockGuard{clock: began.Add(time.Hour), resumed: began.Add(time.Hour), readAt: began}
	g.resumeGuard.resumedAt = func() time.Time { return g.resumed }
	g.resumeGuard.age = func() time.Duration { return g.clock.Sub(g.readAt) }
	g.resumeGuard.now = func() time.Time { return g.clock }
	g.resumeGuard.logger = zerolog.Nop()
	return g
}

// Guards against serving before the control topic has been read in full: the missing part may hold an evacuation.
func TestNotReadyBeforeControlTopicIsRead(t *testing.T) {
	n := &node{state: newState(0), fleet: fleet.New()}
	n.controlFollower = follow.New(memlog.New(), "control", func(eventlog.KeyedRecord) {}, pacing.Budget{}, zerolog.Nop())
	n.state.setTable(routes.NewTable(routes.Definition{Version: 1}))
	n.fleet.Put(fleet.Engine{ID: "e"})
	failure := n.Relay(nil, t.Context(), &ingress.Request{})
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Kind, errkind.NotReady)
	assert.ErrorContains(t, failure, "evacuated")
	assert.ErrorContains(t, n.ready(), "evacuated")
}

// Guards against sending requests based on evacuations and engines read before the suspension.
func TestNothingIsSentAfterSuspensionUntilRead(t *testing.T) {
	g := newFakeClockGuard()
	assert.Assert(t, !g.allowsSending())
	g.clock = g.clock.Add(100 * time.Millisecond)
	assert.Assert(t, !g.allowsSending())
	g.readAt = g.clock
	assert.Assert(t, g.allowsSending())
	// The log fails afterwards, so no evacuation can be recorded.
	g.clock = g.clock.Add(time.Minute)
	assert.Assert(t, g.allowsSending())
	g.resumed = g.clock
	assert.Assert(t, !g.allowsSending(), "the next suspension was not detected")
}

// Guards against resumed nodes that send nothing for as long as the log is unavailable.
func TestSendingAfterSuspensionDuringLogOutage(t *testing.T) {
	g := newFakeClockGuard()
	g.clock = g.clock.Add(maxHoldTime - 1)
	assert.Assert(t, !g.allowsSending())
	g.clock = g.clock.Add(1)
	assert.Assert(t, g.allowsSending())
}

// Guards against a short suspension that delays requests although the data is recent.
func TestSendingAfterShortSuspension(t *testing.T) {
	g := newFakeClockGuard()
	g.readAt = g.clock.Add(-follow.StaleAge + 1)
	assert.Assert(t, g.allowsSending())
}

// Guards against a delayed request that overrides a later one which the operator sent to another node.
func TestWriteEvacuationRefusesDelayedCall(t *testing.T) {
	g := newFakeClockGuard()
	n := &node{resumeGuard: &g.resumeGuard, platform: controlPlatform{}, log: memlog.New()}
	err := n.writeEvacuation(t.Context(), Evacuation{Zone: "za", InForce: true})
	assert.Assert(t, err != nil, "the evacuation was written")
	assert.Equal(t, errkind.KindOf(err), errkind.NotReady)
	g.clock = g.clock.Add(lateCallWindow)
	assert.NilError(t, n.writeEvacuation(t.Context(), Evacuation{Zone: "za", InForce: true}))
}

// controlPlatform is a platform with a control topic only.
type controlPlatform struct{ Platform }

func (controlPlatform) ControlTopic() string { return "control" }

func (controlPlatform) EncodeEvacuation(evacuation Evacuation) eventlog.KeyedRecord {
	return eventlog.KeyedRecord{Key: evacuation.Zone, Value: []byte("{}"), Deleted: !evacuation.InForce}
}
