package crashes

import (
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// A record received from a peer is written by this node if it is not in the log after peerWriteDelay plus a
	// random time below peerWriteJitter, since the peer may have ended. The jitter makes it likely that only one node
	// writes it.
	peerWriteDelay  = 5 * time.Second
	peerWriteJitter = 10 * time.Second
	// maintenanceInterval is the time between checks for due peer records and expired tombstones.
	maintenanceInterval = time.Second
)

// peerRecord is a record received from a peer that is not known to be in the log.
type peerRecord struct {
	record eventlog.KeyedRecord
	// due is when this node writes the record itself.
	due time.Time
}

// applyFromPeer applies a record that a peer could not write to the log.
func (g *Guard) applyFromPeer(from eventlog.KeyedRecord) {
	from.Offset = quarantine.Unlogged
	record, err := decode(from)
	if err != nil {
		g.logger.Error().Err(err).Str("key", from.Key).Msg("crash record skipped: it cannot be decoded")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if from.Deleted {
		g.ledger.Drop(record.Fingerprint, record.Key())
		g.updateCount()
		g.addTombstone(from.Key, false)
		return
	}
	if g.isDeleted(from.Key) {
		return
	}
	g.put(record, "peer")
	g.peerRecords[from.Key] = peerRecord{record: from, due: time.Now().Add(peerWriteDelay + rand.N(peerWriteJitter))}
}

// writePeerRecords writes the records of peers that are due and still not in the log.
func (g *Guard) writePeerRecords(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, each := range g.peerRecords {
		record, err := decode(each.record)
		switch {
		case err != nil || g.ledger.Logged(record):
			delete(g.peerRecords, key)
		case !now.Before(each.due):
			delete(g.peerRecords, key)
			g.writer.add(each.record)
		}
	}
}
