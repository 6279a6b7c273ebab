package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// cellMemory is how long the digest of a node that is not a known member is kept.
const cellMemory = time.Minute

// cellUnlistedAfter is how old a digest must be for a record that does not
// list the cell to remove it.
const cellUnlistedAfter = 5 * time.Second

// cellStore keeps the digests of all known cells. It has its own lock, since
// the data path feeds it.
type cellStore struct {
	mu    sync.RWMutex
	cells map[message.CellID]*cellEntry
	order []*cellEntry
	// byNode holds the cells of which a digest of the node is kept.
	byNode map[string]map[message.CellID]struct{}
}

// cellEntry holds the last digest of each dispatcher that spoke for the cell.
type cellEntry struct {
	id         message.CellID
	candidates []cellCandidate // freshest first
}

type cellCandidate struct {
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

// put keeps a digest that is news. Of one dispatcher the higher sequence is
// fresher; between dispatchers it is the one whose news came last.
func (s *cellStore) put(digest message.CellDigest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entry(digest.Cell)
	at := slices.IndexFunc(entry.candidates, func(c cellCandidate) bool { return c.digest.Node == digest.Node })
	if at >= 0 {
		if digest.Sequence <= entry.candidates[at].digest.Sequence {
			return
		}
		entry.candidates = slices.Delete(entry.candidates, at, at+1)
	}
	entry.candidates = slices.Insert(entry.candidates, 0, cellCandidate{digest: digest, at: now})
	if s.byNode[digest.Node] == nil {
		s.byNode[digest.Node] = make(map[message.CellID]struct{})
	}
	s.byNode[digest.Node][digest.Cell] = struct{}{}
}

func (s *cellStore) entry(id message.CellID) *cellEntry {
	if entry, known := s.cells[id]; known {
		return entry
	}
	entry := &cellEntry{id: id}
	s.cells[id] = entry
	at, _ := slices.BinarySearchFunc(s.order, id, func(e *cellEntry, id message.CellID) int {
		return compareCells(e.id, id)
	})
	s.order = slices.Insert(s.order, at, entry)
	return entry
}

// all returns the freshest digest of each cell, sorted by cell.
func (s *cellStore) all() []message.CellDigest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	digests := make([]message.CellDigest, 0, len(s.order))
	for _, entry := range s.order {
		digests = append(digests, entry.candidates[0].digest)
	}
	return digests
}

// retain drops the digests that keep refuses.
func (s *cellStore) retain(keep func(digest message.CellDigest, at time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = slices.DeleteFunc(s.order, func(entry *cellEntry) bool {
		entry.candidates = slices.DeleteFunc(entry.candidates, func(c cellCandidate) bool {
			if keep(c.digest, c.at) {
				return false
			}
			s.forget(c.digest)
			return true
		})
		if len(entry.candidates) > 0 {
			return false
		}
		delete(s.cells, entry.id)
		return true
	})
}

// forget takes a dropped digest out of the index.
func (s *cellStore) forget(dropped message.CellDigest) {
	delete(s.byNode[dropped.Node], dropped.Cell)
	if len(s.byNode[dropped.Node]) == 0 {
		delete(s.byNode, dropped.Node)
	}
}

// forgetNode drops all digests of a node.
func (s *cellStore) forgetNode(node string) {
	s.retain(func(digest message.CellDigest, _ time.Time) bool { return digest.Node != node })
}

// takeRecord takes the cells of a new record, and drops those that its node
// no longer lists.
func (s *cellStore) takeRecord(update record, now time.Time) {
	listed := make(map[message.CellID]struct{}, len(update.Cells))
	for _, state := range update.Cells {
		digest := state.digest(update)
		listed[digest.Cell] = struct{}{}
		s.put(digest, now)
	}
	if !s.hasOthers(update.ID, listed) {
		return // nearly always: the walk over all cells is spared
	}
	s.retain(func(digest message.CellDigest, at time.Time) bool {
		_, stays := listed[digest.Cell]
		return stays || digest.Node != update.ID || now.Sub(at) < cellUnlistedAfter
	})
}

// hasOthers reports whether the node has digests of cells that are not listed.
func (s *cellStore) hasOthers(node string, listed map[message.CellID]struct{}) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.byNode[node]) > len(listed)
}
