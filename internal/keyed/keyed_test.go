package keyed

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/idempotency"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/router"
	standin "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

const (
	// testTimeout ends a test that hangs.
	testTimeout = 60 * time.Second
	// logTimeout is the nodes' Options.LogTimeout.
	logTimeout = 500 * time.Millisecond
)

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newRequest(key, prompt string) Request {
	row := policy.Row{Service: "permits", Repeatable: true}
	return Request{Key: key, Service: "permits", Submission: Submission{ID: key, Row: row, Prompt: prompt}}
}

// execute returns the answer's text and checks the order of its tokens.
func execute(ctx context.Context, executor *Executor, request Request) (string, error) {
	var text strings.Builder
	next := 0
	result, err := executor.Execute(ctx, request, func(piece router.Piece) error {
		if piece.FirstToken != next {
			return errors.Errorf("piece starts at %d, wanted %d", piece.FirstToken, next)
		}
		next += len(piece.Tokens)
		text.WriteString(strings.Join(piece.Tokens, ""))
		return nil
	})
	if err == nil && result.Tokens != next {
		err = errors.Errorf("%d of %d tokens", next, result.Tokens)
	}
	return text.String(), err
}

// executeWhile repeats a request while it fails with an error of the given kind.
func executeWhile(t *testing.T, executor *Executor, request Request, while errkind.Kind) (string, error) {
	t.Helper()
	ctx := testContext(t)
	for {
		text, err := execute(ctx, executor, request)
		if !errkind.Is(err, while) {
			return text, err
		}
		assert.NilError(t, ctx.Err())
	}
}

func TestConcurrentCallersShareOneRun(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	fixture.log.SetControl(standin.Control{LostResponseShare: 0.3, EffectDelayMS: 3})
	nodes := []*Executor{fixture.startNode(t, "a", "b"), fixture.startNode(t, "b", "a")}
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			key := "key-" + string(rune('0'+i%3))
			text, err := execute(ctx, nodes[i%2], newRequest(key, key))
			assert.Check(t, err == nil, "%v", err)
			assert.Check(t, text == "answer to "+key, "%q", text)
		})
	}
	callers.Wait()
	for _, key := range []string{"key-0", "key-1", "key-2"} {
		assert.Equal(t, fixture.router.count(key), 1)
	}

	// A node that starts later finds the recorded answer.
	text, err := executeWhile(t, fixture.startNode(t, "c"), newRequest("key-0", "key-0"), errkind.OutcomeUnknown)
	assert.NilError(t, err)
	assert.Equal(t, text, "answer to key-0")
	_, err = execute(ctx, nodes[0], newRequest("key-0", "something else"))
	assert.Assert(t, errkind.Is(err, errkind.IdempotencyKeyReused), "%v", err)
	assert.Equal(t, fixture.router.count("key-0"), 1)
}

// TestOneRunWithDivergingViews covers three nodes that each consider themselves the owner.
func TestOneRunWithDivergingViews(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	fixture.log.SetControl(standin.Control{LostResponseShare: 0.3, EffectDelayMS: 3})
	nodes := []*Executor{fixture.startNode(t, "a"), fixture.startNode(t, "b"), fixture.startNode(t, "c")}
	for _, key := range []string{"k0", "k1", "k2", "k3", "k4", "k5"} {
		var callers sync.WaitGroup
		for _, node := range nodes {
			callers.Go(func() {
				_, err := execute(ctx, node, newRequest(key, key))
				assert.Check(t, err == nil || errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
			})
		}
		callers.Wait()
		assert.Equal(t, fixture.router.count(key), 1)
		for _, node := range nodes {
			text, err := executeWhile(t, node, newRequest(key, key), errkind.OutcomeUnknown)
			assert.NilError(t, err)
			assert.Equal(t, text, "answer to "+key)
		}
		assert.Equal(t, fixture.router.count(key), 1)
	}
}

func TestLogOutageRefusesRequestsAndReleasesLateIntents(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	node := fixture.startNode(t, "a")
	_, err := execute(ctx, node, newRequest("first", "first"))
	assert.NilError(t, err)

	fixture.log.SetControl(standin.Control{Down: true})
	_, err = execute(ctx, node, newRequest("k", "k"))
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable), "%v", err)

	// Reads succeed, but appends take effect only after the node has given up.
	late := 2 * logTimeout
	fixture.log.SetControl(standin.Control{LostResponseShare: 1, EffectDelayMS: late.Milliseconds()})
	_, err = execute(ctx, node, newRequest("k", "k"))
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable), "%v", err)
	assert.Equal(t, fixture.router.count("k"), 0)

	fixture.log.SetControl(standin.Control{})
	text, err := executeWhile(t, node, newRequest("k", "k"), errkind.LogUnavailable)
	assert.NilError(t, err)
	assert.Equal(t, text, "answer to k")
	assert.Equal(t, fixture.router.count("k"), 1)
}

