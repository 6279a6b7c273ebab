package crashes

import (
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// A record that another node told of is written by this one as well unless it stands in
	// the log by then: the other node may have ended. The time is drawn, so that one node
	// does it for all.
	adoptAfter  = 5 * time.Second
	adoptSpread = 10 * time.Second
	adoptPeriod = time.Second
)

// adoption is a record that another node told of.
type adoption struct {
	record eventlog.KeyedRecord
	due    time.Time
}

// takeFromPeer takes a record that another node could not write.
func (g *Guard) takeFromPeer(from eventlog.KeyedRecord) {
	from.Offset = quarantine.Unlogged
	record, err := decode(from)
	if err != nil {
		g.logger.Error().Err(err).Str("key", from.Key).Msg("record of an ended engine passed over")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if from.Deleted {
		g.ledger.Drop(record.Fingerprint, record.Name())
		g.count()
		g.clear(from.Key, false)
		return
	}
	if g.isCleared(from.Key) {
		return
	}
	g.put(record, "peer")
	g.adopted[from.Key] = adoption{record: from, due: time.Now().Add(adoptAfter + rand.N(adoptSpread))}
}

// writeAdopted writes what other nodes told of and have not written since.
func (g *Guard) writeAdopted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, each := range g.adopted {
		record, err := decode(each.record)
		switch {
		case err != nil || g.ledger.Logged(record):
			delete(g.adopted, key)
		case !now.Before(each.due):
			delete(g.adopted, key)
			g.writer.add(each.record)
		}
	}
}
