package node

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/settings"
	"github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/internal/standin/machines"
	"github.com/corkpulley/corkpulley/internal/standin/scorer"
	"github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

// testTimeout only ends a test that hangs.
const testTimeout = 90 * time.Second

// platform is a set of simulated platform services.
type platform struct {
	log       *logservice.Server
	addresses settings.Platform
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	serve := func(handler http.Handler) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return server.URL
	}
	p := &platform{log: logservice.New(logservice.Config{Seed: 1})}
	p.addresses = settings.Platform{
		Log:         serve(p.log.Handler()),
		WeightStore: serve(weightstore.New(weightstore.Config{}).Handler()),
		Machines:    serve(machines.New(machines.Config{}).Handler()),
		Scorer:      serve(scorer.New(scorer.Config{}).Handler()),
	}
	return p
}

// testNode is a node that runs in the test process.
type testNode struct {
	*node
	logs *logBuffer
	stop context.CancelFunc
	// ended receives the result of the run, once.
	ended chan error
}

// logBuffer collects log lines; it is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) contains(text string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Contains(b.text.String(), text)
}

func (p *platform) start(t *testing.T, id string, seeds ...string) *testNode {
	t.Helper()
	config := settings.Default()
	config.Node = settings.Node{ID: id, Zone: "z", Region: "r"}
	config.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	config.Cluster = settings.Cluster{Seeds: seeds, ProbeInterval: settings.Duration(100 * time.Millisecond)}
	config.Platform = p.addresses
	n := &testNode{logs: &logBuffer{}, ended: make(chan error, 1)}
	created, err := newNode(config, newLogger(config, n.logs))
	assert.NilError(t, err)
	n.node = created
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	var running sync.WaitGroup
	running.Go(func() { n.ended <- created.run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return n
}

func (n *testNode) peerAddress() string { return n.components.transport.Address() }

// awaitEnd waits until the node has stopped and returns the result of its run.
func (n *testNode) awaitEnd(t *testing.T) error {
	t.Helper()
	select {
	case err := <-n.ended:
		return err
	case <-time.After(testTimeout):
		t.Fatal("the node did not stop")
		return nil
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(10*time.Millisecond))
}

// A process whose node ID was taken by another must reject work and shut down with
// errSuperseded. Of two recently started processes either may stop, so the second
// one starts only after StartedRecently is false for the first.
func TestSupersededProcessShutsDown(t *testing.T) {
	p := newPlatform(t)
	peer := p.start(t, "a")
	old := p.start(t, "b", peer.peerAddress())
	eventually(t, "both are ready", func() bool { return peer.ready() == nil && old.ready() == nil })
	eventually(t, "the first process is no longer recent", func() bool { return !old.components.cluster.StartedRecently() })
	fresh := p.start(t, "b", peer.peerAddress())

	assert.Assert(t, errors.Is(old.awaitEnd(t), errSuperseded))
	assert.Assert(t, old.ready() != nil)
	assert.Assert(t, old.logs.contains("superseded, this process stops by plan"))
	eventually(t, "the new process is the member", func() bool {
		for _, member := range peer.components.cluster.Members() {
			if member.ID == "b" && member.Writer == fresh.writer {
				return true
			}
		}
		return false
	})
	eventually(t, "the new process is ready", func() bool { return fresh.ready() == nil })
}

// proposeWithUnknownOutcome proposes a record while the log is unavailable, so the
// proposal is still pending when it times out.
func (n *testNode) proposeWithUnknownOutcome(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	stream := n.components.streams.Open("orders/m", &logrecord.OwnershipReducer{}, logstream.StreamOptions{})
	claim := logrecord.Claim{Node: n.config.Node.ID, Address: n.peerAddress()}
	_, err := stream.Propose(ctx, logstream.Proposal{Kind: logrecord.KindClaim, Body: claim})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Appending final records is best effort: an unavailable log must neither block
// nor fail a graceful shutdown.
func TestShutdownCompletesWhileLogIsUnavailable(t *testing.T) {
	p := newPlatform(t)
	n := p.start(t, "a")
	eventually(t, "the node is ready", func() bool { return n.ready() == nil })
	p.log.SetControl(logservice.Control{Down: true})
	n.proposeWithUnknownOutcome(t)
	n.stop()
	assert.NilError(t, n.awaitEnd(t))
}
