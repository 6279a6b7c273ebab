package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/sendgate"
)

// slowDialEngines calls dial and then checks whether the request may still be sent, like the engine client.
type slowDialEngines struct {
	scriptedEngines
	dial func(engine fleet.Engine)
	sent []string
}

func (e *slowDialEngines) Send(ctx context.Context, engine fleet.Engine, call Call) (*Answer, error) {
	e.dial(engine)
	if !call.MaySend() {
		return nil, &SendError{NotPermitted: true, Cause: errors.New("not permitted")}
	}
	e.sent = append(e.sent, engine.ID)
	return e.scriptedEngines.Send(ctx, engine, call)
}

// newZonedRelay returns a relay with two engines, each in a zone named like it, and their fleet.
func newZonedRelay(engines *slowDialEngines) (*Relay, *fleet.Fleet) {
	engines.scriptedEngines = scriptedEngines{"a": {Status: http.StatusOK, Stamp: "a"}, "b": {Status: http.StatusOK, Stamp: "b"}}
	relay := newRelay(engines.scriptedEngines, noCrashes{}, 2)
	relay.options.Engines = engines
	for id := range engines.scriptedEngines {
		relay.options.Fleet.Put(fleet.Engine{ID: id, Service: "s", Slots: 1, Zone: id})
	}
	return relay, relay.options.Fleet
}

// TestEvacuationDuringDialMovesRequest: the request goes to another engine, and the evacuated engine is not
// suspected and has no request in flight.
func TestEvacuationDuringDialMovesRequest(t *testing.T) {
	engines := &slowDialEngines{}
	relay, engineFleet := newZonedRelay(engines)
	evacuated := ""
	engines.dial = func(engine fleet.Engine) {
		if evacuated == "" {
			evacuated = engine.ID
			engineFleet.Evacuate(engine.Zone, time.Now(), 1)
		}
	}
	reply, failure := callPath(relay, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, len(engines.sent), 1)
	assert.Assert(t, engines.sent[0] != evacuated)
	assert.Equal(t, reply.Stamp, engines.sent[0])
	assert.Assert(t, !engineFleet.Suspected(incarnation.ID{Engine: evacuated}, time.Now()))
	engineFleet.EndEvacuation(evacuated, time.Now(), 2)
	zones := engineFleet.Zones()
	assert.Equal(t, zones[0].InFlight+zones[1].InFlight, 0)
}

func TestRequestIsRefusedWhenAllZonesAreEvacuated(t *testing.T) {
	engines := &slowDialEngines{dial: func(fleet.Engine) {}}
	relay, engineFleet := newZonedRelay(engines)
	engineFleet.Evacuate("a", time.Now(), 1)
	engineFleet.Evacuate("b", time.Now(), 2)
	_, failure := callPath(relay, "/x/1")
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
	assert.Equal(t, failure.Delay(), evacuatedRetryAfter)
	assert.Equal(t, len(engines.sent), 0)
}

// TestRequestWaitsForCurrentEvacuations checks that a request waits until the evacuations are known to be current, and
// is refused if that takes too long.
func TestRequestWaitsForCurrentEvacuations(t *testing.T) {
	engines := &slowDialEngines{dial: func(fleet.Engine) {}}
	relay, engineFleet := newZonedRelay(engines)
	asked := 0
	relay.options.Gate = sendgate.New(sendgate.Options{Fleet: engineFleet, EnginesKnown: func() bool {
		asked++
		return asked > 3
	}})
	_, failure := callPath(relay, "/x/1")
	assert.Assert(t, failure == nil)
	relay.options.Gate = sendgate.New(sendgate.Options{Fleet: engineFleet, EnginesKnown: func() bool { return false }})
	_, failure = callPath(relay, "/x/1")
	assert.Equal(t, failure.Kind, errkind.NotReady)
	assert.Equal(t, len(engines.sent), 1)
}
