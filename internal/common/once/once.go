// Package once limits what would be repeated, such as a log line, to the first time for each key.
package once

import "sync"

// maxKeys bounds the keys that are remembered. Further ones count as seen: what reports them would grow without bound.
const maxKeys = 64

// PerKey remembers keys. Its zero value is ready for use; it is safe for concurrent use.
type PerKey struct {
	mu   sync.Mutex
	seen map[string]bool
}

// First reports whether the key is seen for the first time.
func (p *PerKey) First(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen[key] || len(p.seen) >= maxKeys {
		return false
	}
	if p.seen == nil {
		p.seen = make(map[string]bool)
	}
	p.seen[key] = true
	return true
}
