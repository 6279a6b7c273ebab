package ingress

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// scriptedPermits deny as often as they are told, and grant the engine then.
type scriptedPermits struct {
	denials int
	wait    time.Duration
	grant   string
	asked   [][]fleet.Engine
}

func (s *scriptedPermits) Ask(
	_ context.Context, _ string, engines []fleet.Engine,
) (coldpermits.Permit, coldpermits.Denial) {
	s.asked = append(s.asked, engines)
	if s.denials > 0 {
		s.denials--
		return coldpermits.Permit{}, coldpermits.Denial{Outcome: coldpermits.Paced, Wait: s.wait}
	}
	return coldpermits.Permit{Engine: incarnation.ID{Engine: s.grant}}, coldpermits.Denial{}
}

// withCold makes the relay's service one with a slow start and these of its engines cold.
func withCold(relay *Relay, permits *scriptedPermits, cold ...string) *Relay {
	relay.options.ColdPermits = permits
	known := relay.options.Fleet
	known.SetSlowStarts(map[string]routes.SlowStart{"s": {Period: time.Hour, RatePerSecond: 5}})
	for _, id := range cold {
		known.MarkDoubtful(incarnation.ID{Engine: id}, fleet.FirstSeen, time.Now())
	}
	return relay
}

var works = Answer{Status: http.StatusOK, Stamp: "stamp"}

func TestARequestGoesToTheColdEngineThatItsPermitNames(t *testing.T) {
	permits := &scriptedPermits{grant: "b"}
	engines := scriptedEngines{"a": {Status: http.StatusTeapot, Stamp: "stamp"}, "b": works}
	reply, failure := callOf(withCold(newRelay(engines, noCrashes{}, 2), permits, "a", "b"), "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply.Status, http.StatusOK)
	assert.Equal(t, len(permits.asked), 1)
	assert.Equal(t, len(permits.asked[0]), 2)
}

func TestARequestWithoutAPermitIsRefusedAtOnceWithTheTime(t *testing.T) {
	permits := &scriptedPermits{denials: 9, wait: 700 * time.Millisecond}
	_, failure := callOf(withCold(newRelay(scriptedEngines{"a": works}, noCrashes{}, 2), permits, "a"), "/x/1")
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
	assert.Equal(t, failure.Delay(), permits.wait)
	assert.Equal(t, len(permits.asked), 1)
}

// TestAFullWarmEngineTakesWhatNoColdOneMay: it may still queue the request.
func TestAFullWarmEngineTakesWhatNoColdOneMay(t *testing.T) {
	permits := &scriptedPermits{denials: 1}
	relay := withCold(newRelay(scriptedEngines{"cold": works, "warm": works}, noCrashes{}, 2), permits, "cold")
	relay.options.Fleet.Began(incarnation.ID{Engine: "warm"})
	reply, failure := callOf(relay, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply.Status, http.StatusOK)
	assert.Equal(t, len(permits.asked), 1)
}

// TestARequestDoesNotLeaveForAnEngineThatTurnedColdSinceItWasChosen guards against requests beyond an engine's rate
// that were chosen for it while it was warm and whose dials ended later.
func TestARequestDoesNotLeaveForAnEngineThatTurnedColdSinceItWasChosen(t *testing.T) {
	engines := &slowConnections{}
	relay, known := relayOfZones(engines)
	withCold(relay, &scriptedPermits{denials: 9})
	turnedCold := ""
	engines.dial = func(engine fleet.Engine) {
		if turnedCold == "" {
			turnedCold = engine.ID
			known.MarkDoubtful(engine.Incarnation(), fleet.Unreached, time.Now())
		}
	}
	reply, failure := callOf(relay, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, len(engines.sent), 1)
	assert.Assert(t, engines.sent[0] != turnedCold)
	assert.Equal(t, reply.Stamp, engines.sent[0])
	assert.Assert(t, !known.Suspected(incarnation.ID{Engine: turnedCold}, time.Now()))
}

// TestARequestThatHasBegunWaitsForAPermit: a refusal would say that it did not run.
func TestARequestThatHasBegunWaitsForAPermit(t *testing.T) {
	permits := &scriptedPermits{denials: 2, wait: time.Millisecond, grant: "cold"}
	relay := withCold(newRelay(scriptedEngines{"lost": {}, "cold": works}, noCrashes{}, 3), permits, "cold")
	reply, failure := callOf(relay, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply.Status, http.StatusOK)
	assert.Equal(t, len(permits.asked), 3)
}

// TestAnEngineThatLostItsConnectionCountsAsCold for all requests after it.
func TestAnEngineThatLostItsConnectionCountsAsCold(t *testing.T) {
	relay := withCold(newRelay(scriptedEngines{"lost": {}}, noCrashes{}, 1), &scriptedPermits{})
	_, failure := callOf(relay, "/x/1")
	assert.Equal(t, failure.Kind, errkind.EngineFailed)
	found, cold := relay.options.Fleet.Cold(incarnation.ID{Engine: "lost"}, time.Now())
	assert.Assert(t, cold)
	assert.Equal(t, found.Reason, fleet.Unreached)
}

// leavingCaller is an engine that is being dialled when the caller leaves.
type leavingCaller struct{ leave context.CancelFunc }

func (e leavingCaller) Send(context.Context, fleet.Engine, Call) (*Answer, error) {
	e.leave()
	return nil, &SendError{Cause: io.ErrUnexpectedEOF}
}

// TestACallerThatLeavesSaysNothingOfTheEngine: it stays warm.
func TestACallerThatLeavesSaysNothingOfTheEngine(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	relay := withCold(newRelay(scriptedEngines{"a": works}, noCrashes{}, 2), &scriptedPermits{})
	relay.options.Engines = leavingCaller{leave: leave}
	_, failure := relay.Call(ctx, &Request{
		ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
	})
	assert.Assert(t, failure != nil)
	_, cold := relay.options.Fleet.Cold(incarnation.ID{Engine: "a"}, time.Now())
	assert.Assert(t, !cold)
}

// TestAPermitForAnEngineThatHasGoneIsADenial: the next question names the others.
func TestAPermitForAnEngineThatHasGoneIsADenial(t *testing.T) {
	permits := &scriptedPermits{grant: "gone"}
	_, failure := callOf(withCold(newRelay(scriptedEngines{"a": works}, noCrashes{}, 2), permits, "a"), "/x/1")
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
	assert.ErrorContains(t, failure, "only just started")
}
