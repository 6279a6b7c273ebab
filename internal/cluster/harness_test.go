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
	// testProbeInterval is short, but tolerates delays on a busy machine.
	testProbeInterval = 100 * time.Millisecond
	testTimeout       = 30 * time.Second
)

// faults is a Caller that simulates partitions and pauses of its node.
type faults struct {
	peer.Caller
	mu      sync.Mutex
	blocked map[string]bool
	paused  chan struct{} // calls and handlers block until it is closed; nil unless paused
}

func (f *faults) Call(ctx context.Context, address string, method peer.Method, request, response any) error {
	f.mu.Lock()
	blocked := f.blocked[address]
	f.mu.Unlock()
	if err := f.waitResumed(ctx); err != nil {
		return &peer.DeliveryError{Err: err}
	}
	if blocked {
		return &peer.DeliveryError{Err: errors.New("blocked")}
	}
	return f.Caller.Call(ctx, address, method, request, response)
}

// pause blocks all calls and handlers of the node until resume is called.
func (f *faults) pause() (resume func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := make(chan struct{})
	f.paused = paused
	return func() { close(paused) }
}

func (f *faults) waitResumed(ctx context.Context) error {
	f.mu.Lock()
	paused := f.paused
	f.mu.Unlock()
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *faults) block(addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = make(map[string]bool)
	for _, address := range addresses {
		f.blocked[address] = true
	}
}

// fakeMachines is a machine list that can be unavailable.
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
		return machines.List{}, errors.New("list is unavailable")
	}
	return f.list, nil
}

func (f *fakeMachines) set(down bool, list ...machines.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.list = down, machines.List{Machines: list}
}

// testNode is a node that listens on loopback.
type testNode struct {
	*Cluster
	transport *peer.Transport
	faults    *faults
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
	node := &testNode{transport: transport, faults: &faults{Caller: transport}}
	assert.NilError(t, transport.Listen())
	node.Cluster = New(Options{
		Self: Member{
			ID: settings.id, Writer: settings.writer + settings.id, Address: transport.Address(), Zone: settings.zone,
		},
		Seeds: settings.seeds, Caller: node.faults,
		Registry: &pausableRegistry{Registry: transport, faults: node.faults}, Machines: settings.machines,
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

// pausableRegistry blocks the handlers while the node is paused.
type pausableRegistry struct {
	peer.Registry
	faults *faults
}

func (r *pausableRegistry) HandleCall(method peer.Method, handler peer.CallHandler) {
	r.Registry.HandleCall(method, func(ctx context.Context, request peer.Request) (any, error) {
		if err := r.faults.waitResumed(ctx); err != nil {
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

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(10*time.Millisecond))
}

// stateOf returns the state of a member as seen by the node; dead if unknown.
func (n *testNode) stateOf(id string) MemberState {
	for _, member := range n.Members() {
		if member.ID == id {
			return member.State
		}
	}
	return StateDead
}

func allSeeAlive(nodes []*testNode, count int) func() bool {
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

func allSatisfy(nodes []*testNode, condition func(node *testNode) bool) func() bool {
	return func() bool {
		for _, node := range nodes {
			if !condition(node) {
				return false
			}
		}
		return true
	}
}
