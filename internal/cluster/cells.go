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

func newCellStore() *cellStore { return &cellStore{cells: make(map[message.CellID]*cellEntry)} }

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
			return !keep(c.digest, c.at)
		})
		if len(entry.candidates) > 0 {
			return false
		}
		delete(s.cells, entry.id)
		return true
	})
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
	s.retain(func(digest message.CellDigest, at time.Time) bool {
		_, stays := listed[digest.Cell]
		return stays || digest.Node != update.ID || now.Sub(at) < cellUnlistedAfter
	})
}
