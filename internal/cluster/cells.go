package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// nonMemberCellRetention is how long digests of nodes that are not known members are kept.
const nonMemberCellRetention = time.Minute

// unlistedCellMinAge is the minimum age of a digest that is removed because its node's record no longer
// lists the cell.
const unlistedCellMinAge = 5 * time.Second

// cellStore holds the digests of all known cells. It has a separate lock, since it is updated on the data
// path.
type cellStore struct {
	mu     sync.RWMutex
	cells  map[message.CellID]*cellEntry
	sorted []*cellEntry // by cell ID
	// byNode holds the cells with a stored digest of each node.
	byNode map[string]map[message.CellID]struct{}
}

// cellEntry holds the last digest received from each dispatcher of the cell.
type cellEntry struct {
	id       message.CellID
	received []receivedDigest // most recent first
}

type receivedDigest struct {
	digest message.CellDigest
	at     time.Time
}

func newCellStore() *cellStore {
	return &cellStore{
		cells:  make(map[message.CellID]*cellEntry),
		byNode: make(map[string]map[message.CellID]struct{}),
	}
}

func compareCells(a, b message.CellID) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Index, b.Index))
}

// add stores a digest unless it is outdated. Digests of the same dispatcher are ordered by sequence, those
// of different dispatchers by arrival.
func (s *cellStore) add(digest message.CellDigest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entry(digest.Cell)
	index := slices.IndexFunc(entry.received, func(r receivedDigest) bool { return r.digest.Node == digest.Node })
	if index >= 0 {
		if digest.Sequence <= entry.received[index].digest.Sequence {
			return
		}
		entry.received = slices.Delete(entry.received, index, index+1)
	}
	entry.received = slices.Insert(entry.received, 0, receivedDigest{digest: digest, at: now})
	if s.byNode[digest.Node] == nil {
		s.byNode[digest.Node] = make(map[message.CellID]struct{})
	}
	s.byNode[digest.Node][digest.Cell] = struct{}{}
}

// entry returns the entry of a cell, creating it if needed. Must be called with mu held.
func (s *cellStore) entry(id message.CellID) *cellEntry {
	if entry, known := s.cells[id]; known {
		return entry
	}
	entry := &cellEntry{id: id}
	s.cells[id] = entry
	index, _ := slices.BinarySearchFunc(s.sorted, id, func(e *cellEntry, id message.CellID) int {
		return compareCells(e.id, id)
	})
	s.sorted = slices.Insert(s.sorted, index, entry)
	return entry
}

// all returns the most recent digest of each cell, sorted by cell ID.
func (s *cellStore) all() []message.CellDigest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	digests := make([]message.CellDigest, 0, len(s.sorted))
	for _, entry := range s.sorted {
		digests = append(digests, entry.received[0].digest)
	}
	return digests
}

// retain removes the digests for which keep returns false.
func (s *cellStore) retain(keep func(digest message.CellDigest, at time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sorted = slices.DeleteFunc(s.sorted, func(entry *cellEntry) bool {
		entry.received = slices.DeleteFunc(entry.received, func(r receivedDigest) bool {
			if keep(r.digest, r.at) {
				return false
			}
			s.unindex(r.digest)
			return true
		})
		if len(entry.received) > 0 {
			return false
		}
		delete(s.cells, entry.id)
		return true
	})
}

// unindex removes a digest from byNode.
func (s *cellStore) unindex(removed message.CellDigest) {
	delete(s.byNode[removed.Node], removed.Cell)
	if len(s.byNode[removed.Node]) == 0 {
		delete(s.byNode, removed.Node)
	}
}

// removeNode removes all digests of a node.
func (s *cellStore) removeNode(node string) {
	s.retain(func(digest message.CellDigest, _ time.Time) bool { return digest.Node != node })
}

// mergeRecord stores the cells of a record and removes those that its node no longer lists.
func (s *cellStore) mergeRecord(update record, now time.Time) {
	listed := make(map[message.CellID]struct{}, len(update.Cells))
	for _, state := range update.Cells {
		digest := state.digest(update)
		listed[digest.Cell] = struct{}{}
		s.add(digest, now)
	}
	if !s.hasUnlisted(update.ID, listed) {
		return // common case; avoids scanning all cells
	}
	s.retain(func(digest message.CellDigest, at time.Time) bool {
		_, isListed := listed[digest.Cell]
		return isListed || digest.Node != update.ID || now.Sub(at) < unlistedCellMinAge
	})
}

// hasUnlisted reports whether digests of the node are stored for cells that are not listed.
func (s *cellStore) hasUnlisted(node string, listed map[message.CellID]struct{}) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.byNode[node]) > len(listed)
}
