package weights

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/corkpulley/corkpulley/internal/cluster"
)

// preference picks preferred owners by rendezvous hashing. It keeps the hashes
// of the candidates for as long as the view hands out the same slice, since all
// models of all nodes look at them every second. The zero value is ready; it is
// safe for concurrent use.
type preference struct {
	mu         sync.Mutex
	candidates []cluster.Member
	ranking    *rendezvous.Rendezvous
}

// owner returns the ID of the candidate that is preferred for the stream; ""
// when there is none. The slice must not change afterwards.
func (p *preference) owner(candidates []cluster.Member, stream string) string {
	if len(candidates) == 0 {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sameSlice(p.candidates, candidates) {
		ids := make([]string, len(candidates))
		for index, member := range candidates {
			ids[index] = member.ID
		}
		p.candidates = candidates
		p.ranking = rendezvous.New(ids, xxhash.Sum64String)
	}
	return p.ranking.Lookup(stream)
}

// sameSlice reports whether both slices share all their elements.
func sameSlice(a, b []cluster.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}
