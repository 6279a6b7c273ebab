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

// stallableLog is a log that can stall: its calls then block until they are canceled.
type stallableLog struct {
	*memlog.Log
	stalled atomic.Bool
	// callDuration is the duration of each call while the log is not stalled.
	callDuration time.Duration
}

func (l *stallableLog) hang(ctx context.Context) error {
	if !l.stalled.Load() {
		time.Sleep(l.callDuration)
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (l *stallableLog) Append(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	if err := l.hang(ctx); err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, partition, records)
}

func (l *stallableLog) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	if err := l.hang(ctx); err != nil {
		return eventlog.Batch{}, err
	}
	return l.Log.Read(ctx, partition, from, limit, wait)
}

// newFallbackWithPeer returns a fallback with a direct log and one peer that reaches log.
func newFallbackWithPeer(t *testing.T, direct eventlog.Log, log eventlog.Log) *Fallback {
	t.Helper()
	server := httptest.NewServer(NewHandler(log, canRelayAlways, noReplicas{}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return NewFallback(direct, func() []Peer { return []Peer{{Address: address}} }, NewClient(), zerolog.Nop())
}

// TestOneStalledWriteSwitchesToPeer guards against waiting for the timeouts of several calls; reads in progress
// must end too.
func TestOneStalledWriteSwitchesToPeer(t *testing.T) {
	direct := &stallableLog{Log: memlog.New()}
	fallback := newFallbackWithPeer(t, direct, direct.Log)
	direct.stalled.Store(true)
	hanging := make(chan error)
	go func() {
		_, err := fallback.Read(t.Context(), testPartition, 0, 1024, time.Hour)
		hanging <- err
	}()
	_, err := fallback.Append(t.Context(), testPartition, [][]byte{[]byte("a")})
	assert.Assert(t, errors.Is(err, eventlog.ErrOutcomeUnknown), "%v", err)
	assert.Assert(t, errors.Is(<-hanging, eventlog.ErrOutcomeUnknown))
	assert.Assert(t, !fallback.IsDirect())
	_, err = fallback.Append(t.Context(), testPartition, [][]byte{[]byte("b")})
	assert.NilError(t, err)
	assert.Equal(t, direct.End(testPartition), int64(1))
}

// TestSlowWriteKeepsCallsDirect guards against a slow write being taken for a stall.
func TestSlowWriteKeepsCallsDirect(t *testing.T) {
	direct := &stallableLog{Log: memlog.New(), callDuration: stallThreshold + 30*time.Millisecond}
	fallback := newFallbackWithPeer(t, direct, memlog.New())
	for range 2 {
		_, err := fallback.Append(t.Context(), testPartition, [][]byte{[]byte("a")})
		assert.NilError(t, err)
	}
	assert.Assert(t, fallback.IsDirect())
	assert.Equal(t, direct.End(testPartition), int64(2))
}

// refusingOnCancelLog returns its refusal only after the call was canceled.
type refusingOnCancelLog struct {
	*memlog.Log
	refusal error
}

func (l refusingOnCancelLog) Append(ctx context.Context, _ eventlog.Partition, _ [][]byte) (int64, error) {
	<-ctx.Done()
	return 0, l.refusal
}

// TestRefusalIsKeptWhenDirectCallsAreCanceled guards against a certain result that is reported as unknown because
// the switch to a peer canceled the call at the same time.
func TestRefusalIsKeptWhenDirectCallsAreCanceled(t *testing.T) {
	for _, refusal := range []error{eventlog.ErrNotPerformed, &eventlog.ConflictError{End: 7}} {
		fallback := newFallbackWithPeer(t, refusingOnCancelLog{Log: memlog.New(), refusal: refusal}, memlog.New())
		result := make(chan error)
		go func() {
			_, err := fallback.Append(t.Context(), testPartition, nil)
			result <- err
		}()
		fallback.mu.Lock()
		fallback.directCalls.cancel()
		fallback.mu.Unlock()
		assert.Assert(t, errors.Is(<-result, refusal), "%v", refusal)
	}
}
