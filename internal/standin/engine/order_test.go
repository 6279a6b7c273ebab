package engine_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
	standinmachines "github.com/corkpulley/corkpulley/internal/standin/machines"
	standinstore "github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

func loadOrder(fence int64, version uint64) engine.Order {
	return engine.Order{Fence: fence, Kind: engine.OrderLoad, Model: "m", Version: version}
}

// waitStatus waits until the status satisfies the condition.
func (h harness) waitStatus(t *testing.T, condition func(engine.Status) bool) engine.Status {
	t.Helper()
	var status engine.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status = h.Server.Status()
		if condition(status) {
			return poll.Success()
		}
		return poll.Continue("status: %+v", status)
	}, pollTimeout)
	return status
}

func hasVersion(version uint64) func(engine.Status) bool {
	return func(status engine.Status) bool {
		return status.Loading == nil && len(status.Models) == 1 && status.Models[0].Version == version
	}
}

func TestLoadContinuesSequencesWithNewVersion(t *testing.T) {
	h := startEngine(t, standin.Config{LoadTime: 5 * time.Millisecond, ChunkTokens: 4})
	stream := h.generate(t, newRequest("r", 9_999))
	chunk, err := stream.Receive()
	assert.NilError(t, err)
	assert.Equal(t, chunk.Version, uint64(3))
	assert.NilError(t, h.Order(t.Context(), h.address, loadOrder(1, 4)))
	swap := 0
	for chunk.Version == 3 {
		swap = chunk.FirstToken + len(chunk.Tokens)
		chunk, err = stream.Receive()
		assert.NilError(t, err)
	}
	assert.Equal(t, chunk.FirstToken, swap)
	assert.Equal(t, chunk.Version, uint64(4))
	h.waitStatus(t, hasVersion(4))
	spans := h.History().Requests[0].Spans
	assert.DeepEqual(t, spans, []standin.Span{{Version: 3, From: 0, To: swap}, {Version: 4, From: swap, To: spans[1].To}})
}

func TestStaleFenceIsRefusedPerModel(t *testing.T) {
	h := startEngine(t, standin.Config{})
	assert.NilError(t, h.Order(t.Context(), h.address, loadOrder(7, 4)))
	assert.NilError(t, h.Order(t.Context(), h.address, loadOrder(7, 4)))
	err := h.Order(t.Context(), h.address, loadOrder(6, 5))
	assert.DeepEqual(t, requireRefusal(t, err), engine.Refusal{Code: engine.CodeStaleFence, Message: "a higher fence was seen", Fence: 7})
	other := loadOrder(1, 1)
	other.Model = "other"
	assert.NilError(t, h.Order(t.Context(), h.address, other))
	status := h.waitStatus(t, func(status engine.Status) bool { return len(status.Models) == 2 })
	assert.Equal(t, status.Models[0].Version, uint64(4))
	assert.DeepEqual(t, status.Fences, map[string]int64{"m": 7, "other": 1})
	orders := h.History().Orders
	assert.Equal(t, len(orders), 4)
	assert.Assert(t, orders[2].Refused)
}

func TestFailedLoadBreaksEngineUntilNextLoad(t *testing.T) {
	h := startEngine(t, standin.Config{})
	stream := h.generate(t, newRequest("r", 9_999))
	once := 1
	h.Control(standin.Control{FailNextLoads: &once})
	assert.NilError(t, h.Order(t.Context(), h.address, loadOrder(1, 4)))
	for {
		if _, err := stream.Receive(); err != nil {
			assert.ErrorContains(t, err, "EOF")
			break
		}
	}
	h.waitStatus(t, func(status engine.Status) bool {
		return status.State == engine.StateBroken && len(status.Models) == 0 && status.Loading == nil
	})
	_, err := h.Generate(t.Context(), h.address, newRequest("r2", 1))
	assert.Equal(t, requireRefusal(t, err).Code, engine.CodeBroken)
	assert.Assert(t, !requireRefusal(t, err).Ran)
	assert.NilError(t, h.Order(t.Context(), h.address, loadOrder(1, 4)))
	h.waitStatus(t, hasVersion(4))
	readAll(t, h.generate(t, newRequest("r2", 1)), 0)
}

func TestRoleOrdersDrainAndServe(t *testing.T) {
	h := startEngine(t, standin.Config{})
	assert.NilError(t, h.Order(t.Context(), h.address, engine.Order{Fence: 2, Kind: engine.OrderDrain}))
	assert.Equal(t, h.Server.Status().State, engine.StateDraining)
	err := h.Order(t.Context(), h.address, engine.Order{Fence: 1, Kind: engine.OrderServe})
	assert.Equal(t, requireRefusal(t, err).Code, engine.CodeStaleFence)
	assert.NilError(t, h.Order(t.Context(), h.address, engine.Order{Fence: 2, Kind: engine.OrderServe}))
	assert.Equal(t, h.Server.Status().State, engine.StateServing)
}

func TestDownloadRetriesWhileStoreIsDown(t *testing.T) {
	store := standinstore.New(standinstore.Config{})
	listener := httptest.NewServer(store.Handler())
	defer listener.Close()
	assert.NilError(t, store.Publish("m", weightstore.PublishRequest{Version: 4}))
	down, up := true, false
	store.Control(standinstore.Control{Down: &down})
	h := startEngine(t, standin.Config{Store: listener.URL})
	assert.NilError(t, h.Order(t.Context(), h.address, loadOrder(1, 4)))
	status := h.Server.Status()
	assert.Equal(t, status.Loading.Version, uint64(4))
	assert.Equal(t, status.Models[0].Version, uint64(3))
	store.Control(standinstore.Control{Down: &up})
	h.waitStatus(t, hasVersion(4))
	// A version unknown to the store leaves the loaded one in place.
	assert.NilError(t, h.Order(t.Context(), h.address, loadOrder(1, 9)))
	h.waitStatus(t, hasVersion(4))
	assert.Equal(t, h.Server.Status().State, engine.StateServing)
}

func TestRunRegistersAndDrains(t *testing.T) {
	list := standinmachines.New(standinmachines.Config{})
	listener := httptest.NewServer(list.Handler())
	defer listener.Close()
	source := machines.NewHTTP(listener.URL, nil)
	server := standin.New(standin.Config{ID: "e1", Pool: "p", Zone: "z", Models: []string{"m"}, Machines: listener.URL, TokenInterval: time.Millisecond})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	<-server.Ready()
	waitMachine(t, source, machines.StateLive)
	h := harness{Server: server, Client: enginehttp.NewHTTP(nil), address: server.Address()}
	stream := h.generate(t, newRequest("r", 300))
	stop()
	waitMachine(t, source, machines.StateLeaving)
	readAll(t, stream, 0)
	assert.NilError(t, <-ended)
	after, err := source.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(after.Machines), 0)
}

func waitMachine(t *testing.T, source machines.Source, state machines.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		list, err := source.List(t.Context())
		if err == nil && len(list.Machines) == 1 && list.Machines[0].State == state {
			return poll.Success()
		}
		return poll.Continue("list: %+v, %v", list, err)
	}, pollTimeout)
}
