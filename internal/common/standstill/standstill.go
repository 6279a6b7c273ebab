// Package standstill notices that this process or its machine stood still: what it knows of others
// is older than it seems then.
package standstill

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// tickPeriod is the time between two signs of life.
	tickPeriod = 250 * time.Millisecond
	// minStandstill is the least time without one that counts. A process that is merely short of a
	// processor is late by some hundred milliseconds; where its ticker is later, those who ask are not.
	minStandstill = time.Second
)

// clocks are the clocks that a watch reads.
type clocks struct {
	// wall is the time of day with the steady clock; it costs no system call.
	wall func() time.Time
	// boot goes on while the machine is suspended.
	boot func() time.Time
}

// Watch notices standstills. It is safe for concurrent use.
type Watch struct {
	clocks clocks
	// seenAt is the newest sign of life by the wall clock: a tick, or in its absence a question.
	seenAt atomic.Pointer[time.Time]

	mu     sync.Mutex
	bootAt time.Time
	wokeAt atomic.Pointer[time.Time]
}

// New returns a watch; Run keeps it going.
func New() *Watch { return newWatch(clocks{wall: time.Now, boot: boottime.Now}) }

func newWatch(clocks clocks) *Watch {
	w := &Watch{clocks: clocks, bootAt: clocks.boot()}
	seen := clocks.wall()
	w.seenAt.Store(&seen)
	w.wokeAt.Store(&time.Time{})
	return w
}

// Run gives signs of life until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	for retry.Sleep(ctx, tickPeriod) {
		w.look(w.clocks.wall())
	}
	return nil
}

// WokeAt returns when the newest standstill ended, by the clock of package boottime; zero when there
// was none. Whoever asks first after it notices it: no request gets ahead of the ticker.
func (w *Watch) WokeAt() time.Time {
	now := w.clocks.wall()
	if seen := *w.seenAt.Load(); late(seen, now) {
		w.look(now)
	}
	return *w.wokeAt.Load()
}

// late tells whether either clock says that a tick was due. The steady clock stops while the machine
// is suspended, and the time of day may be set: look finds out.
func late(seen, now time.Time) bool {
	return now.Sub(seen) >= tickPeriod || now.Round(0).Sub(seen.Round(0)) >= tickPeriod
}

// look is a sign of life.
func (w *Watch) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	boot := w.clocks.boot()
	if boot.Sub(w.bootAt) >= minStandstill {
		w.wokeAt.Store(&boot)
	}
	w.bootAt = boot
	w.seenAt.Store(&now)
}