func TestRefusedRunReleasesTheKey(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	nodes := []*Executor{fixture.startNode(t, "a"), fixture.startNode(t, "b")}
	fixture.router.runError = func(router.Request) error { return errkind.New(errkind.NoCapacity, "no engine") }
	_, err := execute(ctx, nodes[0], newRequest("k", "k"))
	assert.Assert(t, errkind.Is(err, errkind.NoCapacity), "%v", err)
	fixture.router.runError = nil
	text, err := execute(ctx, nodes[1], newRequest("k", "k"))
	assert.NilError(t, err)
	assert.Equal(t, text, "answer to k")
}

func TestFailedRunIsNeverRepeated(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	nodes := []*Executor{fixture.startNode(t, "a"), fixture.startNode(t, "b")}
	fixture.router.runError = func(router.Request) error { return errkind.New(errkind.EngineFailed, "crashed") }
	_, err := execute(ctx, nodes[0], newRequest("k", "k"))
	assert.Assert(t, errkind.Is(err, errkind.EngineFailed), "%v", err)
	fixture.router.runError = nil
	for _, node := range nodes {
		_, err = execute(ctx, node, newRequest("k", "k"))
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	}
	assert.Equal(t, fixture.router.count("k"), 1)
}

func TestRunContinuesAfterCallerDisconnects(t *testing.T) {
	fixture := newFixture(t)
	node := fixture.startNode(t, "a")
	fixture.router.hold = make(chan struct{})
	ctx, cancel := context.WithCancel(testContext(t))
	_, err := node.Execute(ctx, newRequest("k", "k"), func(router.Piece) error {
		cancel()
		return nil
	})
	assert.Assert(t, errkind.Is(err, errkind.Canceled), "%v", err)
	close(fixture.router.hold)
	text, err := execute(testContext(t), node, newRequest("k", "k"))
	assert.NilError(t, err)
	assert.Equal(t, text, "answer to k")
	assert.Equal(t, fixture.router.count("k"), 1)
	assert.NilError(t, node.Close(testContext(t)))
	_, err = execute(testContext(t), node, newRequest("k2", "k2"))
	assert.Assert(t, errkind.Is(err, errkind.ShuttingDown), "%v", err)
}

func TestUncertainDeliveryIsNotRetried(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	// The view contains only another node, so each request is forwarded.
	node := fixture.startNode(t, "a")
	node.options.View = otherNodeView{}
	node.options.Caller = failingCaller{failure: &peer.DeliveryError{Sent: true, Err: errors.New("reset")}}
	_, err := execute(ctx, node, newRequest("k", "k"))
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	assert.Equal(t, fixture.router.count("k"), 0)

	node.options.Caller = failingCaller{failure: &peer.DeliveryError{Err: errors.New("refused")}}
	text, err := execute(ctx, node, newRequest("k", "k"))
	assert.NilError(t, err)
	assert.Equal(t, text, "answer to k")
}

// otherNodeView has one candidate, which is not the node itself.
type otherNodeView struct{ fakeView }

func (otherNodeView) Self() cluster.Member { return cluster.Member{ID: "a"} }

func (otherNodeView) Candidates(string) []cluster.Member {
	return []cluster.Member{{ID: "z", Address: "z"}}
}

func TestInvalidKeysAreRefused(t *testing.T) {
	node := newFixture(t).startNode(t, "a")
	for _, key := range []string{"", strings.Repeat("k", idempotency.MaxKeyBytes)} {
		_, err := execute(testContext(t), node, newRequest(key, "p"))
		assert.Assert(t, errkind.Is(err, errkind.InvalidRequest), "%v", err)
	}
}

func TestLargeAnswersAreNotRecorded(t *testing.T) {
	huge := router.Piece{Tokens: []string{strings.Repeat("x", idempotency.MaxOutcomeBytes)}}
	data, err := encodeOutcome([]router.Piece{huge}, router.Result{Tokens: 1})
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 1000)
}

// TestCloseReturnsDuringLogOutage guards against a shutdown that waits for the log: the caller has its answer, and
// recording the result is best effort.
func TestCloseReturnsDuringLogOutage(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	hold := make(chan struct{})
	fixture.router.hold = hold
	node := fixture.startNode(t, "a")
	answered := make(chan error, 1)
	go func() {
		text, err := execute(ctx, node, newRequest("key", "key"))
		if err == nil && text != "answer to key" {
			err = errors.Errorf("answer %q", text)
		}
		answered <- err
	}()
	for fixture.router.count("key") == 0 {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
	fixture.log.SetControl(standin.Control{Down: true})
	closed := make(chan error, 1)
	go func() { closed <- node.Close(ctx) }()
	close(hold)
	assert.NilError(t, <-answered)
	assert.NilError(t, <-closed)
}
