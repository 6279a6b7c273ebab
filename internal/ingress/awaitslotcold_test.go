package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// unansweredPermits stands for a leader that does not answer until the test ends the call.
type unansweredPermits struct {
	asked  chan struct{}
	answer chan struct{}
}

func (p *unansweredPermits) RequestPermit(
	ctx context.Context, _ string, _ []fleet.Engine,
) (coldpermits.Permit, coldpermits.Decision) {
	p.asked <- struct{}{}
	select {
	case <-p.answer:
	case <-ctx.Done():
	}
	return coldpermits.Permit{}, coldpermits.Decision{Outcome: coldpermits.Unanswered, Wait: time.Second}
}

// deployColdSouth returns a deployment with a warm engine in the north and a cold one, "c", in the south. Tenant b's
// home is the north; tenant a's homes are as given.
func deployColdSouth(t *testing.T, homesOfA ...string) (*queueDeployment, *unansweredPermits) {
	d := deployQueue(t, waitsLong)
	d.Relay.options.Fleet.Put(fleet.Engine{ID: "c", Service: "s", Slots: 1, Region: "south"})
	withColdEngines(d.Relay, nil, "c")
	permits := &unansweredPermits{asked: make(chan struct{}, 10), answer: make(chan struct{})}
	d.Relay.options.ColdPermits = permits
	d.configure(queueTable(2, []routes.Tenant{
		{Name: "a", Keys: []string{"key-a"}, Homes: homesOfA}, {Name: "b", Keys: []string{"key-b"}, Homes: []string{"north"}},
	}, nil))
	return d, permits
}

// Guards against a request that waits, or is refused, although its region's engine is idle, while another one, which
// can't use that engine, asks for a permit: an unreachable leader blocked all regions for the time of the call.
func TestPermitCallHoldsNoSlotInOtherRegions(t *testing.T) {
	for name, homesOfA := range map[string][]string{"other home": {"south"}, "any home": nil} {
		t.Run(name, func(t *testing.T) {
			d, permits := deployColdSouth(t, homesOfA...)
			d.send(t.Context(), "1", "key-b", 0)
			asks := d.serve(t.Context(), "2", "key-a", 0)
			<-permits.asked
			d.engines.proceed <- struct{}{}
			testwait.Until(t, "the first request to end", func() bool {
				return d.Relay.options.Fleet.HasFreeSlots(fleet.Query{Service: "s", Tried: []string{"c"}, Now: time.Now()}, 0)
			})
			d.engines.proceed <- struct{}{}
			failure := d.send(t.Context(), "3", "key-b", 500*time.Millisecond).wait(t)
			assert.Assert(t, failure == nil, "%v", failure)
			assert.Equal(t, len(d.decided()), 0, "it did not wait")
			close(permits.answer)
			d.end()
			asks.wait(t)
		})
	}
}

// Guards against up to three permit calls, which may each take as long as the leader is unreachable, for one choice of
// an engine by a request that waited.
func TestOnePermitIsRequestedForAChoice(t *testing.T) {
	for name, change := range map[string]func(x *exchange){
		"new":            func(*exchange) {},
		"waited":         func(x *exchange) { x.waitsSince = time.Now() },
		"refused before": func(x *exchange) { x.refusedFull, x.tried = []string{"f"}, []string{"f"} },
	} {
		d := deployQueue(t, waitsLong)
		permits := &scriptedPermits{denials: 9, wait: time.Second}
		withColdEngines(d.Relay, permits, "e")
		x, cancel, failure := d.Relay.begin(httptest.NewRecorder(), t.Context(), &Request{
			ID: "1", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
			Credentials: routes.Credentials{Key: "key-a"},
		})
		assert.Assert(t, failure == nil)
		change(x)
		_, _, found := x.choose()
		assert.Assert(t, !found, name)
		assert.Equal(t, len(permits.asked), 1, name)
		assert.Equal(t, x.denial.Outcome, coldpermits.RateLimited, name)
		// A full warm engine is chosen without a further call, and the denial is not the reason for a later failure.
		d.Relay.options.Fleet.Put(fleet.Engine{ID: "f", Service: "s", Slots: 1})
		d.Relay.options.Fleet.RequestStarted(incarnation.ID{Engine: "f"})
		x.refusedFull, x.tried = nil, nil
		choice, _, found := x.choose()
		assert.Assert(t, found && choice.Engine.ID == "f", name)
		assert.Equal(t, len(permits.asked), 2, name)
		assert.Equal(t, x.denial.Outcome, coldpermits.Granted, name)
		cancel()
	}
}
