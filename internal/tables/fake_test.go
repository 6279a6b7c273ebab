package tables

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	standin "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

const testTimeout = 30 * time.Second

// testLog is a fake log service with fault injection.
type testLog struct {
	*standin.Server
	url string
}

func newTestLog(t *testing.T) *testLog {
	server := standin.New(standin.Config{Seed: 1})
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return &testLog{Server: server, url: listener.URL}
}

// testNetwork connects the table handlers of several nodes and provides their
// view of the cluster.
type testNetwork struct {
	mutex            sync.Mutex
	nodes            map[string]*testNode
	contact          time.Time
	reachable, known int
}

func newTestNetwork() *testNetwork {
	return &testNetwork{nodes: make(map[string]*testNode), reachable: 1, known: 1}
}

// withLock calls change with the mutex held.
func (n *testNetwork) withLock(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
}

func (n *testNetwork) Call(ctx context.Context, address string, _ peer.Method, request, response any) error {
	n.mutex.Lock()
	node := n.nodes[address]
	unreachable := node.unreachable
	n.mutex.Unlock()
	if unreachable {
		return &peer.DeliveryError{Err: errors.New("unreachable")}
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := node.handler(ctx, testRequest(body))
	if err != nil {
		return err
	}
	if body, err = msgpack.Marshal(answer); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, response)
}

func (n *testNetwork) OpenStream(context.Context, string, peer.Method, any) (peer.Stream, error) {
	return nil, errors.New("streams are not supported")
}

type testRequest []byte

func (r testRequest) From() string             { return "" }
func (r testRequest) Decode(message any) error { return msgpack.Unmarshal(r, message) }

// testNode is one node with its own connection to a log. The network's mutex
// guards its mutable fields.
type testNode struct {
	cluster.View      // nil: satisfies the interface for methods that tables does not call
	cluster.Announcer // nil, as above
	network           *testNetwork
	handler           peer.CallHandler
	tables            *Tables
	member            cluster.Member
	unreachable       bool // calls to it fail, although its member state is alive
	contact           time.Time
}

// startNode runs a node on the log until the test ends.
func startNode(t *testing.T, network *testNetwork, log *testLog, id string) *testNode {
	t.Helper()
	node := newNode(t, network, log, id)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = node.tables.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return node
}

// newNode returns a node that is not running.
func newNode(t *testing.T, network *testNetwork, log *testLog, id string) *testNode {
	t.Helper()
	manager := logstream.NewManager(logstream.Options{
		Service: logservice.NewHTTP(log.url, http.DefaultClient), Writer: id, Logger: zerolog.Nop(), PollWait: 50 * time.Millisecond,
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = manager.Close(ctx)
	})
	node := &testNode{
		network: network,
		member:  cluster.Member{ID: id, Address: id, Zone: "z", State: cluster.StateAlive},
	}
	reducer := &policy.Reducer{}
	node.tables = New(Options{
		Stream:         manager.Open("config", reducer, logstream.StreamOptions{SnapshotEvery: 3}),
		Reducer:        reducer,
		Caller:         network,
		Registry:       node,
		View:           node,
		Announcer:      node,
		LastLogContact: node.lastContact,
		Logger:         zerolog.Nop(),
	})
	network.withLock(func() { network.nodes[id] = node })
	return node
}

func (n *testNode) HandleCall(_ peer.Method, handler peer.CallHandler) { n.handler = handler }
func (n *testNode) HandleStream(peer.Method, peer.StreamHandler)       {}
func (n *testNode) AnnounceLogContact(time.Time)                       {}

func (n *testNode) AnnounceTableRevision(revision int64) {
	n.network.withLock(func() { n.member.TableRevision = revision })
}

func (n *testNode) Self() (self cluster.Member) {
	n.network.withLock(func() { self = n.member })
	return self
}

func (n *testNode) Members() (members []cluster.Member) {
	n.network.withLock(func() {
		for _, node := range n.network.nodes {
			members = append(members, node.member)
		}
	})
	return members
}

func (n *testNode) Reachability() (reachable, known int) {
	n.network.withLock(func() { reachable, known = n.network.reachable, n.network.known })
	return reachable, known
}

func (n *testNode) LogContact() (contact time.Time) {
	n.network.withLock(func() { contact = n.network.contact })
	return contact
}

func (n *testNode) lastContact() (contact time.Time) {
	n.network.withLock(func() { contact = n.contact })
	return contact
}

// awaitCurrent waits until the node accepts work.
func (n *testNode) awaitCurrent(t *testing.T) {
	t.Helper()
	awaitCondition(t, func() bool { return n.tables.CheckCurrent() == nil })
}

// awaitRevision waits on Changed and checks that revisions only increase.
func (n *testNode) awaitRevision(t *testing.T, revision int64) {
	t.Helper()
	timeout := time.After(testTimeout)
	for last := int64(-1); last < revision; {
		table := n.tables.Table()
		assert.Assert(t, table.Revision >= last)
		last = table.Revision
		if last >= revision {
			return
		}
		select {
		case <-n.tables.Changed(last):
		case <-timeout:
			t.Fatalf("revision %d is not active, revision %d is", revision, last)
		}
	}
}

func awaitCondition(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("condition is not met")
	}, poll.WithTimeout(testTimeout), poll.WithDelay(5*time.Millisecond))
}

func requireKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	assert.Assert(t, errkind.Is(err, kind), "%v", err)
}
