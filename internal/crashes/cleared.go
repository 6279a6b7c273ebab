package crashes

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// clearedTTL is how long a node remembers a deleted record. It must exceed the delay of writes without an
// answer, and the time for which a node that observed the end may be partitioned.
const clearedTTL = 10 * time.Minute

// clearing is a deleted record.
type clearing struct {
	until time.Time
	// own: this node deleted the record.
	own bool
}

// clear remembers that a record was deleted. Keys are never reused, since an incarnation ends once and
// a trial is claimed once, so any later record with the key is late. Must be called with mu held.
func (g *Guard) clear(key string, own bool) {
	own = own || g.cleared[key].own
	g.cleared[key] = clearing{until: time.Now().Add(clearedTTL), own: own}
	delete(g.adopted, key)
}

// isCleared reports whether the record was deleted. Must be called with mu held.
func (g *Guard) isCleared(key string) bool {
	_, found := g.cleared[key]
	return found
}

// clearAgain deletes a record that was written after its deletion, if this node had deleted it: a node
// that starts would apply it. Must be called with mu held.
func (g *Guard) clearAgain(late eventlog.KeyedRecord) {
	g.logger.Info().Str("key", late.Key).Int64("offset", late.Offset).Bool("own", g.cleared[late.Key].own).
		Msg("record of an ended engine came after its deletion")
	if g.cleared[late.Key].own {
		g.clear(late.Key, true)
		g.writer.add(eventlog.KeyedRecord{Key: late.Key, Deleted: true})
	}
}

// forgetCleared drops expired entries.
func (g *Guard) forgetCleared(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, each := range g.cleared {
		if now.After(each.until) {
			delete(g.cleared, key)
		}
	}
}
