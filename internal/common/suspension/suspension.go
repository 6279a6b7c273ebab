// Package suspension detects suspensions of this process or its machine, after which its information about other
// nodes may be outdated.
package suspension

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	tickInterval = 250 * time.Millisecond
	// minSuspension is the minimum time without a tick that counts as a suspension. It must exceed the
	// scheduling delays of a busy machine; calls of ResumedAt also tick if Run is late.
	minSuspension = time.Second
)

// clocks are the clocks read by a Detector.
type clocks struct {
	// wall returns the wall clock with its monotonic reading. Reading it needs no system call.
	wall func() time.Time
	// boot returns a clock that advances while the machine is suspended.
	boot func() time.Time
}

// Detector detects suspensions. It is safe for concurrent use.
type Detector struct {
	clocks clocks
	// lastTickWall is the time of the last tick, read from clocks.wall.
	lastTickWall atomic.Pointer[time.Time]

	mu           sync.Mutex
	lastTickBoot time.Time
	resumedAt    atomic.Pointer[time.Time]
}

// New returns a Detector. Run must be running for the detection to work.
func New() *Detector { return newDetector(clocks{wall: time.Now, boot: boottime.Now}) }

func newDetector(clocks clocks) *Detector {
	d := &Detector{clocks: clocks, lastTickBoot: clocks.boot()}
	now := clocks.wall()
	d.lastTickWall.Store(&now)
	d.resumedAt.Store(&time.Time{})
	return d
}

// Run ticks until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	for retry.Sleep(ctx, tickInterval) {
		d.tick(d.clocks.wall())
	}
	return nil
}

// ResumedAt returns the time, by package boottime, at which the last suspension ended; zero if there was none.
// The first call after a suspension detects it, even before the ticker runs.
func (d *Detector) ResumedAt() time.Time {
	now := d.clocks.wall()
	if lastTick := *d.lastTickWall.Load(); isLate(lastTick, now) {
		d.tick(now)
	}
	return *d.resumedAt.Load()
}

// isLate reports whether a tick is due by the monotonic or the wall clock. Neither is reliable alone: the
// monotonic clock stops during a suspension, and the wall clock can be set. tick then reads the boot clock.
func isLate(lastTick, now time.Time) bool {
	return now.Sub(lastTick) >= tickInterval || now.Round(0).Sub(lastTick.Round(0)) >= tickInterval
}

// tick records that the process is running, and detects a suspension since the last tick.
func (d *Detector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	boot := d.clocks.boot()
	if boot.Sub(d.lastTickBoot) >= minSuspension {
		d.resumedAt.Store(&boot)
	}
	d.lastTickBoot = boot
	d.lastTickWall.Store(&now)
}
