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
	leaseTTL    = 600 * time.Millisecond
	quietPeriod = 600 * time.Millisecond
)

// latePlatform sends a call at the end of its permit and delays its arrival as long as possible.
type latePlatform struct {
	fakePlatform
	arrived time.Time
}

func (p *latePlatform) ReportUsage(
	_ context.Context, holder Holder, _ usage.Window, _ usage.Counts,
) (Answer, error) {
	for holder.MaySend() {
		time.Sleep(time.Millisecond)
	}
	p.arrived = time.Now().Add(lease.MaxTransitTime)
	return Unanswered, context.DeadlineExceeded
}

// latestTerm holds the latest term of an elector.
type latestTerm struct {
	mu     sync.Mutex
	latest lease.Term
}

func (l *latestTerm) lead(ctx context.Context, term leadership.Term) {
	l.mu.Lock()
	l.latest = term
	l.mu.Unlock()
	<-ctx.Done()
}

// term returns the latest term; nil before the first.
func (l *latestTerm) term() lease.Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

func (l *latestTerm) leads() bool {
	term := l.term()
	return term != nil && term.Valid()
}

// startElector runs an elector until the test ends or stop is called.
func startElector(t *testing.T, log *memlog.Log, node string) (term *latestTerm, stop func()) {
	t.Helper()
	term = &latestTerm{}
	elector := leadership.New(log, leadership.Options{
		Holder: node + "1", Node: node, TTL: leaseTTL, QuietPeriod: quietPeriod, Logger: zerolog.Nop(),
	}, term.lead)
	return term, runInBackground(t, func(ctx context.Context) { _ = elector.Run(ctx) })
}

// TestQuietPeriodCoversLatestArrivalOfCall guards against a quiet period that ends before a delayed call has arrived.
func TestQuietPeriodCoversLatestArrivalOfCall(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), &latePlatform{}
	first, stop := startElector(t, log, "a")
	testwait.Until(t, "a leads", first.leads)
	second, _ := startElector(t, log, "b")
	calls := caller{term: first.term(), holder: Holder{Node: "a", Fence: 1}}
	_, err := calls.call(t.Context(), usageSubject, func(ctx context.Context, holder Holder) (Answer, error) {
		go stop()
		return platform.ReportUsage(ctx, holder, 1, nil)
	})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	testwait.Until(t, "b leads", second.leads)
	gap := second.term().QuietUntil(usageSubject).Sub(platform.arrived)
	assert.Assert(t, gap >= quietPeriod, "b may call %s after the call of a arrives, want at least the quiet period of %s", gap, quietPeriod)
}
