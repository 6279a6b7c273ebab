// Package pauses remembers which peers are left alone for a while, after a call of them
// did not help.
package pauses

import (
	"maps"
	"sync"
	"time"
)

// forgetAt is the number of peers from which those whose pause is over are forgotten.
const forgetAt = 64

// Pauses holds when the pause of each peer ends. It is safe for concurrent use.
type Pauses struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// New returns pauses of nobody.
func New() *Pauses { return &Pauses{until: make(map[string]time.Time)} }

// Begin leaves a peer alone for the period.
func (p *Pauses) Begin(peer string, period time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if len(p.until) >= forgetAt {
		maps.DeleteFunc(p.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	p.until[peer] = now.Add(period)
}

// Active tells whether a peer is being left alone.
func (p *Pauses) Active(peer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.until[peer])
}
