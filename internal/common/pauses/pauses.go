// Package pauses tracks peers that are skipped for a period after a failed call.
package pauses

import (
	"maps"
	"sync"
	"time"
)

// pruneThreshold is the number of peers from which expired pauses are removed.
const pruneThreshold = 64

// Pauses holds the end of the pause of each peer. It is safe for concurrent use.
type Pauses struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// New returns an empty set of pauses.
func New() *Pauses { return &Pauses{until: make(map[string]time.Time)} }

// Begin pauses a peer for the period.
func (p *Pauses) Begin(peer string, period time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if len(p.until) >= pruneThreshold {
		maps.DeleteFunc(p.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	p.until[peer] = now.Add(period)
}

// Active reports whether a peer is paused.
func (p *Pauses) Active(peer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.until[peer])
}
