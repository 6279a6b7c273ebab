// Package once limits repeated events, such as log lines, to the first occurrence of each key.
package once

import "sync"

// maxKeys limits the stored keys. Once it is reached, new keys are reported as already seen, so that memory
// stays bounded.
const maxKeys = 64

// PerKey tracks which keys were seen. The zero value is ready to use; it is safe for concurrent use.
type PerKey struct {
	mu   sync.Mutex
	seen map[string]bool
}

// First reports whether this is the first call with the key. It returns false for new keys beyond maxKeys.
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
