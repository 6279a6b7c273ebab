package weights

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/corkpulley/corkpulley/internal/cluster"
)

// ownerSelector selects preferred owners by rendezvous hashing. It caches the hashes
// of the candidates while the view returns the same slice, since every model is
// looked up in each round. The zero value is ready to use; it is safe for
// concurrent use.
type ownerSelector struct {
	mu         sync.Mutex
	candidates []cluster.Member
	ranking    *rendezvous.Rendezvous
}

// owner returns the ID of the preferred candidate for the stream, or "" if there
// are no candidates. The slice must not be modified afterwards.
func (s *ownerSelector) owner(candidates []cluster.Member, stream string) string {
	if len(candidates) == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sameSlice(s.candidates, candidates) {
		ids := make([]string, len(candidates))
		for index, member := range candidates {
			ids[index] = member.ID
		}
		s.candidates = candidates
		s.ranking = rendezvous.New(ids, xxhash.Sum64String)
	}
	return s.ranking.Lookup(stream)
}

// sameSlice reports whether both slices are non-empty and share their elements in memory.
func sameSlice(a, b []cluster.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}
