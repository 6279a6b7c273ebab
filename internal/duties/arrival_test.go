package duties

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/usage"
	"github.com/corkpulley/corkpulley/internal/leadership"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	// lease and quiet are those of the electors below.
	lease = 600 * time.Millisecond
	quiet = 600 * time.Millisecond
)

// latePlatform takes a call as late as its caller allows.
type latePlatform struct {
	fakePlatform
	arrived chan time.Time
}

func (p *latePlatform) ReportUsage(
	ctx context.Context, _ Holder, _ usage.Window, _ usage.Counts,
) (Answer, error) {
	<-ctx.Done()
	p.arrived <- time.Now()
	return Unanswered, ctx.Err()
}

// leadingTerm is the newest term of an elector.
type leadingTerm struct {
	elector *leadership.Elector
	mu      sync.Mutex
	epoch   int64
}

func (l *leadingTerm) lead(ctx context.Context, term leadership.Term) {
	l.set(term.Epoch)
	<-ctx.Done()
	l.set(0)
}

func (l *leadingTerm) set(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = epoch
}

func (l *leadingTerm) held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

func (l *leadingTerm) Valid() bool {
	epoch := l.held()
	return epoch > 0 && l.elector.Valid(epoch)
}

func (l *leadingTerm) QuietUntil(subject string) time.Time { return l.elector.QuietUntil(subject) }

func (l *leadingTerm) Announce(ctx context.Context, subject string) error {
	return l.elector.RecordOrder(ctx, l.held(), subject)
}

// electing takes part in the election until the test ends or the returned function is called.
func electing(t *testing.T, log *memlog.Log, node string) (term *leadingTerm, stop func()) {
	t.Helper()
	term = &leadingTerm{}
	term.elector = leadership.New(log, leadership.Options{
		Holder: node + "1", Node: node, TTL: lease, Quiet: quiet, Logger: zerolog.Nop(),
	}, term.lead)
	return term, start(t, func(ctx context.Context) { _ = term.elector.Run(ctx) })
}

// TestQuietTimeFollowsTheLatestArrivalOfACall: a call to the platform may take longer than one
// to an engine, and is announced in the same way.
func TestQuietTimeFollowsTheLatestArrivalOfACall(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), &latePlatform{arrived: make(chan time.Time, 1)}
	first, stop := electing(t, log, "a")
	testwait.Until(t, "a leads", first.Valid)
	second, _ := electing(t, log, "b")
	calls := caller{term: first, holder: Holder{Node: "a", Fence: first.held()}}
	_, err := calls.call(t.Context(), usageSubject, func(ctx context.Context) (Answer, error) {
		go stop()
		return platform.ReportUsage(ctx, calls.holder, 1, nil)
	})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	testwait.Until(t, "b leads", second.Valid)
	gap := second.QuietUntil(usageSubject).Sub(<-platform.arrived)
	assert.Assert(t, gap >= quiet, "b may call %s after the call of a arrives, quiet is %s", gap, quiet)
}
