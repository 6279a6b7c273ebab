package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
)

// outcome is what the caller of a request received.
type outcome struct {
	tokens []string
	result Result
	err    error
}

func run(ctx context.Context, fake *fakeCluster, request Request) outcome {
	var seen outcome
	seen.result, seen.err = fake.router().Run(ctx, request, func(piece Piece) error {
		if piece.FirstToken != len(seen.tokens) {
			return errors.Errorf("piece starts at %d after %d tokens", piece.FirstToken, len(seen.tokens))
		}
		seen.tokens = append(seen.tokens, piece.Tokens...)
		return nil
	})
	return seen
}

// testReporter is implemented by testing.T and rapid.T.
type testReporter interface {
	assert.TestingT
	Helper()
}

func (o *outcome) assertComplete(t testReporter) {
	t.Helper()
	assert.NilError(t, o.err)
	assert.Equal(t, len(o.tokens), answerLength)
	for index, token := range o.tokens {
		assert.Equal(t, token, answerToken(index))
	}
	assert.Equal(t, o.result.Tokens, answerLength)
	assert.Equal(t, o.result.FinishReason, "stop")
	assert.DeepEqual(t, o.result.Versions, []api.VersionSpan{
		{Version: 3, From: 0, To: 10},
		{Version: 4, From: 10, To: 20},
		{Version: 5, From: 20, To: answerLength},
	})
}

func (o *outcome) assertKind(t testReporter, kind errkind.Kind) {
	t.Helper()
	assert.Assert(t, errkind.Is(o.err, kind), "got %v, want %v", o.err, kind)
}

func TestCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0")
		load := message.CellDigest{Node: "n0", Sequence: 9}
		fake.dispatchers["n0"] = func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
			send(message.Progress{Attempt: submit.Attempt, Load: &load})
			return serve(ctx, submit, send)
		}
		seen := run(t.Context(), fake, testRequest(true))
		seen.assertComplete(t)
		assert.DeepEqual(t, fake.observed, []message.CellDigest{load})
		submits := fake.submitted()
		assert.Equal(t, len(submits), 1)
		assert.Equal(t, submits[0].MinVersion, uint64(2), "the newest seen less the row's staleness")
	})
}

func TestRefusedRequestIsRetriedAtAnotherCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []errkind.Kind{
			errkind.QueueFull, errkind.Draining, errkind.NotOwner, errkind.EngineRefused, errkind.NoCapacity,
		} {
			fake := newFakeCluster("n0", "n1", "n2", "unreachable")
			fake.dispatchers["n0"] = refuse(errkind.New(kind, "no"))
			fake.dispatchers["n1"] = refuse(errkind.New(kind, "no"))
			fake.dispatchers["n2"] = serve
			seen := run(t.Context(), fake, testRequest(false))
			seen.assertComplete(t)
		}
	})
}

func TestRefusalByAllCellsIsReturnedWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0", "n1")
		started := time.Now()
		fake.dispatchers["n0"] = refuse(&errkind.Error{Kind: errkind.QueueFull, RetryAfter: 3 * time.Second})
		fake.dispatchers["n1"] = refuse(&errkind.Error{Kind: errkind.QueueFull, RetryAfter: 7 * time.Second})
		seen := run(t.Context(), fake, testRequest(true))
		seen.assertKind(t, errkind.QueueFull)
		assert.Equal(t, errkind.From(seen.err).Delay(), 3*time.Second)
		assert.Equal(t, time.Since(started), time.Duration(0))

		none := newFakeCluster()
		seen = run(t.Context(), none, testRequest(true))
		seen.assertKind(t, errkind.NoCapacity)
	})
}

func TestRequestWaitsForCellHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0")
		fake.dispatchers["n0"] = refuse(errkind.New(errkind.NotOwner, "not the owner of the cell"))
		time.AfterFunc(300*time.Millisecond, func() {
			fake.mutex.Lock()
			defer fake.mutex.Unlock()
			fake.dispatchers["n0"] = serve
		})
		seen := run(t.Context(), fake, testRequest(false))
		seen.assertComplete(t)
	})
}

func TestBrokenStreamIsReattached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, repeatable := range []bool{true, false} {
			fake := newFakeCluster("n0", "n1")
			fake.dispatchers["n1"] = refuse(errkind.New(errkind.InvalidRequest, "wrong cell"))
			fake.dispatchers["n0"] = func(_ context.Context, submit message.Submit, send func(message.Progress)) error {
				from := max(startIndex(submit)-2, 0) // an overlap
				if from > 15 {
					return serve(t.Context(), submit, send)
				}
				generate(submit, from, from+6, send)
				return connectionReset()
			}
			seen := run(t.Context(), fake, testRequest(repeatable))
			seen.assertComplete(t)
			for index, submit := range fake.submitted() {
				assert.Equal(t, submit.Attach, index > 0)
				assert.Equal(t, submit.Attempt, uint32(1))
			}
		}
	})
}

