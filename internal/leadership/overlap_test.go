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

// halfLog is a node's way to the log on which appends and reads fail each alone.
type halfLog struct {
	eventlog.Log

	mu sync.Mutex
	// refuses: appends have no effect and say so.
	refuses bool
	// losesNext: the next append takes effect without an answer, and from then on reads hang.
	losesNext bool
	// released ends reads that hang; nil when none does.
	released chan struct{}
}

func (l *halfLog) refuseAppends(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses = refused
}

// loseNext has the next append take effect without an answer, and reads hang from then on.
func (l *halfLog) loseNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losesNext = true
}

func (l *halfLog) hasLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.losesNext
}

// hangReads makes reads wait until releaseReads.
func (l *halfLog) hangReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = make(chan struct{})
}

func (l *halfLog) releaseReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}

// append applies the faults of appends to one call.
func (l *halfLog) append(call func() (int64, error)) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuses {
		return 0, eventlog.ErrNotDone
	}
	offset, err := call()
	if err == nil && l.losesNext {
		l.losesNext = false
		l.released = make(chan struct{})
		return 0, eventlog.ErrOutcomeUnknown
	}
	return offset, err
}

func (l *halfLog) Append(ctx context.Context, name eventlog.Partition, records [][]byte) (int64, error) {
	return l.append(func() (int64, error) { return l.Log.Append(ctx, name, records) })
}

func (l *halfLog) AppendAt(ctx context.Context, name eventlog.Partition, at int64, records [][]byte) (int64, error) {
	return l.append(func() (int64, error) { return l.Log.AppendAt(ctx, name, at, records) })
}

// Read holds the answer back as well, so that a read that was under way when reads began to
// hang tells nothing either.
func (l *halfLog) Read(
	ctx context.Context, name eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	if err := l.awaitRelease(ctx); err != nil {
		return eventlog.Batch{}, err
	}
	batch, err := l.Log.Read(ctx, name, from, limit, wait)
	if waitErr := l.awaitRelease(ctx); waitErr != nil {
		return eventlog.Batch{}, waitErr
	}
	return batch, err
}

// awaitRelease waits while reads hang.
func (l *halfLog) awaitRelease(ctx context.Context) error {
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released == nil {
		return nil
	}
	select {
	case <-released:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readSince is how long after a moment the newest read was answered.
func (e *Elector) readSince(moment time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(moment) - e.now().Sub(e.readAt)
}

// overlap is how often two leases were found to hold at one time.
func overlap(one, other *candidate, first, second int64, lasting time.Duration) int {
	count := 0
	for until := time.Now().Add(lasting); time.Now().Before(until); time.Sleep(time.Millisecond) {
		// The older one is asked first: it must have ended before the newer one began.
		if one.elector.Valid(first) && other.elector.Valid(second) {
			count++
		}
	}
	return count
}

// TestARenewalThatTheLogTookAfterAnotherClaimDoesNotHold: for a lease's time the log takes
// none of the leader's renewals, so another node claims. Then it takes them again, while the
// leader's reads hang, so that it cannot know. An acknowledgement that names neither epoch nor
// offset proves only that the log took the record, not that the epoch is in force there.
func TestARenewalThatTheLogTookAfterAnotherClaimDoesNotHold(t *testing.T) {
	log := memlog.New()
	link := &halfLog{Log: log}
	first := join(t, link, "a", "a1")
	testwait.Until(t, "a leads", first.leads)
	epoch := first.lastTerm().Epoch
	second := join(t, log, "b", "b1")
	testwait.Until(t, "b knows a", func() bool { holder, _ := second.elector.Leader(); return holder == "a1" })
	t.Cleanup(link.releaseReads)
	link.refuseAppends(true)
	refused := time.Now()
	testwait.Until(t, "a still reads", func() bool { return first.elector.readSince(refused) > testTTL/2 })
	link.hangReads()
	testwait.Until(t, "b leads", second.leads)
	newer := second.lastTerm().Epoch
	link.refuseAppends(false)
	found := overlap(first, second, epoch, newer, testTTL)
	ctx, cancel := context.WithTimeout(t.Context(), testTTL)
	defer cancel()
	_, recorded := first.lastTerm().Permit(ctx, "engine")
	assert.Equal(t, found, 0, "two leases held at one time, for about so many milliseconds")
	assert.Assert(t, recorded != nil, "an order of the earlier holder was recorded after the claim of the next one")
}

// TestALeaseIsCountedFromTheClaimThatTookEffect: a claim takes effect, its answer is lost and
// the reads hang. The claimer sends claims again, none of which can win. Read back, the lease
// counts from when the first one was sent: all others count theirs from when they read that.
func TestALeaseIsCountedFromTheClaimThatTookEffect(t *testing.T) {
	log := memlog.New()
	link := &halfLog{Log: log}
	link.loseNext()
	first := join(t, link, "a", "a1")
	testwait.Until(t, "a has claimed", link.hasLost)
	t.Cleanup(link.releaseReads)
	second := join(t, log, "b", "b1")
	testwait.Until(t, "b knows that a was elected", func() bool { holder, _ := second.elector.Leader(); return holder == "a1" })
	_, epoch := second.elector.Leader()
	time.Sleep(testTTL - testTTL/10) // just before b may claim
	link.refuseAppends(true)         // so that a cannot renew
	link.releaseReads()
	testwait.Until(t, "a reads its claim", func() bool { holder, _ := first.elector.Leader(); return holder == "a1" })
	link.hangReads()
	testwait.Until(t, "b leads", second.leads)
	assert.Equal(t, overlap(first, second, epoch, second.lastTerm().Epoch, testTTL), 0,
		"two leases held at one time, for about so many milliseconds")
}
