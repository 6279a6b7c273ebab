// Package standstill detects that this process or its machine was suspended, after which its state of
// other nodes is older than it appears.
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
	// tickPeriod is the interval between two ticks.
	tickPeriod = 250 * time.Millisecond
	// minStandstill is the least time without a tick that counts as a standstill. It must exceed the
	// delays of a process on a busy machine; callers of WokeAt tick as well if the ticker is late.
	minStandstill = time.Second
)

// clocks are the clocks that a watch reads.
type clocks struct {
	// wall is the wall clock with its monotonic reading, which needs no system call.
	wall func() time.Time
	// boot advances while the machine is suspended.
	boot func() time.Time
}

// Watch detects standstills. It is safe for concurrent use.
type Watch struct {
	clocks clocks
	// tickedAt is the wall-clock time of the newest tick.
	tickedAt atomic.Pointer[time.Time]

	mu     sync.Mutex
	bootAt time.Time
	wokeAt atomic.Pointer[time.Time]
}

// New returns a watch. Run must be running.
func New() *Watch { return newWatch(clocks{wall: time.Now, boot: boottime.Now}) }

func newWatch(clocks clocks) *Watch {
	w := &Watch{clocks: clocks, bootAt: clocks.boot()}
	seen := clocks.wall()
	w.tickedAt.Store(&seen)
	w.wokeAt.Store(&time.Time{})
	return w
}

// Run ticks until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	for retry.Sleep(ctx, tickPeriod) {
		w.tick(w.clocks.wall())
	}
	return nil
}

// WokeAt returns when the newest standstill ended, by boottime; zero if there was none. The first call
// after a standstill detects it, even before the ticker runs.
func (w *Watch) WokeAt() time.Time {
	now := w.clocks.wall()
	if ticked := *w.tickedAt.Load(); isLate(ticked, now) {
		w.tick(now)
	}
	return *w.wokeAt.Load()
}

// isLate reports whether a tick is due by the monotonic or the wall clock. The monotonic clock stops while the
// machine is suspended, and the wall clock may be set; tick reads a clock without these faults.
func isLate(ticked, now time.Time) bool {
	return now.Sub(ticked) >= tickPeriod || now.Round(0).Sub(ticked.Round(0)) >= tickPeriod
}

// tick records that the process runs, and detects a standstill before it.
func (w *Watch) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	boot := w.clocks.boot()
	if boot.Sub(w.bootAt) >= minStandstill {
		w.wokeAt.Store(&boot)
	}
	w.bootAt = boot
	w.tickedAt.Store(&now)
}
