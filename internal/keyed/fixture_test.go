package keyed

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	"github.com/corkpulley/corkpulley/internal/router"
	standin "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// fixture is a log and its nodes, connected by the peer transport.
type fixture struct {
	log       *standin.Server
	server    *httptest.Server
	router    *fakeRouter
	addresses map[string]string
	// shardIdle is as in Options.
	shardIdle time.Duration
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	log := standin.New(standin.Config{Seed: 1})
	server := httptest.NewServer(log.Handler())
	t.Cleanup(server.Close)
	return &fixture{
		log:       log,
		server:    server,
		router:    &fakeRouter{runs: map[string]int{}},
		addresses: map[string]string{},
	}
}

// startNode starts a node whose view has the given members, itself first.
func (f *fixture) startNode(t *testing.T, id string, others ...string) *Executor {
	t.Helper()
	transport := peer.New(peer.Options{NodeID: id, ListenAddress: "127.0.0.1:0", Logger: zerolog.Nop()})
	manager := logstream.NewManager(logstream.Options{
		Service:  logservice.NewHTTP(f.server.URL, f.server.Client()),
		Writer:   id,
		Logger:   zerolog.Nop(),
		PollWait: 50 * time.Millisecond,
	})
	executor := New(Options{
		Manager:    manager,
		View:       fakeView{fixture: f, ids: append([]string{id}, others...)},
		Caller:     transport,
		Registry:   transport,
		Router:     f.router,
		Tables:     fakeTables{},
		Shards:     2,
		LogTimeout: logTimeout,
		ShardIdle:  f.shardIdle,
		Logger:     zerolog.Nop(),
	})
	assert.NilError(t, transport.Start())
	f.addresses[id] = transport.Address()
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = transport.Close(ended)
		_ = executor.Close(ended)
		_ = manager.Close(ended)
	})
	return executor
}

// fakeView lists members; the first is the node itself.
type fakeView struct {
	cluster.View
	fixture *fixture
	ids     []string
}

func (v fakeView) Self() cluster.Member { return v.Candidates("")[0] }

func (v fakeView) Candidates(string) []cluster.Member {
	var members []cluster.Member
	for _, id := range v.ids {
		members = append(members, cluster.Member{ID: id, Address: v.fixture.addresses[id]})
	}
	return members
}

type fakeTables struct{ policy.Source }

func (fakeTables) Table() *policy.Table { return &policy.Table{} }
func (fakeTables) CheckCurrent() error  { return nil }

// fakeRouter counts the runs of each prompt. runError, if set, returns the error of a run.
type fakeRouter struct {
	mu       sync.Mutex
	runs     map[string]int
	runError func(request router.Request) error
	// hold, if set, blocks each answer between its two pieces.
	hold chan struct{}
}

func (r *fakeRouter) count(prompt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[prompt]
}

func (r *fakeRouter) Run(
	ctx context.Context, request router.Request, onPiece func(router.Piece) error,
) (router.Result, error) {
	r.mu.Lock()
	r.runs[request.Prompt]++
	runError, hold := r.runError, r.hold
	r.mu.Unlock()
	if request.Row.Repeatable {
		return router.Result{}, errors.New("a keyed request is marked as repeatable")
	}
	if runError != nil {
		if err := runError(request); err != nil {
			return router.Result{}, err
		}
	}
	if err := onPiece(router.Piece{Tokens: []string{"answer ", "to "}, Version: 4}); err != nil {
		return router.Result{}, err
	}
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return router.Result{}, ctx.Err()
		}
	}
	if err := onPiece(router.Piece{FirstToken: 2, Tokens: []string{request.Prompt}, Version: 5}); err != nil {
		return router.Result{}, err
	}
	versions := []api.VersionSpan{{Version: 4, To: 2}, {Version: 5, From: 2, To: 3}}
	return router.Result{Tokens: 3, Versions: versions, FinishReason: "stop"}, nil
}

type failingCaller struct {
	peer.Caller
	failure error
}

func (c failingCaller) OpenStream(context.Context, string, peer.Method, any) (peer.Stream, error) {
	return nil, c.failure
}
