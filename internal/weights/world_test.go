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

var patience = poll.WithTimeout(30 * time.Second)

// world is a cluster of one cell, in memory; the log and the store are real
// stand-ins.
type world struct {
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
	// lagging, when set, is the digest that the cluster still has of the cell.
	lagging *message.CellDigest
}

func newWorld(t *testing.T, rows ...policy.Row) *world {
	t.Helper()
	w := &world{
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

func (w *world) Candidates(string) []cluster.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members
}

func (w *world) Owner(string) (cluster.Member, int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return cluster.Member{ID: w.owner}, 0, w.owner != ""
}

func (w *world) Cells() []message.CellDigest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lagging != nil {
		return []message.CellDigest{*w.lagging}
	}
	return []message.CellDigest{w.digestLocked()}
}

// lag keeps what the cluster knows of the cell as it is now.
func (w *world) lag() {
	w.mu.Lock()
	defer w.mu.Unlock()
	digest := w.digestLocked()
	w.lagging = &digest
}

// digestLocked is the cell as it is; mu is held.
func (w *world) digestLocked() message.CellDigest {
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

func (w *world) AnnounceOwned([]cluster.Ownership) {}

func (w *world) Table() *policy.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

func (w *world) Changed(int64) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

func (w *world) Current() error { return nil }

func (w *world) setRows(rows ...policy.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table = &policy.Table{Revision: w.table.Revision + 1, Rows: rows}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) OpenStream(context.Context, string, peer.Method, any) (peer.Stream, error) {
	return nil, errors.New("not used")
}

// Call is the dispatcher: it loads at once, up to the allotment.
func (w *world) Call(_ context.Context, _ string, _ peer.Method, request, response any) error {
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
			result.AtLeast++
		}
		if w.engines[index] == directive.Version {
			result.AtVersion++
		}
	}
	return nil
}

// nextDirectives waits for that many directives that were planned from now on.
func (w *world) nextDirectives(t *testing.T, count int) []message.Directive {
	t.Helper()
	w.mu.Lock()
	known := len(w.received) + 1 // one may be on its way
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
	}, patience)
	return directives
}

func (w *world) setMembers(owner string, ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner = owner
	w.members = nil
	for _, id := range ids {
		w.members = append(w.members, cluster.Member{ID: id, State: cluster.StateAlive})
	}
}

// node starts a coordinator.
func (w *world) node(t *testing.T, id string) *Coordinator {
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

func (w *world) waitVersion(t *testing.T, version uint64) {
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
	}, patience)
}

func waitOwned(t *testing.T, coordinator *Coordinator, owned int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(coordinator.Owned()) == owned {
			return poll.Success()
		}
		return poll.Continue("owned: %v", coordinator.Owned())
	}, patience)
}
