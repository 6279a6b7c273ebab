// Package cooldown tracks peers that are skipped for a period after a failed call.
package cooldown

import (
	"maps"
	"sync"
	"time"
)

// pruneThreshold is the number of stored pauses at which Start removes the expired ones.
const pruneThreshold = 64

// Set holds the end of the pause of each peer. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// New returns an empty set of pauses.
func New() *Set { return &Set{until: make(map[string]time.Time)} }

// Start pauses a peer for the period.
func (s *Set) Start(peer string, period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.until) >= pruneThreshold {
		maps.DeleteFunc(s.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	s.until[peer] = now.Add(period)
}

// Active reports whether a peer is paused.
func (s *Set) Active(peer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until[peer])
}
