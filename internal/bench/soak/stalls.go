package soak

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// heartbeatInterval is the interval at which the soak observes whether its own process runs.
	heartbeatInterval = 5 * time.Millisecond
	// minStall is the shortest delay of a heartbeat that counts as a stall. Callers, proxies and stand-in engines run in
	// the same process, and a refused request passes them up to a dozen times, so that each such delay may add up to a
	// large part of a deadline.
	minStall = 20 * time.Millisecond
)

// watchStalls records the periods in which the soak's own process did not run in time, until ctx ends. What callers
// observe then is not the time of the nodes.
func (h *History) watchStalls(ctx context.Context) {
	last := time.Now()
	for retry.Sleep(ctx, heartbeatInterval) {
		now := time.Now()
		if now.Sub(last) >= heartbeatInterval+minStall {
			h.update(func() { h.Stalls = append(h.Stalls, TimeSpan{From: last, To: now}) })
		}
		last = time.Now()
	}
}

// stalled reports whether the soak's process stalled between two times.
func (h *History) stalled(from, to time.Time) bool {
	for _, stall := range h.Stalls {
		if stall.From.Before(to) && stall.To.After(from) {
			return true
		}
	}
	return false
}
