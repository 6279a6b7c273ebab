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
	w := &testCluster{
		store:   standinstore.New(standinstore.Config{}),
		table:   &policy.Table{Revision: 1, Rows: rows},
		changed: make(chan struct{}),
		engines: []uint64{1, 1, 1},
	}
	store := httptest.NewServer(w.store.Handler())
	t.Cleanup(store.Close)
	w.storeURL = store.URL
	w.logServer = httptest.NewServer(standinlog.New(standinlog.Config{}).Handler())
	t.Cleanup(func() {
		w.logServer.CloseClientConnections()
		w.logServer.Close()
	})
	w.log = w.logServer.URL
	return w
}

func (w *testCluster) Candidates(string) []cluster.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members
}

func (w *testCluster) Owner(string) (cluster.Member, int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return cluster.Member{ID: w.owner}, 0, w.owner != ""
}

func (w *testCluster) Cells() []message.CellDigest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozenDigest != nil {
		return []message.CellDigest{*w.frozenDigest}
	}
	return []message.CellDigest{w.digestLocked()}
}

// freezeDigest makes Cells return the cell's current digest from now on.
func (w *testCluster) freezeDigest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	digest := w.digestLocked()
	w.frozenDigest = &digest
}

// digestLocked returns the cell's current digest. Must be called with mu held.
func (w *testCluster) digestLocked() message.CellDigest {
	counts := make(map[uint64]int)
	for _, version := range w.engines {
		if version > 0 {
			counts[version]++
		}
	}
	digest := message.CellDigest{Cell: message.CellID{Zone: "z", Pool: "p"}, Address: "cell", Engines: len(w.engines)}
	for version, engines := range counts {
		held := engine.ModelVersion{Model: "m", Version: version}
		digest.Models = append(digest.Models, message.ModelCount{ModelVersion: held, Engines: engines})
	}
	return digest
}

func (w *testCluster) AnnounceOwned([]cluster.Ownership) {}

func (w *testCluster) Table() *policy.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

func (w *testCluster) Changed(int64) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

func (w *testCluster) Current() error { return nil }

func (w *testCluster) setRows(rows ...policy.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table = &policy.Table{Revision: w.table.Revision + 1, Rows: rows}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *testCluster) OpenStream(context.Context, string, peer.Method, any) (peer.Stream, error) {
	return nil, errors.New("not used")
}

// Call simulates the dispatcher: engines load instantly, up to the allotment.
func (w *testCluster) Call(_ context.Context, _ string, _ peer.Method, request, response any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	directive := *request.(*message.Directive)
	result := response.(*message.DirectiveResult)
	w.received = append(w.received, directive)
	result.Engines = len(w.engines)
	if directive.Epoch < w.fence {
		result.StaleEpoch = w.fence
		return nil
	}
	w.fence = directive.Epoch
	left := directive.Concurrent
	for index, version := range w.engines {
		if version != directive.Version && left > 0 {
			w.engines[index] = directive.Version
			left--
		}
		if w.engines[index] >= directive.Version {
			result.AtLeastVersion++
		}
		if w.engines[index] == directive.Version {
			result.AtVersion++
		}
	}
	return nil
}

// nextDirectives waits for count directives planned after the call and returns them.
func (w *testCluster) nextDirectives(t *testing.T, count int) []message.Directive {
	t.Helper()
	w.mu.Lock()
	known := len(w.received) + 1 // one may be in transit
	w.mu.Unlock()
	var directives []message.Directive
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.received) < known+count {
			return poll.Continue("%d directives", len(w.received)-known)
		}
		directives = append(directives, w.received[known:known+count]...)
		return poll.Success()
	}, pollTimeout)
	return directives
}

func (w *testCluster) setMembers(owner string, ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner = owner
	w.members = nil
	for _, id := range ids {
		w.members = append(w.members, cluster.Member{ID: id, State: cluster.StateAlive})
	}
}

// startNode starts a coordinator that stops at the end of the test.
func (w *testCluster) startNode(t *testing.T, id string) *Coordinator {
	t.Helper()
	manager := logstream.NewManager(logstream.Options{
		Service: logservice.NewHTTP(w.log, http.DefaultClient), Writer: id, Logger: zerolog.Nop(), PollWait: 100 * time.Millisecond,
	})
	coordinator := New(Options{
		NodeID: id, PeerAddress: "127.0.0.1:1", Manager: manager, View: w, Announcer: w, Caller: w,
		Store: weightstore.NewHTTP(w.storeURL, nil), Tables: w, Interval: 10 * time.Millisecond, Logger: zerolog.Nop(),
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

func (w *testCluster) waitVersion(t *testing.T, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, held := range w.engines {
			if held != version {
				return poll.Continue("engines: %v", w.engines)
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
