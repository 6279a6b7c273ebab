package fleet

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/loadexchange"
)

// peerLoad is the load of an engine as other nodes reported it.
type peerLoad struct {
	// inFlight is the number of requests of other nodes at countedAt.
	inFlight  int
	countedAt time.Time
	// reported is the number of requests that the engine reported to another node at reportedAt.
	reported   int
	reportedAt time.Time
}

// count returns the requests of other nodes; zero if they were counted too long ago.
func (p *peerLoad) count(now time.Time) int {
	if now.Sub(p.countedAt) >= loadexchange.TTL {
		return 0
	}
	return p.inFlight
}

// occupiedWithPeers returns the number of requests at the engine: those of all nodes, or the newest reported load if
// that is higher.
func (m *member) occupiedWithPeers(now time.Time) int {
	inFlight := m.inFlight + m.peers.count(now)
	reported, reportedAt := m.load.Running+m.load.Waiting, m.loadAt
	if m.peers.reportedAt.After(reportedAt) {
		reported, reportedAt = m.peers.reported, m.peers.reportedAt
	}
	if now.Sub(reportedAt) >= reportedLoadTTL {
		return inFlight
	}
	return max(inFlight, reported)
}

// OwnLoad returns this node's load data for other nodes: the engines that have requests of this node, were sent one
// since the last call, or reported their load within loadexchange.TTL. It is empty if no engine was in use since the
// last call.
func (f *Fleet) OwnLoad(now time.Time) []loadexchange.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []loadexchange.Entry
	inUse := false
	for _, m := range f.members {
		isUsed := m.used || m.inFlight > 0
		// The call after the end of the last request reports that it ended; without it, others would count it up to the
		// TTL.
		m.used = m.inFlight > 0
		inUse = inUse || isUsed
		if isUsed || now.Sub(m.loadAt) < loadexchange.TTL {
			entries = append(entries, loadexchange.Entry{
				Engine: m.engine.Incarnation(), Service: m.engine.Service, InFlight: m.inFlight, CountedAt: now,
				Running: m.load.Running, Waiting: m.load.Waiting, ReportedAt: m.loadAt,
			})
		}
	}
	if !inUse {
		return nil
	}
	return entries
}

// SetPeerLoad replaces the load that other nodes reported. Entries of incarnations that are not listed are ignored.
func (f *Fleet) SetPeerLoad(entries []loadexchange.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.withPeerLoad {
		m.peers = nil
	}
	f.withPeerLoad = f.withPeerLoad[:0]
	for _, entry := range entries {
		m, found := f.lookUp(entry.Engine)
		if !found {
			continue
		}
		m.peers = &peerLoad{
			inFlight: entry.InFlight, countedAt: entry.CountedAt,
			reported: entry.Running + entry.Waiting, reportedAt: entry.ReportedAt,
		}
		f.withPeerLoad = append(f.withPeerLoad, m)
	}
}