// endAfter ends each stream with err after the given number of tokens.
func endAfter(tokens int, err error) dispatcherFunc {
	return func(_ context.Context, submit message.Submit, send func(message.Progress)) error {
		generate(submit, startIndex(submit), startIndex(submit)+tokens, send)
		return err
	}
}

// loseAfter breaks the stream after the given number of tokens and then has no record of the request.
func loseAfter(tokens int) dispatcherFunc {
	return func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
		if submit.Attach {
			return errkind.New(errkind.NotFound, "no such request")
		}
		return endAfter(tokens, connectionReset())(ctx, submit, send)
	}
}

func TestRequestContinuesAfterLostDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0", "n1")
		fake.dispatchers["n0"] = loseAfter(12)
		fake.dispatchers["n1"] = serve
		seen := run(t.Context(), fake, testRequest(true))
		seen.assertComplete(t)
		submits := fake.submitted()
		last := submits[len(submits)-1]
		assert.Equal(t, last.Attempt, uint32(2))
		assert.Equal(t, len(last.Generated), 12)
	})
}

func TestAnswerAtMaxTokensIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0")
		fake.dispatchers["n0"] = loseAfter(20)
		request := testRequest(false)
		request.MaxTokens = 20
		seen := run(t.Context(), fake, request)
		assert.NilError(t, seen.err)
		assert.Equal(t, seen.result.Tokens, 20)
		assert.Equal(t, seen.result.FinishReason, "length")
	})
}

func TestFailingCellIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []errkind.Kind{errkind.CapReached, errkind.NotOwner, errkind.NoCapacity} {
			fake := newFakeCluster("n0", "n1")
			fake.dispatchers["n0"] = refuse(errkind.New(kind, "no"))
			fake.dispatchers["n1"] = serve
			router := fake.router()
			const requests = 50
			for range requests {
				_, err := router.Run(t.Context(), testRequest(false), func(Piece) error { return nil })
				assert.NilError(t, err)
			}
			assert.Equal(t, len(fake.submitted()), requests+1, kind.String())
		}
	})
}

func TestHungDispatcherIsReplacedOnceNotAMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0", "n1")
		fake.dispatchers["n0"] = func(ctx context.Context, submit message.Submit, send func(message.Progress)) error {
			generate(submit, 0, 5, send)
			fake.remove("n0")
			return hang(ctx, submit, send)
		}
		fake.dispatchers["n1"] = serve
		seen := run(t.Context(), fake, testRequest(true))
		seen.assertComplete(t)
	})
}

func TestStartedRequestIsNotReportedAsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0", "n1")
		fake.dispatchers["n0"] = loseAfter(3)
		fake.dispatchers["n1"] = refuse(errkind.New(errkind.QueueFull, "full"))
		seen := run(t.Context(), fake, testRequest(true))
		assert.Equal(t, errkind.KindOf(seen.err).Response().Execution, errkind.Unknown)
	})
}

func TestCanceledCallerClosesStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0")
		closed := make(chan struct{})
		fake.dispatchers["n0"] = func(ctx context.Context, _ message.Submit, _ func(message.Progress)) error {
			<-ctx.Done()
			close(closed)
			return ctx.Err()
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		seen := run(ctx, fake, testRequest(true))
		seen.assertKind(t, errkind.Canceled)
		<-closed

		fake.dispatchers["n0"] = serve
		_, err := fake.router().Run(t.Context(), testRequest(true), func(Piece) error { return errors.New("caller disconnected") })
		assert.Assert(t, errkind.Is(err, errkind.Canceled))
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0", "n1", "n2", "n3")
		for _, node := range []string{"n0", "n1", "n2", "n3"} {
			fake.dispatchers[node] = refuse(errkind.New(errkind.QueueFull, "full"))
		}
		router := fake.router()
		const requests = 1000
		for range requests {
			_, err := router.Run(t.Context(), testRequest(true), func(Piece) error { return nil })
			assert.Assert(t, errkind.Is(err, errkind.QueueFull))
		}
		retries := len(fake.submitted()) - requests
		assert.Assert(t, retries <= requests*retryRatio+retryBurst+idleRetryBurst, "%d retries", retries)
		assert.Assert(t, retries > 0)
	})
}

func TestCurrentRowUsesNewerTable(t *testing.T) {
	fake := newFakeCluster("n0")
	request := testRequest(false)
	request.TableRevision = 4
	changed := request.Row
	changed.Priority = 9
	changed.Repeatable = true
	fake.table = policy.Table{Revision: 5, Rows: []policy.Row{changed}}
	row, revision := fake.router().currentRow(&request)
	assert.Equal(t, row.Priority, 9)
	assert.Equal(t, revision, int64(5))
	assert.Assert(t, !row.Repeatable, "a request that was not repeatable stays so")
	fake.table.Rows[0].Model = "another"
	row, revision = fake.router().currentRow(&request)
	assert.DeepEqual(t, row, request.Row)
	assert.Equal(t, revision, int64(4))
}
