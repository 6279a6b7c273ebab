package leadership

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// lateLog is a link to a log whose answers to reads come late.
type lateLog struct {
	cutLog
	mu      sync.Mutex
	delay   time.Duration
	refused bool
}

func (l *lateLog) set(delay time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.refused = delay, refused
}

func (l *lateLog) now() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay, l.refused
}

func (l *lateLog) AppendAt(
	ctx context.Context, name eventlog.Partition, at int64, records [][]byte,
) (int64, error) {
	if _, refused := l.now(); refused {
		return 0, eventlog.ErrNotDone
	}
	return l.Log.AppendAt(ctx, name, at, records)
}

func (l *lateLog) Read(
	ctx context.Context, name eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	batch, err := l.Log.Read(ctx, name, from, limit, wait)
	delay, _ := l.now()
	time.Sleep(delay)
	return batch, err
}

// TestAnOldAnswerToAReadProvesNothing: answers to reads come late, as by way of another node
// that is slow, so each tells how the log was more than a lease ago. Appends are refused until
// another node leads.
func TestAnOldAnswerToAReadProvesNothing(t *testing.T) {
	log := memlog.New()
	link := &lateLog{cutLog: cutLog{Log: log}}
	first := join(t, link, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	const delay = 3 * testTTL
	link.set(delay, true)
	testwait.Until(t, "b leads", second.leads)
	link.set(delay, false)
	newest := second.lastTerm().Epoch
	for until := time.Now().Add(delay); time.Now().Before(until); time.Sleep(time.Millisecond) {
		assert.Assert(t, !first.elector.Valid(epoch) || !second.elector.Valid(newest), "both hold the lease")
	}
}
