package ingress

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// homedDeployment is a relay in region south with engines in three regions, and a route and tenant bound to regions.
type homedDeployment struct {
	*Relay
	fleet *fleet.Fleet

	mu sync.Mutex
	// table is the configuration in force.
	table *routes.Table
	// sentTo holds the regions of the engines to which the request was sent, in order.
	sentTo []string
	// answers holds the answers of engines by region; other engines lose the connection.
	answers map[string]Answer
	// onSend, if set, is called for each request that is sent.
	onSend func()
}

// Send implements Engines.
func (d *homedDeployment) Send(ctx context.Context, engine fleet.Engine, call Call) (*Answer, error) {
	d.mu.Lock()
	d.sentTo = append(d.sentTo, engine.Region)
	answer, onSend := d.answers[engine.Region], d.onSend
	d.mu.Unlock()
	if onSend != nil {
		onSend()
	}
	return scriptedEngines{engine.ID: answer}.Send(ctx, engine, call)
}

func (d *homedDeployment) setTable(table *routes.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = table
}

func (d *homedDeployment) current() *routes.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table
}

// tableWithHomes returns a table with one route and one tenant that have the given homes.
func tableWithHomes(version int64, ofRoute, ofTenant []string) *routes.Table {
	return routes.NewTable(routes.Definition{
		Version: version,
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/x/", Kind: routes.Safe, Parts: []routes.Part{{Service: "s", Weight: 1}},
			Timeout: time.Second, MaxAttempts: maxTries, Homes: ofRoute,
		}},
		Tenants: []routes.Tenant{{Name: "t", Keys: []string{"key"}, Homes: ofTenant}},
	})
}

func newHomedDeployment(ofRoute, ofTenant []string) *homedDeployment {
	d := &homedDeployment{fleet: fleet.New(), table: tableWithHomes(1, ofRoute, ofTenant), answers: map[string]Answer{}}
	for _, region := range []string{"north", "south", "west"} {
		for _, name := range []string{"1", "2"} {
			d.fleet.Put(fleet.Engine{
				ID: region + name, Service: "s", Zone: region + name, Region: region, Slots: 4,
			})
		}
	}
	d.Relay = New(Options{
		Engines: d, Fleet: d.fleet, Guard: noCrashes{}, ExemptGuard: noCrashes{}, Table: d.current, Current: func() bool { return true },
		Zone: "south1", Region: "south", OnStart: func(string, time.Time) {},
		Logger: zerolog.Nop(), Observe: func(string, string, time.Duration) {},
	})
	return d
}

func (d *homedDeployment) request() (Reply, *errkind.Error) {
	return d.Call(context.Background(), &Request{
		ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(),
		Credentials: routes.Credentials{Key: "key"},
	})
}

func TestRequestsAndRetriesStayInHomeRegions(t *testing.T) {
	for name, test := range map[string]struct{ ofRoute, ofTenant []string }{
		"route":  {[]string{"north"}, nil},
		"tenant": {nil, []string{"north"}},
		"both":   {[]string{"north", "south"}, []string{"west", "north"}},
	} {
		d := newHomedDeployment(test.ofRoute, test.ofTenant)
		_, failure := d.request()
		assert.Equal(t, failure.Kind, errkind.EngineFailed, name)
		assert.DeepEqual(t, d.sentTo, []string{"north", "north"})
	}
}

func TestRequestWithoutEngineInHomeRegionsIsRefused(t *testing.T) {
	for name, test := range map[string]struct{ ofRoute, ofTenant []string }{
		"no engine in region of route":  {[]string{"east"}, nil},
		"disjoint regions":              {[]string{"north"}, []string{"south"}},
		"no engine in region of tenant": {nil, []string{"east"}},
		"empty region name":             {[]string{""}, nil},
	} {
		d := newHomedDeployment(test.ofRoute, test.ofTenant)
		_, failure := d.request()
		assert.Equal(t, failure.Kind, errkind.OutsideHomes, name)
		assert.Equal(t, failure.Kind.Response().Execution, errkind.NotExecuted)
		assert.Assert(t, failure.Delay() > 0)
		assert.Equal(t, len(d.sentTo), 0, name)
	}
}

// TestRetryUsesLatestHomes: the homes change during the first try.
func TestRetryUsesLatestHomes(t *testing.T) {
	d := newHomedDeployment([]string{"north"}, nil)
	d.answers["west"] = Answer{Status: http.StatusOK}
	d.onSend = func() { d.setTable(tableWithHomes(2, []string{"west"}, nil)) }
	_, failure := d.request()
	assert.Assert(t, failure == nil)
	assert.DeepEqual(t, d.sentTo, []string{"north", "west"})
}

// TestInternalCallStaysInTenantHomes: an internal call, such as a scoring call, has no credentials.
func TestInternalCallStaysInTenantHomes(t *testing.T) {
	d := newHomedDeployment(nil, []string{"west"})
	d.answers["west"] = Answer{Status: http.StatusOK}
	sender := routes.Sender{Tenant: "t", TenantsConfigured: true}
	_, failure := d.Call(context.Background(), &Request{
		ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(), Sender: &sender,
	})
	assert.Assert(t, failure == nil)
	assert.DeepEqual(t, d.sentTo, []string{"west"})

	// The tenant was removed from the configuration: the homes of its job still apply.
	d = newHomedDeployment(nil, nil)
	d.answers["north"] = Answer{Status: http.StatusOK}
	sender.Tenant = "gone"
	_, failure = d.Call(homes.NewContext(context.Background(), homes.Of([]string{"north"})), &Request{
		ID: "id", Method: http.MethodPost, Target: "/x/1", Path: "/x/1", Host: "h", Received: time.Now(), Sender: &sender,
	})
	assert.Assert(t, failure == nil)
	assert.DeepEqual(t, d.sentTo, []string{"north"})
}
