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

// slowConnections ask for the permission to send as a client of engines does, after a dial in which
// anything may happen.
type slowConnections struct {
	scriptedEngines
	dial func(engine fleet.Engine)
	sent []string
}

func (e *slowConnections) Send(ctx context.Context, engine fleet.Engine, call Call) (*Answer, error) {
	e.dial(engine)
	if !call.MayLeave() {
		return nil, &SendError{HeldBack: true, Cause: errors.New("not permitted")}
	}
	e.sent = append(e.sent, engine.ID)
	return e.scriptedEngines.Send(ctx, engine, call)
}

// relayOfZones returns a relay of two engines, each in the zone of its name, and their fleet.
func relayOfZones(engines *slowConnections) (*Relay, *fleet.Fleet) {
	engines.scriptedEngines = scriptedEngines{"a": {Status: http.StatusOK, Stamp: "a"}, "b": {Status: http.StatusOK, Stamp: "b"}}
	relay := newRelay(engines.scriptedEngines, noCrashes{}, 2)
	relay.options.Engines = engines
	for id := range engines.scriptedEngines {
		relay.options.Fleet.Put(fleet.Engine{ID: id, Service: "s", Slots: 1, Zone: id})
	}
	return relay, relay.options.Fleet
}

// TestARequestChosenBeforeAnEvacuationGoesToAnotherEngine: its dial ended after it. The engine counts as
// well, and the request as one that was never sent there.
func TestARequestChosenBeforeAnEvacuationGoesToAnotherEngine(t *testing.T) {
	engines := &slowConnections{}
	relay, known := relayOfZones(engines)
	evacuated := ""
	engines.dial = func(engine fleet.Engine) {
		if evacuated == "" {
			evacuated = engine.ID
			known.Evacuate(engine.Zone, time.Now(), 1)
		}
	}
	reply, failure := callOf(relay, "/x/1")
	assert.Assert(t, failure == nil)
	assert.Equal(t, len(engines.sent), 1)
	assert.Assert(t, engines.sent[0] != evacuated)
	assert.Equal(t, reply.Stamp, engines.sent[0])
	assert.Assert(t, !known.Suspected(incarnation.ID{Engine: evacuated}, time.Now()))
	known.TakeBack(evacuated, time.Now(), 2)
	zones := known.Zones()
	assert.Equal(t, zones[0].InFlight+zones[1].InFlight, 0)
}

// TestWithoutAnEngineOutsideTheRequestIsRefusedAtOnce: it has not run, and is told so.
func TestWithoutAnEngineOutsideTheRequestIsRefusedAtOnce(t *testing.T) {
	engines := &slowConnections{dial: func(fleet.Engine) {}}
	relay, known := relayOfZones(engines)
	known.Evacuate("a", time.Now(), 1)
	known.Evacuate("b", time.Now(), 2)
	_, failure := callOf(relay, "/x/1")
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Kind, errkind.NoCapacity)
	assert.Equal(t, failure.Delay(), evacuatedRetry)
	assert.Equal(t, len(engines.sent), 0)
}

// TestARequestWaitsShortlyForTheEvacuationsToBeKnown: and is refused as not run where that takes longer.
func TestARequestWaitsShortlyForTheEvacuationsToBeKnown(t *testing.T) {
	engines := &slowConnections{dial: func(fleet.Engine) {}}
	relay, known := relayOfZones(engines)
	asked := 0
	relay.options.Gate = sendgate.New(sendgate.Options{Fleet: known, Known: func() bool {
		asked++
		return asked > 3
	}})
	_, failure := callOf(relay, "/x/1")
	assert.Assert(t, failure == nil)
	relay.options.Gate = sendgate.New(sendgate.Options{Fleet: known, Known: func() bool { return false }})
	_, failure = callOf(relay, "/x/1")
	assert.Equal(t, failure.Kind, errkind.NotReady)
	assert.Equal(t, len(engines.sent), 1)
}
