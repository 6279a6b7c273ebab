package duties

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/usage"
	"github.com/corkpulley/corkpulley/internal/leadership"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	// leaseTime and quietTime are those of the electors below.
	leaseTime = 600 * time.Millisecond
	quietTime = 600 * time.Millisecond
)

// latePlatform sends a call at the last permitted moment and delays its arrival to the latest one.
type latePlatform struct {
	fakePlatform
	arrived time.Time
}

func (p *latePlatform) ReportUsage(
	_ context.Context, holder Holder, _ usage.Window, _ usage.Counts,
) (Answer, error) {
	for holder.MayLeave() {
		time.Sleep(time.Millisecond)
	}
	p.arrived = time.Now().Add(lease.InFlight)
	return Unanswered, context.DeadlineExceeded
}

// leadingTerm holds the newest term of an elector.
type leadingTerm struct {
	mu     sync.Mutex
	newest lease.Term
}

func (l *leadingTerm) lead(ctx context.Context, term leadership.Term) {
	l.mu.Lock()
	l.newest = term
	l.mu.Unlock()
	<-ctx.Done()
}

// term returns the newest term; nil before the first.
func (l *leadingTerm) term() lease.Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

func (l *leadingTerm) leads() bool {
	term := l.term()
	return term != nil && term.Valid()
}

// electing takes part in the election until the test ends or the returned function is called.
func electing(t *testing.T, log *memlog.Log, node string) (term *leadingTerm, stop func()) {
	t.Helper()
	term = &leadingTerm{}
	elector := leadership.New(log, leadership.Options{
		Holder: node + "1", Node: node, TTL: leaseTime, Quiet: quietTime, Logger: zerolog.Nop(),
	}, term.lead)
	return term, start(t, func(ctx context.Context) { _ = elector.Run(ctx) })
}

// TestQuietTimeFollowsTheLatestArrivalOfACall: a call to the platform may take longer than an order
// to an engine, and needs the same permit.
func TestQuietTimeFollowsTheLatestArrivalOfACall(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), &latePlatform{}
	first, stop := electing(t, log, "a")
	testwait.Until(t, "a leads", first.leads)
	second, _ := electing(t, log, "b")
	calls := caller{term: first.term(), holder: Holder{Node: "a", Fence: 1}}
	_, err := calls.call(t.Context(), usageSubject, func(ctx context.Context, holder Holder) (Answer, error) {
		go stop()
		return platform.ReportUsage(ctx, holder, 1, nil)
	})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	testwait.Until(t, "b leads", second.leads)
	gap := second.term().QuietUntil(usageSubject).Sub(platform.arrived)
	assert.Assert(t, gap >= quietTime, "b may call %s after the call of a arrives, quiet is %s", gap, quietTime)
}
