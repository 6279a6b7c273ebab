package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/machines"
)

const (
	// testProbeInterval is short, but long enough for a busy machine.
	testProbeInterval = 100 * time.Millisecond
	testLimit         = 30 * time.Second
)

// gate is a Caller that refuses calls to blocked addresses: a partition.
type gate struct {
	peer.Caller
	mu      sync.Mutex
	blocked map[string]bool
	frozen  chan struct{} // calls and handlers wait until it is closed; nil when not frozen
}

func (g *gate) Call(ctx context.Context, address string, method peer.Method, request, response any) error {
	g.mu.Lock()
	blocked := g.blocked[address]
	g.mu.Unlock()
	if err := g.waitThaw(ctx); err != nil {
		return &peer.DeliveryError{Err: err}
	}
	if blocked {
		return &peer.DeliveryError{Err: errors.New("blocked")}
	}
	return g.Caller.Call(ctx, address, method, request, response)
}

// freeze makes the node neither speak nor answer until the result is called.
func (g *gate) freeze() (thaw func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frozen := make(chan struct{})
	g.frozen = frozen
	return func() { close(frozen) }
}

func (g *gate) waitThaw(ctx context.Context) error {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) block(addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = make(map[string]bool)
	for _, address := range addresses {
		g.blocked[address] = true
	}
}

// fakeMachines is a machine list that can be down.
type fakeMachines struct {
	mu    sync.Mutex
	list  machines.List
	down  bool
	reads int
}

func (f *fakeMachines) List(context.Context) (machines.List, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return machines.List{}, errors.New("list is down")
	}
	return f.list, nil
}

func (f *fakeMachines) set(down bool, list ...machines.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.list = down, machines.List{Machines: list}
}

// testNode is one node on loopback.
type testNode struct {
	*Cluster
	transport *peer.Transport
	gate      *gate
	stop      func()
}

type testSettings struct {
	id, zone, writer, address string
	seeds                     []string
	machines                  machines.Source
	interval                  time.Duration
}

func startNode(t testing.TB, settings testSettings) *testNode {
	t.Helper()
	if settings.address == "" {
		settings.address = "127.0.0.1:0"
	}
	if settings.interval == 0 {
		settings.interval = testProbeInterval
	}
	transport := peer.New(peer.Options{NodeID: settings.id, ListenAddress: settings.address})
	node := &testNode{transport: transport, gate: &gate{Caller: transport}}
	assert.NilError(t, transport.Listen())
	node.Cluster = New(Options{
		Self: Member{
			ID: settings.id, Writer: settings.writer + settings.id, Address: transport.Address(), Zone: settings.zone,
		},
		Seeds: settings.seeds, Caller: node.gate, Registry: &gatedRegistry{Registry: transport, gate: node.gate}, Machines: settings.machines,
		ProbeInterval: settings.interval, Registerer: prometheus.NewRegistry(),
	})
	assert.NilError(t, transport.Start())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, node.Run(ctx)) })
	node.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		closing, cancelClosing := context.WithCancel(context.Background())
		cancelClosing()
		_ = transport.Close(closing)
	})
	t.Cleanup(node.stop)
	return node
}

// gatedRegistry has the handlers wait while the node is frozen.
type gatedRegistry struct {
	peer.Registry
	gate *gate
}

func (g *gatedRegistry) HandleCall(method peer.Method, handler peer.CallHandler) {
	g.Registry.HandleCall(method, func(ctx context.Context, request peer.Request) (any, error) {
		if err := g.gate.waitThaw(ctx); err != nil {
			return nil, err
		}
		return handler(ctx, request)
	})
}

func startZone(t testing.TB, zone string, size int, source machines.Source, seeds ...string) []*testNode {
	t.Helper()
	var nodes []*testNode
	for i := range size {
		node := startNode(t, testSettings{
			id: fmt.Sprintf("%s-n%d", zone, i), zone: zone, writer: "w1-", seeds: seeds, machines: source,
		})
		seeds = append(seeds, node.Self().Address)
		nodes = append(nodes, node)
	}
	return nodes
}

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testLimit), poll.WithDelay(10*time.Millisecond))
}

// stateOf returns the member's state at the node; dead when it is unknown.
func (n *testNode) stateOf(id string) MemberState {
	for _, member := range n.Members() {
		if member.ID == id {
			return member.State
		}
	}
	return StateDead
}

func allSee(nodes []*testNode, count int) func() bool {
	return func() bool {
		for _, node := range nodes {
			alive := 0
			for _, member := range node.Members() {
				if member.State == StateAlive {
					alive++
				}
			}
			if alive != count {
				return false
			}
		}
		return true
	}
}

func allHold(nodes []*testNode, holds func(node *testNode) bool) func() bool {
	return func() bool {
		for _, node := range nodes {
			if !holds(node) {
				return false
			}
		}
		return true
	}
}
