package weights

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
	standinlog "github.com/corkpulley/corkpulley/internal/standin/logservice"
	standinstore "github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

var pollTimeout = poll.WithTimeout(30 * time.Second)

// testCluster is an in-memory cluster with one cell; the log and the weight store
// are simulated HTTP services.
type testCluster struct {
	cluster.View
	cluster.Announcer
	log, storeURL string
	store         *standinstore.Server
	logServer     *httptest.Server

	mu       sync.Mutex
	members  []cluster.Member
	owner    string
	table    *policy.Table
	changed  chan struct{}
	engines  []uint64 // version of each engine
	fence    int64
	received []message.Directive
	// frozenDigest, when set, is the outdated digest that Cells returns.
	frozenDigest *message.CellDigest
}

func newTestCluster(t *testing.T, rows ...policy.Row) *testCluster {
	t.Helper()
	c := &testCluster{
		store:   standinstore.New(standinstore.Config{}),
		table:   &policy.Table{Revision: 1, Rows: rows},
		changed: make(chan struct{}),
		engines: []uint64{1, 1, 1},
	}
	store := httptest.NewServer(c.store.Handler())
	t.Cleanup(store.Close)
	c.storeURL = store.URL
	c.logServer = httptest.NewServer(standinlog.New(standinlog.Config{}).Handler())
	t.Cleanup(func() {
		c.logServer.CloseClientConnections()
		c.logServer.Close()
	})
	c.log = c.logServer.URL
	return c
}

func (c *testCluster) Candidates(string) []cluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

func (c *testCluster) Owner(string) (cluster.Member, int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cluster.Member{ID: c.owner}, 0, c.owner != ""
}

func (c *testCluster) Cells() []message.CellDigest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozenDigest != nil {
		return []message.CellDigest{*c.frozenDigest}
	}
	return []message.CellDigest{c.digestLocked()}
}

// freezeDigest makes Cells return the cell's current digest from now on.
func (c *testCluster) freezeDigest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := c.digestLocked()
	c.frozenDigest = &digest
}

// digestLocked returns the cell's current digest. Must be called with mu held.
func (c *testCluster) digestLocked() message.CellDigest {
	counts := make(map[uint64]int)
	for _, version := range c.engines {
		if version > 0 {
			counts[version]++
		}
	}
	digest := message.CellDigest{Cell: message.CellID{Zone: "z", Pool: "p"}, Address: "cell", Engines: len(c.engines)}
	for version, engines := range counts {
		held := engine.ModelVersion{Model: "m", Version: version}
		digest.Models = append(digest.Models, message.ModelCount{ModelVersion: held, Engines: engines})
	}
	return digest
}

func (c *testCluster) AnnounceOwnedStreams([]cluster.Ownership) {}

func (c *testCluster) Table() *policy.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

func (c *testCluster) Changed(int64) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *testCluster) CheckCurrent() error { return nil }

func (c *testCluster) setRows(rows ...policy.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = &policy.Table{Revision: c.table.Revision + 1, Rows: rows}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *testCluster) OpenStream(context.Context, string, peer.Method, any) (peer.Stream, error) {
	return nil, errors.New("not used")
}

// Call simulates the dispatcher: engines load instantly, up to Concurrent per call.
func (c *testCluster) Call(_ context.Context, _ string, _ peer.Method, request, response any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	directive := *request.(*message.Directive)
	result := response.(*message.DirectiveResult)
	c.received = append(c.received, directive)
	result.Engines = len(c.engines)
	if directive.Epoch < c.fence {
		result.NewerEpoch = c.fence
		return nil
	}
	c.fence = directive.Epoch
	remaining := directive.Concurrent
	for index, version := range c.engines {
		if version != directive.Version && remaining > 0 {
			c.engines[index] = directive.Version
			remaining--
		}
		if c.engines[index] >= directive.Version {
			result.AtLeastVersion++
		}
		if c.engines[index] == directive.Version {
			result.AtVersion++
		}
	}
	return nil
}

// nextDirectives waits for count directives planned after the call and returns them.
func (c *testCluster) nextDirectives(t *testing.T, count int) []message.Directive {
	t.Helper()
	c.mu.Lock()
	known := len(c.received) + 1 // one may be in transit
	c.mu.Unlock()
	var directives []message.Directive
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.received) < known+count {
			return poll.Continue("%d directives", len(c.received)-known)
		}
		directives = append(directives, c.received[known:known+count]...)
		return poll.Success()
	}, pollTimeout)
	return directives
}

func (c *testCluster) setMembers(owner string, ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = owner
	c.members = nil
	for _, id := range ids {
		c.members = append(c.members, cluster.Member{ID: id, State: cluster.StateAlive})
	}
}

// startNode starts a coordinator that stops at the end of the test.
func (c *testCluster) startNode(t *testing.T, id string) *Coordinator {
	t.Helper()
	manager := logstream.NewManager(logstream.Options{
		Service: logservice.NewHTTP(c.log, http.DefaultClient), Writer: id, Logger: zerolog.Nop(), PollWait: 100 * time.Millisecond,
	})
	coordinator := New(Options{
		NodeID: id, PeerAddress: "127.0.0.1:1", Manager: manager, View: c, Announcer: c, Caller: c,
		Store: weightstore.NewHTTP(c.storeURL, nil), Tables: c, Interval: 10 * time.Millisecond, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = coordinator.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		stopping, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		_ = manager.Close(stopping)
	})
	return coordinator
}

func (c *testCluster) waitVersion(t *testing.T, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, held := range c.engines {
			if held != version {
				return poll.Continue("engines: %v", c.engines)
			}
		}
		return poll.Success()
	}, pollTimeout)
}

func waitOwned(t *testing.T, coordinator *Coordinator, owned int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(coordinator.Owned()) == owned {
			return poll.Success()
		}
		return poll.Continue("owned: %v", coordinator.Owned())
	}, pollTimeout)
}
