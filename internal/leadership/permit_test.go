package leadership

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// TestPermitExpiresAfterSendWindow checks that an order is not sent after its send window, and that the call's deadline
// is within the time that the next holder waits.
func TestPermitExpiresAfterSendWindow(t *testing.T) {
	first := join(t, memlog.New(), "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	requestedAt := time.Now()
	granted := first.permit(t, "engine")
	assert.Assert(t, granted.Valid())
	ctx, cancel := granted.WithDeadline(t.Context())
	defer cancel()
	deadline, _ := ctx.Deadline()
	assert.Assert(t, deadline.Sub(requestedAt) >= sendWindow)
	testwait.Until(t, "the permit has ended", func() bool { return !granted.Valid() })
	assert.Assert(t, time.Since(requestedAt) >= sendWindow-time.Millisecond)
	assert.Assert(t, first.elector.Valid(first.lastTerm().Epoch), "the lease must outlast the permit")
	assert.Assert(t, deadline.Before(time.Now().Add(lease.MaxTransitTime+time.Millisecond)))
}

// TestPermitExpiresDuringSuspension: Go's monotonic clock stops during suspension.
func TestPermitExpiresDuringSuspension(t *testing.T) {
	clock := &suspendableClock{}
	first := &candidate{}
	first.elector = New(memlog.New(), Options{Holder: "a1", Node: "a", TTL: time.Minute}, first.role)
	first.elector.now = clock.now
	go func() { _ = first.elector.Run(t.Context()) }()
	testwait.Until(t, "a leads", first.leads)
	granted := first.permit(t, "engine")
	assert.Assert(t, granted.Valid())
	clock.suspend(sendWindow)
	assert.Assert(t, !granted.Valid(), "the permit is still valid after the suspension")
}

// TestPermitExpiresWithLease: the node releases the lease while an order is about to be sent.
func TestPermitExpiresWithLease(t *testing.T) {
	first := join(t, memlog.New(), "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	granted := first.permit(t, "engine")
	first.elector.Stop(t.Context())
	assert.Assert(t, !granted.Valid())
}

// TestPermitRefusedDuringQuietPeriod: another machine has recently sent an order to the engine.
func TestPermitRefusedDuringQuietPeriod(t *testing.T) {
	log := memlog.New()
	first := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	first.permit(t, "engine")
	second := join(t, log, "b", "b1")
	second.awaitHolder(t, "a1")
	first.elector.Stop(t.Context())
	testwait.Until(t, "b leads", second.leads)
	_, err := second.lastTerm().Permit(t.Context(), "engine")
	assert.Assert(t, errors.Is(err, errQuiet), "%v", err)
	second.permit(t, "another")
}

// TestConcurrentOrdersShareRecords guards against one append for each order, which is slow when the log is.
func TestConcurrentOrdersShareRecords(t *testing.T) {
	log := memlog.New()
	connection := newFaultyLog(log)
	const pause = 50 * time.Millisecond
	var appends atomic.Int64
	connection.setFaults(func(_ context.Context, _ lease.Record, _ int64, call func() (int64, error)) (int64, error) {
		appends.Add(1)
		time.Sleep(pause)
		return call()
	}, nil)
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	before := appends.Load()
	const orders = 100
	var wait sync.WaitGroup
	errs := make([]error, orders)
	for i := range orders {
		wait.Go(func() { _, errs[i] = first.lastTerm().Permit(t.Context(), fmt.Sprint("e", i)) })
	}
	wait.Wait()
	for i := range orders {
		assert.NilError(t, errs[i])
	}
	const maxAppends = 12 // includes renewals
	assert.Assert(t, appends.Load()-before <= maxAppends, "%d appends", appends.Load()-before)
	second := join(t, log, "b", "b1")
	second.awaitHolder(t, "a1")
	first.cancel()
	testwait.Until(t, "b leads", second.leads)
	for i := range orders {
		assert.Assert(t, !second.lastTerm().QuietUntil(fmt.Sprint("e", i)).IsZero(), "no record names e%d", i)
	}
}

// TestCanceledOrderIsNotRecorded: the caller cancels while the request waits for the write slot.
func TestCanceledOrderIsNotRecorded(t *testing.T) {
	first := join(t, memlog.New(), "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	elector := first.elector
	elector.writeSlot <- struct{}{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := first.lastTerm().Permit(ctx, "engine")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	elector.mu.Lock()
	waiting := len(elector.waiting)
	elector.mu.Unlock()
	assert.Equal(t, waiting, 0)
	<-elector.writeSlot
}

// TestRecordIsAcceptedOnceReadBack: the next record must not wait for the timeout of a lost answer.
func TestRecordIsAcceptedOnceReadBack(t *testing.T) {
	connection := newFaultyLog(memlog.New())
	first := join(t, connection, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	connection.setFaults(appendsUnanswered, nil)
	began := time.Now()
	first.permit(t, "engine")
	assert.Assert(t, time.Since(began) < recordTimeout, "the order waited for a timeout: %s", time.Since(began))
}
