package logrelay

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// mutableLog is a log that may fall silent: calls then hang until their caller gives up.
type mutableLog struct {
	*memlog.Log
	silent atomic.Bool
	// slow is how long each call takes while the log is not silent.
	slow time.Duration
}

func (l *mutableLog) hang(ctx context.Context) error {
	if !l.silent.Load() {
		time.Sleep(l.slow)
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (l *mutableLog) Append(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	if err := l.hang(ctx); err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, partition, records)
}

func (l *mutableLog) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	if err := l.hang(ctx); err != nil {
		return eventlog.Batch{}, err
	}
	return l.Log.Read(ctx, partition, from, limit, wait)
}

// beside returns the fallback of a node whose direct way is the given one, beside another node that
// reaches the log.
func beside(t *testing.T, direct eventlog.Log, log eventlog.Log) *Fallback {
	t.Helper()
	server := httptest.NewServer(NewHandler(log, always, noReplicas{}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return NewFallback(direct, func() []Peer { return []Peer{{Address: address}} }, NewClient(), zerolog.Nop())
}

// TestOneSilentWriteIsEnoughToGoThroughAnotherNode: nobody waits for the time-outs of three calls, and
// reads that hang meanwhile end as well.
func TestOneSilentWriteIsEnoughToGoThroughAnotherNode(t *testing.T) {
	direct := &mutableLog{Log: memlog.New()}
	fallback := beside(t, direct, direct.Log)
	direct.silent.Store(true)
	hanging := make(chan error)
	go func() {
		_, err := fallback.Read(t.Context(), part, 0, 1024, time.Hour)
		hanging <- err
	}()
	_, err := fallback.Append(t.Context(), part, [][]byte{[]byte("a")})
	assert.Assert(t, errors.Is(err, eventlog.ErrOutcomeUnknown), "%v", err)
	assert.Assert(t, errors.Is(<-hanging, eventlog.ErrOutcomeUnknown))
	assert.Assert(t, !fallback.Direct())
	_, err = fallback.Append(t.Context(), part, [][]byte{[]byte("b")})
	assert.NilError(t, err)
	assert.Equal(t, direct.End(part), int64(1))
}

// TestASlowWriteKeepsTheDirectWay: a log that is slow to write still answers.
func TestASlowWriteKeepsTheDirectWay(t *testing.T) {
	direct := &mutableLog{Log: memlog.New(), slow: silentAfter + 30*time.Millisecond}
	fallback := beside(t, direct, memlog.New())
	for range 2 {
		_, err := fallback.Append(t.Context(), part, [][]byte{[]byte("a")})
		assert.NilError(t, err)
	}
	assert.Assert(t, fallback.Direct())
	assert.Equal(t, direct.End(part), int64(2))
}

// lateRefusal is a log that refuses a call, or finds a condition unmet, only once its caller has given up.
type lateRefusal struct {
	*memlog.Log
	refusal error
}

func (l lateRefusal) Append(ctx context.Context, _ eventlog.Partition, _ [][]byte) (int64, error) {
	<-ctx.Done()
	return 0, l.refusal
}

// TestACallThatWasRefusedStaysRefusedWhenTheWayFallsSilent: what the log says of a call is certain, also
// when all calls are ended in the same moment; the one that brings the switch always is.
func TestACallThatWasRefusedStaysRefusedWhenTheWayFallsSilent(t *testing.T) {
	for _, refusal := range []error{eventlog.ErrNotDone, &eventlog.ConflictError{End: 7}} {
		fallback := beside(t, lateRefusal{Log: memlog.New(), refusal: refusal}, memlog.New())
		result := make(chan error)
		go func() {
			_, err := fallback.Append(t.Context(), part, nil)
			result <- err
		}()
		fallback.mu.Lock()
		fallback.calls.cancel()
		fallback.mu.Unlock()
		assert.Assert(t, errors.Is(<-result, refusal), "%v", refusal)
	}
}
