package leadership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// TestAPermitEndsWithItsWindow: an order that has not left by then may not leave any more, and what
// has left is dropped by the time that the next holder waits for.
func TestAPermitEndsWithItsWindow(t *testing.T) {
	first := join(t, memlog.New(), "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	asked := time.Now()
	given := first.permit(t, "engine")
	assert.Assert(t, given.Open())
	bound, cancel := given.Bound(t.Context())
	defer cancel()
	deadline, _ := bound.Deadline()
	assert.Assert(t, deadline.Sub(asked) >= sendWindow)
	testwait.Until(t, "the permit has ended", func() bool { return !given.Open() })
	assert.Assert(t, time.Since(asked) >= sendWindow-time.Millisecond)
	assert.Assert(t, first.elector.Valid(first.lastTerm().Epoch), "the lease went on")
	assert.Assert(t, deadline.Before(time.Now().Add(inFlightTime+time.Millisecond)))
}

// TestAPermitEndsWithTheSuspensionOfItsMachine: the steady clock does not count the time.
func TestAPermitEndsWithTheSuspensionOfItsMachine(t *testing.T) {
	clock := &suspendableClock{}
	first := &candidate{}
	first.elector = New(memlog.New(), Options{Holder: "a1", Node: "a", TTL: time.Minute}, first.role)
	first.elector.now = clock.now
	go func() { _ = first.elector.Run(t.Context()) }()
	testwait.Until(t, "a leads", first.leads)
	given := first.permit(t, "engine")
	assert.Assert(t, given.Open())
	clock.suspend(sendWindow)
	assert.Assert(t, !given.Open(), "an order may leave although the machine was suspended since")
}

// TestAPermitEndsWithTheLease: the node gives the lease up while an order is about to leave.
func TestAPermitEndsWithTheLease(t *testing.T) {
	first := join(t, memlog.New(), "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	given := first.permit(t, "engine")
	first.elector.Stop(t.Context())
	assert.Assert(t, !given.Open())
}

// TestNoPermitInTheQuietTime: another machine ordered the engine just now.
func TestNoPermitInTheQuietTime(t *testing.T) {
	log := memlog.New()
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	first.permit(t, "engine")
	second := join(t, log, "b", "b1")
	testwait.Until(t, "b knows a", func() bool { holder, _ := second.elector.Leader(); return holder == "a1" })
	first.elector.Stop(t.Context())
	testwait.Until(t, "b leads", second.leads)
	_, err := second.lastTerm().Permit(t.Context(), "engine")
	assert.Assert(t, errors.Is(err, errQuiet), "%v", err)
	second.permit(t, "another")
}

// countingLog counts appends, each of which takes a while.
type countingLog struct {
	eventlog.Log
	mu      sync.Mutex
	appends int
	pause   time.Duration
}

func (l *countingLog) AppendAt(
	ctx context.Context, name eventlog.Partition, at int64, records [][]byte,
) (int64, error) {
	l.mu.Lock()
	l.appends++
	l.mu.Unlock()
	time.Sleep(l.pause)
	return l.Log.AppendAt(ctx, name, at, records)
}

func (l *countingLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// TestOrdersThatWaitTogetherShareARecord: a slow log slows a hundred orders no more than a few.
func TestOrdersThatWaitTogetherShareARecord(t *testing.T) {
	log := &countingLog{Log: memlog.New(), pause: 50 * time.Millisecond}
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	before := log.count()
	const orders = 100
	var wait sync.WaitGroup
	failed := make([]error, orders)
	for i := range orders {
		wait.Go(func() { _, failed[i] = first.lastTerm().Permit(t.Context(), fmt.Sprint("e", i)) })
	}
	wait.Wait()
	for i := range orders {
		assert.NilError(t, failed[i])
	}
	const most = 12 // renewals among them
	assert.Assert(t, log.count()-before <= most, "%d appends", log.count()-before)
	second := join(t, log.Log, "b", "b1")
	testwait.Until(t, "b knows a", func() bool { holder, _ := second.elector.Leader(); return holder == "a1" })
	first.cancel()
	testwait.Until(t, "b leads", second.leads)
	for i := range orders {
		assert.Assert(t, !second.lastTerm().QuietUntil(fmt.Sprint("e", i)).IsZero(), "no record names e%d", i)
	}
}

// TestAnOrderWhoseCallerLeftIsInNoLaterRecord: it waited for its turn.
func TestAnOrderWhoseCallerLeftIsInNoLaterRecord(t *testing.T) {
	first := join(t, memlog.New(), "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	elector := first.elector
	elector.turn <- struct{}{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := first.lastTerm().Permit(ctx, "engine")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	elector.mu.Lock()
	waiting := len(elector.waiting)
	elector.mu.Unlock()
	assert.Equal(t, waiting, 0)
	<-elector.turn
}

// TestARecordCountsOnceItIsReadBack: answers are lost, and the next record need not wait for a
// time-out.
func TestARecordCountsOnceItIsReadBack(t *testing.T) {
	log := &silentAppends{Log: memlog.New()}
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	log.silence()
	began := time.Now()
	first.permit(t, "engine")
	assert.Assert(t, time.Since(began) < recordTimeout, "the order waited for a time-out: %s", time.Since(began))
}

// silentAppends takes appends and never answers them once it is told so.
type silentAppends struct {
	eventlog.Log
	mu     sync.Mutex
	silent bool
}

func (l *silentAppends) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func (l *silentAppends) AppendAt(
	ctx context.Context, name eventlog.Partition, at int64, records [][]byte,
) (int64, error) {
	offset, err := l.Log.AppendAt(ctx, name, at, records)
	l.mu.Lock()
	silent := l.silent
	l.mu.Unlock()
	if !silent {
		return offset, err
	}
	<-ctx.Done()
	return 0, eventlog.ErrOutcomeUnknown
}
