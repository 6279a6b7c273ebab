package peer

import "time"

// linkPruneTicks is the number of keepalive intervals between prunings of links.
const linkPruneTicks = 60

// keepaliveLoop checks all connections once per keepaliveInterval.
func (t *Transport) keepaliveLoop() {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-t.baseContext.Done():
			return
		case <-ticker.C:
		}
		for _, c := range t.openConnections() {
			c.tick()
		}
		if tick%linkPruneTicks == 0 {
			t.pruneLinks(time.Now())
		}
	}
}

// pruneLinks removes expired links.
func (t *Transport) pruneLinks(now time.Time) {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	for address, l := range t.links {
		if l.expired(now) {
			delete(t.links, address)
		}
	}
}
