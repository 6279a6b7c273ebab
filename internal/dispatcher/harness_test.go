package dispatcher

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	testModel   = "valuation"
	testZone    = "tumwater"
	testPool    = "pool"
	testService = "lookup"
	nodeID      = "node-1"
)

var testCell = message.CellID{Zone: testZone, Pool: testPool}

// fakeNode implements the cluster, policy and peer interfaces that a dispatcher uses.
type fakeNode struct {
	cluster.View
	cluster.Announcer
	mutex    sync.Mutex
	machines []cluster.EngineMachine
	rows     []policy.Row
	digests  []message.CellDigest
	streams  map[peer.Method]peer.StreamHandler
	calls    map[peer.Method]peer.CallHandler
}

func (n *fakeNode) HandleCall(method peer.Method, handler peer.CallHandler) {
	n.calls[method] = handler
}
func (n *fakeNode) HandleStream(method peer.Method, handler peer.StreamHandler) {
	n.streams[method] = handler
}
func (n *fakeNode) Self() cluster.Member { return cluster.Member{ID: nodeID, Zone: testZone} }
func (n *fakeNode) Members() []cluster.Member {
	return []cluster.Member{n.Self()}
}
func (n *fakeNode) Candidates(string) []cluster.Member     { return n.Members() }
func (n *fakeNode) Cells() []message.CellDigest            { return nil }
func (n *fakeNode) Table() *policy.Table                   { return &policy.Table{Revision: 1, Rows: n.rows} }
func (n *fakeNode) Changed(revision int64) <-chan struct{} { return nil }
func (n *fakeNode) CheckCurrent() error                    { return nil }

func (n *fakeNode) AnnounceCell(digest message.CellDigest) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.digests = append(n.digests, digest)
}

func (n *fakeNode) Engines(string) []cluster.EngineMachine {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.machines)
}

// fakeRequest carries an encoded message.
type fakeRequest struct{ body []byte }

func (r fakeRequest) From() string             { return "router" }
func (r fakeRequest) Decode(message any) error { return msgpack.Unmarshal(r.body, message) }

func encode(t *testing.T, message any) fakeRequest {
	t.Helper()
	body, err := msgpack.Marshal(message)
	assert.NilError(t, err)
	return fakeRequest{body: body}
}

// recordedAnswer records what a caller received.
type recordedAnswer struct {
	mutex      sync.Mutex
	pieces     []message.Progress
	err        error
	done       chan struct{}
	disconnect context.CancelFunc
}

func (a *recordedAnswer) Send(sent any) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pieces = append(a.pieces, *sent.(*message.Progress))
	return nil
}

func (a *recordedAnswer) tokens() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var tokens []string
	for _, piece := range a.pieces {
		tokens = append(tokens, piece.Tokens...)
	}
	return tokens
}

// engine returns the engine of the last piece.
func (a *recordedAnswer) engine() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.pieces[len(a.pieces)-1].Engine
}

// versions returns the weight version of each token.
func (a *recordedAnswer) versions() []uint64 {
	var versions []uint64
	for _, piece := range a.pieces {
		for range piece.Tokens {
			versions = append(versions, piece.Version)
		}
	}
	return versions
}

// engineAttempts returns the engine attempt of each token.
func (a *recordedAnswer) engineAttempts() []uint32 {
	var attempts []uint32
	for _, piece := range a.pieces {
		for range piece.Tokens {
			attempts = append(attempts, piece.EngineAttempt)
		}
	}
	return attempts
}

// wait returns the answer's error once it has ended.
func (a *recordedAnswer) wait(t *testing.T) error {
	t.Helper()
	select {
	case <-a.done:
		return a.err
	case <-time.After(testTimeout):
		t.Fatal("the answer did not end")
		return nil
	}
}

const testTimeout = 30 * time.Second

// harness is a dispatcher with fake engines and a fake node.
type harness struct {
	*fakeEngines
	*fakeNode
	t          *testing.T
	dispatcher *Dispatcher
}

// newHarness starts a dispatcher with serving engines of two slots each.
func newHarness(t *testing.T, engineIDs ...string) *harness {
	h := &harness{
		t: t,
		fakeEngines: &fakeEngines{
			status:      make(map[string]engine.Status),
			changed:     make(map[string]chan struct{}),
			unreachable: make(map[string]bool),
			generate:    make(map[string]generateFunc),
			requests:    make(map[string][]engine.GenerateRequest),
			order:       func(string, engine.Order) error { return nil },
		},
		fakeNode: &fakeNode{
			rows:    []policy.Row{{Service: testService, Kind: policy.KindLive, Pool: testPool, Model: testModel, Share: 1}},
			streams: make(map[peer.Method]peer.StreamHandler),
			calls:   make(map[peer.Method]peer.CallHandler),
		},
	}
	for _, id := range engineIDs {
		h.status[id] = engine.Status{
			ID: id, State: engine.StateServing, MaxBatch: 2, Incarnation: "1",
			Models: []engine.ModelVersion{{Model: testModel, Version: 1}},
		}
		h.changed[id] = make(chan struct{})
		h.generate[id] = wholeAnswer(1)
		h.machines = append(h.machines, cluster.EngineMachine{ID: id, Address: id, Zone: testZone, Pool: testPool})
	}
	h.dispatcher = New(Options{
		NodeID: nodeID, PeerAddress: "127.0.0.1:1", Zone: testZone,
		Registry: h.fakeNode, View: h.fakeNode, Announcer: h.fakeNode, EngineList: h.fakeNode,
		EngineClient: h.fakeEngines, Tables: h.fakeNode, Logger: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.dispatcher.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
	h.eventually(func() bool {
		cells := h.dispatcher.CellStatuses()
		return len(cells) == 1 && cells[0].Engines == len(engineIDs)
	})
	return h
}

func (h *harness) eventually(condition func() bool) {
	h.t.Helper()
	check := func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("condition does not hold yet")
	}
	poll.WaitOn(h.t, check, poll.WithDelay(time.Millisecond), poll.WithTimeout(testTimeout))
}

// submission returns a repeatable request for six tokens.
func submission(id string) message.Submit {
	return message.Submit{
		RequestID: id, Attempt: 1, Cell: testCell, Service: testService, TableRevision: 1,
		Model: testModel, Prompt: "parcel", MaxTokens: 6, Repeatable: true, QueueTimeout: testTimeout,
	}
}

func (h *harness) submit(submit message.Submit) *recordedAnswer {
	ctx, disconnect := context.WithCancel(context.Background())
	h.t.Cleanup(disconnect)
	received := &recordedAnswer{done: make(chan struct{}), disconnect: disconnect}
	request := encode(h.t, submit)
	go func() {
		defer close(received.done)
		received.err = h.streams[peer.MethodSubmit](ctx, request, received)
	}()
	return received
}
