package crashes

import (
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// A record received from a peer that is not in the log after adoptAfter and a random part of
	// adoptSpread is written by this node, since the peer may have ended. The random part makes
	// it likely that only one node does so.
	adoptAfter  = 5 * time.Second
	adoptSpread = 10 * time.Second
	adoptPeriod = time.Second
)

// adoption is a record that was received from a peer.
type adoption struct {
	record eventlog.KeyedRecord
	// due is when this node writes the record.
	due time.Time
}

// applyFromPeer applies a record that a peer could not write.
func (g *Guard) applyFromPeer(from eventlog.KeyedRecord) {
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

// writeAdopted writes records of peers that are due and still not in the log.
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
