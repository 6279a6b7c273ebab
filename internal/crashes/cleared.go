package crashes

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// clearedLife is how long a node remembers that a record was taken out: for longer than a write that
// was left without an answer may land late, or a node that observed the end may be cut off.
const clearedLife = 10 * time.Minute

// clearing says that a record was taken out.
type clearing struct {
	until time.Time
	// own: it was this node that took it out.
	own bool
}

// clear notes that a record was taken out; mu is held. Its key never stands for anything new: an
// engine ends once, and a trial is claimed once. So whatever comes under it is late.
func (g *Guard) clear(key string, own bool) {
	own = own || g.cleared[key].own
	g.cleared[key] = clearing{until: time.Now().Add(clearedLife), own: own}
	delete(g.adopted, key)
}

// isCleared tells whether the record was taken out; mu is held.
func (g *Guard) isCleared(key string) bool {
	_, found := g.cleared[key]
	return found
}

// clearAgain takes a record out that landed after its deletion, if it was this node that deleted it:
// one that starts would take it for new. mu is held.
func (g *Guard) clearAgain(late eventlog.KeyedRecord) {
	g.logger.Info().Str("key", late.Key).Int64("offset", late.Offset).Bool("own", g.cleared[late.Key].own).
		Msg("record of an ended engine came after its deletion")
	if g.cleared[late.Key].own {
		g.clear(late.Key, true)
		g.writer.add(eventlog.KeyedRecord{Key: late.Key, Deleted: true})
	}
}

// forgetCleared forgets what can no longer come late.
func (g *Guard) forgetCleared(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, each := range g.cleared {
		if now.After(each.until) {
			delete(g.cleared, key)
		}
	}
}
