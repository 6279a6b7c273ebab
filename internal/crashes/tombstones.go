package crashes

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// tombstoneTTL is how long a node remembers a deleted record. It must exceed the delay of unanswered writes, and the
// time for which a node that observed the crash may be partitioned.
const tombstoneTTL = 10 * time.Minute

// tombstone marks a deleted record.
type tombstone struct {
	expiresAt time.Time
	// own is true if this node deleted the record.
	own bool
}

// addTombstone adds a tombstone for the deleted record with the key. Keys are never reused, since an incarnation ends
// once and a trial is claimed once, so a later record with the key is a late write. Must be called with mu held.
func (g *Guard) addTombstone(key string, own bool) {
	own = own || g.tombstones[key].own
	g.tombstones[key] = tombstone{expiresAt: time.Now().Add(tombstoneTTL), own: own}
	delete(g.peerRecords, key)
}

// isDeleted reports whether the record was deleted. Must be called with mu held.
func (g *Guard) isDeleted(key string) bool {
	_, found := g.tombstones[key]
	return found
}

// deleteAgain deletes a record that was written after its deletion, if this node had deleted it. A node that
// starts would apply it otherwise. Must be called with mu held.
func (g *Guard) deleteAgain(late eventlog.KeyedRecord) {
	g.logger.Info().Str("key", late.Key).Int64("offset", late.Offset).Bool("own", g.tombstones[late.Key].own).
		Msg("crash record was written after its deletion")
	if g.tombstones[late.Key].own {
		g.addTombstone(late.Key, true)
		g.writer.add(eventlog.KeyedRecord{Key: late.Key, Deleted: true})
	}
}

// expireTombstones drops expired tombstones.
func (g *Guard) expireTombstones(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, each := range g.tombstones {
		if now.After(each.expiresAt) {
			delete(g.tombstones, key)
		}
	}
}
