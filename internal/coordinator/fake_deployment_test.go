package coordinator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	standinlog "github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/internal/trainerapi"
)

const trainerName = "comparables"

// deployment is the state shared by a test's nodes: the log, the cluster members,
// the peer network, the policy table and the engines behind the router.
type deployment struct {
	t   *testing.T
	log *standinlog.Server
	url string

	mutex    sync.Mutex
	members  map[string]cluster.Member
	handlers map[string]map[peer.Method]peer.CallHandler
	table    *policy.Table
	changed  chan struct{}

	engines *fakeRouter
}

func newDeployment(t *testing.T) *deployment {
	log := standinlog.New(standinlog.Config{Seed: 1})
	server := httptest.NewServer(log.Handler())
	t.Cleanup(server.Close)
	d := &deployment{
		t: t, log: log, url: server.URL,
		members:  make(map[string]cluster.Member),
		handlers: make(map[string]map[peer.Method]peer.CallHandler),
		engines:  &fakeRouter{version: 1, tokens: 5},
		changed:  make(chan struct{}),
	}
	d.table = &policy.Table{Revision: 1, Rows: []policy.Row{{
		Service: trainerName, Kind: policy.KindTrainer, Pool: "p", Model: "m", Staleness: 1, Repeatable: true,
	}}}
	return d
}

// setBound publishes a table revision with another staleness bound.
func (d *deployment) setBound(bound int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	row := d.table.Rows[0]
	row.Staleness = bound
	d.table = &policy.Table{Revision: d.table.Revision + 1, Rows: []policy.Row{row}}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *deployment) Table() *policy.Table {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.table
}

func (d *deployment) Changed(int64) <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

func (d *deployment) CheckCurrent() error { return nil }

// node is one node of a deployment.
type node struct {
	*Coordinator
	d      *deployment
	id     string
	server *httptest.Server
	log    *pausableLog
	stop   context.CancelFunc
}

func (d *deployment) start(id string) *node {
	n := &node{d: d, id: id, log: &pausableLog{Service: logservice.NewHTTP(d.url, http.DefaultClient)}}
	manager := logstream.NewManager(logstream.Options{
		Service: n.log, Writer: id + "-process", Logger: zerolog.Nop(), PollWait: 200 * time.Millisecond,
	})
	d.mutex.Lock()
	d.members[id] = cluster.Member{ID: id, Writer: id + "-process", Address: id, Zone: "z", State: cluster.StateAlive}
	d.handlers[id] = make(map[peer.Method]peer.CallHandler)
	d.mutex.Unlock()
	n.Coordinator = New(Options{
		NodeID: id, PeerAddress: id, Zone: "z", Manager: manager, View: n, Announcer: n, Caller: n, Registry: n,
		Router: d.engines, Tables: d, Scorer: fakeScorer{}, Logger: zerolog.Nop(),
	})
	routes := mux.NewRouter()
	trainerapi.New(n.Coordinator, d).Register(routes)
	n.server = httptest.NewServer(routes)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	d.t.Cleanup(func() {
		n.log.setPaused(false)
		cancel()
		<-done
		n.server.Close()
		closeCtx, closeCancel := context.WithTimeout(context.Background(), time.Second)
		defer closeCancel()
		_ = manager.Close(closeCtx)
	})
	return n
}

// setState changes a member's state; dead members are omitted from the view.
func (d *deployment) setState(id string, state cluster.MemberState) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	member := d.members[id]
	member.State = state
	d.members[id] = member
}

// awaitOwner waits until one of the nodes owns the ledger and returns it.
func (d *deployment) awaitOwner(nodes ...*node) *node {
	var owner *node
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for _, n := range nodes {
			if n.tenure(trainerName) != nil {
				owner = n
				return poll.Success()
			}
		}
		return poll.Continue("no owner yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
	return owner
}

func (n *node) Self() cluster.Member {
	n.d.mutex.Lock()
	defer n.d.mutex.Unlock()
	return n.d.members[n.id]
}

func (n *node) Members() []cluster.Member {
	n.d.mutex.Lock()
	defer n.d.mutex.Unlock()
	var members []cluster.Member
	for _, member := range n.d.members {
		if member.State != cluster.StateDead {
			members = append(members, member)
		}
	}
	return members
}

func (n *node) Candidates(string) []cluster.Member {
	var candidates []cluster.Member
	for _, member := range n.Members() {
		if member.State != cluster.StateLeaving {
			candidates = append(candidates, member)
		}
	}
	return candidates
}

func (n *node) Owner(stream string) (cluster.Member, int64, bool) {
	var owner cluster.Member
	epoch := int64(-1)
	for _, member := range n.Members() {
		for _, owned := range member.Owned {
			if owned.Stream == stream && owned.Epoch > epoch {
				owner, epoch = member, owned.Epoch
			}
		}
	}
	return owner, epoch, epoch >= 0
}

func (n *node) AnnounceOwnedStreams(owned []cluster.Ownership) {
	n.d.mutex.Lock()
	defer n.d.mutex.Unlock()
	member := n.d.members[n.id]
	member.Owned = owned
	n.d.members[n.id] = member
}

func (n *node) Cells() []message.CellDigest                  { return nil }
func (n *node) Reachability() (int, int)                     { return 1, 1 }
func (n *node) LogContact() time.Time                        { return time.Time{} }
func (n *node) AnnounceCell(message.CellDigest)              {}
func (n *node) ObserveCell(message.CellDigest)               {}
func (n *node) AnnounceTableRevision(int64)                  {}
func (n *node) AnnounceLogContact(time.Time)                 {}
func (n *node) AnnounceLeaving()                             {}
func (n *node) HandleStream(peer.Method, peer.StreamHandler) {}

func (n *node) HandleCall(method peer.Method, handler peer.CallHandler) {
	n.d.mutex.Lock()
	defer n.d.mutex.Unlock()
	n.d.handlers[n.id][method] = handler
}

func (n *node) OpenStream(context.Context, string, peer.Method, any) (peer.Stream, error) {
	return nil, &peer.DeliveryError{Err: errors.New("no streams in this test")}
}

// Call encodes and decodes the messages, as the real transport does.
func (n *node) Call(ctx context.Context, address string, method peer.Method, request, response any) error {
	n.d.mutex.Lock()
	handler := n.d.handlers[address][method]
	dead := n.d.members[address].State == cluster.StateDead
	n.d.mutex.Unlock()
	if handler == nil || dead {
		return &peer.DeliveryError{Err: errors.New("unreachable")}
	}
	encoded, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, encodedRequest(encoded))
	if err != nil {
		return err
	}
	encoded, err = msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(encoded, response)
}

type encodedRequest []byte

func (r encodedRequest) From() string             { return "test" }
func (r encodedRequest) Decode(message any) error { return msgpack.Unmarshal(r, message) }
