package scale

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/peer"
)

func smallSettings() Settings {
	return Settings{
		Nodes: 9, Zones: 3, Regions: 3, Engines: 120, Models: 2, Floor: 50, Seconds: 1, CutSeconds: 1,
		LoadSeconds: 0.05, StoreRate: 1000, MaxLoads: 100, Seed: 1,
	}
}

func TestASmallDeploymentActsTogether(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	world := newWorld(ctx, smallSettings())
	defer world.stop()
	assert.NilError(t, world.start())
	assert.NilError(t, world.waitJoined())
	_, err := world.changeTable(world.nodes)
	assert.NilError(t, err)
	var weights WeightsResult
	_, err = world.rollOutOnce(&weights)
	assert.NilError(t, err)
	assert.Equal(t, world.orders.Load(), uint64(120))

	victims := world.nodesOf("zone-02")
	result, err := world.lose("zone", victims)
	assert.NilError(t, err)
	assert.Equal(t, result.Nodes, 3)
	assert.Assert(t, result.StreamsOwned < outageLimit.Seconds() && result.Detected < outageLimit.Seconds())
}

func TestEnginesFillTheCells(t *testing.T) {
	settings := smallSettings()
	settings.Zones, settings.Engines, settings.Models = 17, 6100, 13
	world := newWorld(context.Background(), settings)
	engines := 0
	for id, cell := range world.cells {
		assert.Assert(t, len(cell.engines) <= 16, "%v has %d", id, len(cell.engines))
		assert.Equal(t, cell.model, modelName(int(id.Pool[5]-'0')*10+int(id.Pool[6]-'0')))
		engines += len(cell.engines)
	}
	assert.Equal(t, engines, 6100)
}

// echo answers calls with their request.
func echo(_ context.Context, request peer.Request) (any, error) {
	var text string
	if err := request.Decode(&text); err != nil {
		return nil, err
	}
	if text == "refuse" {
		return nil, errkind.New(errkind.NotOwner, "refused")
	}
	return text, nil
}

func TestNetworkCarriesCallsAndCountsThem(t *testing.T) {
	network := newNetwork(latencies{})
	a := network.endpoint("a", "10.0.0.1:1", place{zone: "x"})
	b := network.endpoint("b", "10.0.0.2:1", place{zone: "y", region: 1})
	b.HandleCall(peer.MethodTable, echo)
	network.connect(a)
	network.connect(b)

	var answer string
	assert.NilError(t, a.Call(context.Background(), b.address, peer.MethodTable, "hello", &answer))
	assert.Equal(t, answer, "hello")
	counted := network.traffic.counts()[peer.MethodTable]
	body := 6 // "hello" in msgpack
	assert.Equal(t, counted.Payload, uint64(2*frameHeader+methodLength+len(peer.MethodTable)+2*body))
	assert.Equal(t, counted.Wire, counted.Payload+3*packetHeader)
	err := a.Call(context.Background(), b.address, peer.MethodTable, "refuse", &answer)
	assert.Assert(t, errkind.Is(err, errkind.NotOwner))

	for _, stop := range []func(){
		func() { network.cut(1, true) },
		func() { network.cut(1, false); b.silent.Store(true) },
	} {
		stop()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		err = a.Call(ctx, b.address, peer.MethodTable, "hello", &answer)
		cancel()
		var failure *peer.DeliveryError
		assert.Assert(t, asDelivery(err, &failure) && failure.Sent)
	}
}

func asDelivery(err error, failure **peer.DeliveryError) bool {
	found, ok := err.(*peer.DeliveryError)
	*failure = found
	return ok
}

func TestSettingsAreChecked(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Nodes = 0 },
		func(s *Settings) { s.Nodes = maxNodes + 1 },
		func(s *Settings) { s.Zones = 10 },
		func(s *Settings) { s.Regions = 4 },
		func(s *Settings) { s.Models = 0 },
		func(s *Settings) { s.Seconds = 0 },
		func(s *Settings) { s.StoreRate = 0 },
		func(s *Settings) { s.Only = "tables,everything" },
	} {
		settings := smallSettings()
		change(&settings)
		var output bytes.Buffer
		assert.Assert(t, Run(context.Background(), &settings, &output) != nil)
		assert.Equal(t, output.Len(), 0)
	}
}
