package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

// zoneServer serves a node's calls about zones.
type zoneServer struct {
	*httptest.Server
	mutex     sync.Mutex
	evacuated bool
	// failure is the response to orders; abortsConnection closes the connection after reading an order.
	failure          error
	abortsConnection bool
	orders           []string
	// inFlight is decremented by each read, down to zero.
	inFlight      int
	ignoresOrders bool
}

func newZoneServer(t *testing.T) *zoneServer {
	server := &zoneServer{}
	server.Server = httptest.NewServer(http.HandlerFunc(server.serve))
	t.Cleanup(server.Close)
	return server
}

func (z *zoneServer) serve(w http.ResponseWriter, r *http.Request) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if r.Method == http.MethodGet && r.URL.Path == operatorapi.PathZones {
		httpapi.WriteJSON(w, http.StatusOK, api.Zones{Node: "n1", Zones: []api.ZoneStatus{
			{Zone: "za", Evacuated: z.evacuated, Engines: 4, InFlight: z.inFlight}, {Zone: "zb", Engines: 4},
		}})
		z.inFlight = max(0, z.inFlight-1)
		return
	}
	z.orders = append(z.orders, r.Method+" "+r.URL.Path)
	switch {
	case z.abortsConnection:
		panic(http.ErrAbortHandler)
	case z.failure != nil:
		httpapi.WriteError(w, z.failure)
	default:
		z.evacuated = !z.ignoresOrders && r.Method == http.MethodPut
		httpapi.WriteJSON(w, http.StatusOK, api.EvacuationAccepted{Zone: "za", Evacuated: r.Method == http.MethodPut})
	}
}

func (z *zoneServer) ordered() []string {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return append([]string(nil), z.orders...)
}

func TestZonesShowsEveryServersView(t *testing.T) {
	first, second := newZoneServer(t), newZoneServer(t)
	second.evacuated = true
	shown := runCorkctl("", "zones", "--server", first.URL, "--server", second.URL)
	assert.Equal(t, shown.code, ExitOK, shown.errors)
	assert.Equal(t, strings.Count(shown.out, "za"), 2)
	asJSON := runCorkctl("", "zones", "--json", "--server", first.URL+","+second.URL)
	var views []api.Zones
	assert.NilError(t, json.Unmarshal([]byte(asJSON.out), &views))
	assert.Equal(t, len(views), 2)
	assert.Assert(t, !views[0].Zones[0].Evacuated && views[1].Zones[0].Evacuated)
	second.Close()
	partly := runCorkctl("", "zones", "--server", first.URL, "--server", second.URL)
	assert.Equal(t, partly.code, ExitFailed)
	assert.Equal(t, strings.Count(partly.out, "za"), 1)
	first.Close()
	assert.Equal(t, runCorkctl("", "zones", "--server", first.URL).code, ExitUnreachable)
}

func TestEvacuateWaitsUntilTheZoneIsEmpty(t *testing.T) {
	server := newZoneServer(t)
	server.inFlight = 2
	done := runCorkctl("", "evacuate", "za", "--wait", "--server", server.URL)
	assert.Equal(t, done.code, ExitOK, done.errors)
	assert.Assert(t, strings.Contains(done.errors, "1 of 1 servers, 0 requests in flight"), done.errors)
	back := runCorkctl("", "take-back", "za", "--wait", "--server", server.URL)
	assert.Equal(t, back.code, ExitOK, back.errors)
	assert.DeepEqual(t, server.ordered(), []string{"PUT /v1/zones/za/evacuation", "DELETE /v1/zones/za/evacuation"})
}

func TestEvacuateExitCodes(t *testing.T) {
	const timeout = "1s"
	closed := newZoneServer(t)
	closed.Close()
	for name, test := range map[string]struct {
		change func(*zoneServer)
		zone   string
		code   ExitCode
		stderr string
		orders int
	}{
		"bad name":        {zone: "z/a", code: ExitUsage, stderr: "names no zone"},
		"log unavailable": {change: func(z *zoneServer) { z.failure = errkind.New(errkind.LogUnavailable, "no") }, code: ExitFailed, orders: 1},
		"lost response":   {change: func(z *zoneServer) { z.abortsConnection = true }, code: ExitUnknown, stderr: "repeat it", orders: 1},
		"outcome unknown": {change: func(z *zoneServer) { z.failure = errkind.New(errkind.OutcomeUnknownRepeatable, "?") }, code: ExitUnknown, orders: 1},
		"not in force":    {change: func(z *zoneServer) { z.ignoresOrders = true }, code: ExitNotInForce, stderr: "0 of 1 servers", orders: 1},
	} {
		t.Run(name, func(t *testing.T) {
			server := newZoneServer(t)
			if test.change != nil {
				test.change(server)
			}
			zone := "za"
			if test.zone != "" {
				zone = test.zone
			}
			got := runCorkctl("", "evacuate", zone, "--wait", "--timeout", timeout, "--server", server.URL)
			assert.Equal(t, got.code, test.code, got.errors)
			assert.Assert(t, strings.Contains(got.errors, test.stderr), got.errors)
			assert.Equal(t, len(server.ordered()), test.orders)
		})
	}
	unreachable := runCorkctl("", "evacuate", "za", "--server", closed.URL)
	assert.Equal(t, unreachable.code, ExitUnreachable)
	// The order fails over to the next server.
	server := newZoneServer(t)
	assert.Equal(t, runCorkctl("", "evacuate", "za", "--server", closed.URL, "--server", server.URL).code, ExitOK)
}

// Guards against an order held up by a server that does not respond.
func TestEvacuateFailsOverFromUnresponsiveServer(t *testing.T) {
	t.Parallel()
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(unresponsive.Close)
	server := newZoneServer(t)
	got := runCorkctl("", "evacuate", "za", "--timeout", "20s", "--server", unresponsive.URL, "--server", server.URL)
	assert.Equal(t, got.code, ExitOK, got.errors)
	assert.Equal(t, len(server.ordered()), 1)
}
