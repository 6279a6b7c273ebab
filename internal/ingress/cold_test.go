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

// scriptedPermits denies the given number of permit requests and then grants permits for one engine.
type scriptedPermits struct {
	denials int
	wait    time.Duration
	grant   string
	asked   [][]fleet.Engine
}

func (s *scriptedPermits) RequestPermit(
	_ context.Context, _ string, engines []fleet.Engine,
) (coldpermits.Permit, coldpermits.Decision) {
	s.asked = append(s.asked, engines)
	if s.denials > 0 {
		s.denials--
		return coldpermits.Permit{}, coldpermits.Decision{Outcome: coldpermits.RateLimited, Wait: s.wait}
	}
	return coldpermits.Permit{Engine: incarnation.ID{Engine: s.grant}}, coldpermits.Decision{}
}

// withColdEngines configures a slow start for the relay's service and marks the given engines as cold.
func withColdEngines(relay *Relay, permits *scriptedPermits, cold ...string) *Relay {
	relay.options.ColdPermits = permits
	engineFleet := relay.options.Fleet
	engineFleet.SetSlowStarts(map[string]routes.SlowStart{"s": {Period: time.Hour, RatePerSecond: 5}})
	for _, id := range cold {
		engineFleet.MarkPossiblyCold(incarnation.ID{Engine: id}, fleet.FirstSeen, time.Now())
	}
	return relay
}

var successAnswer = Answer{Status: http.StatusOK, Stamp: "stamp"}

func TestRequestGoesToPermittedColdEngine(t *testing.T) {
	permits := &scriptedPermits{grant: "b"}
	engines := scriptedEngines{"a": {Status: http.StatusTeapot, Stamp: "stamp"}, "b": successAnswer}
	reply, failure := callPath(withColdEngines(newRelay(engines, noCrashes{}, 2), permits, "a", "b"), "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply.Status, http.StatusOK)
	assert.Equal(t, len(permits.asked), 1)
	assert.Equal(t, len(permits.asked[0]), 2)
}

func TestRequestWithoutPermitIsRefusedWithRetryAfter(t *testing.T) {
	permits := &scriptedPermits{denials: 9, wait: 700 * time.Millisecond}
	_, failure := callPath(withColdEngines(newRelay(scriptedEngines{"a": successAnswer}, noCrashes{}, 2), permits, "a"), "/x/1")
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
	assert.Equal(t, failure.Delay(), permits.wait)
	assert.Equal(t, len(permits.asked), 1)
}

// TestDeniedRequestGoesToFullWarmEngine: a warm engine without a free slot may still queue the request.
func TestDeniedRequestGoesToFullWarmEngine(t *testing.T) {
	permits := &scriptedPermits{denials: 1}
	relay := withColdEngines(newRelay(scriptedEngines{"cold": successAnswer, "warm": successAnswer}, noCrashes{}, 2), permits, "cold")
	relay.options.Fleet.RequestStarted(incarnation.ID{Engine: "warm"})
	reply, failure := callPath(relay, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply.Status, http.StatusOK)
	assert.Equal(t, len(permits.asked), 1)
}

// TestRequestIsNotSentToEngineThatTurnedCold guards against requests beyond a cold engine's rate, which were
// assigned to it while it was warm and whose dials ended later.
func TestRequestIsNotSentToEngineThatTurnedCold(t *testing.T) {
	engines := &slowDialEngines{}
	relay, engineFleet := newZonedRelay(engines)
	withColdEngines(relay, &scriptedPermits{denials: 9})
	turnedCold := ""
	engines.dial = func(engine fleet.Engine) {
		if turnedCold == "" {
			turnedCold = engine.ID
			engineFleet.MarkPossiblyCold(engine.Incarnation(), fleet.Unreached, time.Now())
		}
	}
	reply, failure := callPath(relay, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, len(engines.sent), 1)
	assert.Assert(t, engines.sent[0] != turnedCold)
	assert.Equal(t, reply.Stamp, engines.sent[0])
	assert.Assert(t, !engineFleet.Suspected(incarnation.ID{Engine: turnedCold}, time.Now()))
}

// TestStartedRequestWaitsForPermit: a refusal would wrongly say that the request was not executed.
func TestStartedRequestWaitsForPermit(t *testing.T) {
	permits := &scriptedPermits{denials: 2, wait: time.Millisecond, grant: "cold"}
	relay := withColdEngines(newRelay(scriptedEngines{"lost": {}, "cold": successAnswer}, noCrashes{}, 3), permits, "cold")
	reply, failure := callPath(relay, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply.Status, http.StatusOK)
	assert.Equal(t, len(permits.asked), 3)
}

func TestEngineIsColdAfterLostConnection(t *testing.T) {
	relay := withColdEngines(newRelay(scriptedEngines{"lost": {}}, noCrashes{}, 1), &scriptedPermits{})
	_, failure := callPath(relay, "/x/1")
	assert.Equal(t, failure.Kind, errkind.EngineFailed)
	found, cold := relay.options.Fleet.Cold(incarnation.ID{Engine: "lost"}, time.Now())
	assert.Assert(t, cold)
	assert.Equal(t, found.Reason, fleet.Unreached)
}

// cancelingEngine is an engine during whose dial the caller cancels.
type cancelingEngine struct{ cancelCaller context.CancelFunc }

func (e cancelingEngine) Send(context.Context, fleet.Engine, Call) (*Answer, error) {
	e.cancelCaller()
	return nil, &SendError{Cause: io.ErrUnexpectedEOF}
}

// TestCallerCancellationKeepsEngineWarm: a canceled dial does not show that the engine is unreachable.
func TestCallerCancellationKeepsEngineWarm(t *testing.T) {
	ctx, cancelCaller := context.WithCancel(t.Context())
	relay := withColdEngines(newRelay(scriptedEngines{"a": successAnswer}, noCrashes{}, 2), &scriptedPermits{})
	relay.options.Engines = cancelingEngine{cancelCaller: cancelCaller}
	_, failure := relay.Call(ctx, &Request{
		ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
	})
	assert.Assert(t, failure != nil)
	_, cold := relay.options.Fleet.Cold(incarnation.ID{Engine: "a"}, time.Now())
	assert.Assert(t, !cold)
}

// TestPermitForRemovedEngineIsTreatedAsDenial: the engine is removed while its permit is requested.
func TestPermitForRemovedEngineIsTreatedAsDenial(t *testing.T) {
	permits := &scriptedPermits{grant: "gone"}
	_, failure := callPath(withColdEngines(newRelay(scriptedEngines{"a": successAnswer}, noCrashes{}, 2), permits, "a"), "/x/1")
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
	assert.ErrorContains(t, failure, "only just started")
}
