package routes

import (
	"slices"
	"sync"
)

// Splitter distributes the requests of a route over its parts by smooth weighted round-robin. The number of requests
// of each part stays within a few of its exact share, for any sequence of requests. It is safe for concurrent use.
type Splitter struct {
	mu sync.Mutex
	// shares holds the state of each route by its name.
	shares map[string]*shares
	seed   uint64
}

// shares is the state of a route: the parts for which it holds, and the score of each. The sum of the scores is zero.
type shares struct {
	parts  []Part
	scores []int
}

// NewSplitter returns a splitter. The seed determines its initial scores, so that nodes with few requests do not
// all start with the part of the greatest weight.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{shares: make(map[string]*shares), seed: seed}
}

// Pick returns the service for the next request of the route; empty if no part has a positive weight.
func (s *Splitter) Pick(route *Route) string { return s.PickFor(route.Name, route.Parts, 1) }

// PickFor returns the service for the next requests of a route, as many as given, which go to the same one. Parts must not
// be modified afterwards.
func (s *Splitter) PickFor(route string, parts []Part, requests int) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	total := 0
	for _, part := range parts {
		total += part.Weight
	}
	if total <= 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	scores := s.scoresOf(route, parts, total)
	best := -1
	for i, part := range parts {
		scores[i] += requests * part.Weight
		if part.Weight > 0 && (best < 0 || scores[i] > scores[best]) {
			best = i
		}
	}
	scores[best] -= requests * total
	return parts[best].Service
}

// scoresOf returns the scores of a route's parts. They start anew when parts or weights change: scores by other weights
// would send all requests to one part until they are made up for. Must be called with mu held.
func (s *Splitter) scoresOf(route string, parts []Part, total int) []int {
	if known, found := s.shares[route]; found && slices.Equal(known.parts, parts) {
		return known.scores
	}
	scores := make([]int, len(parts))
	// The shift keeps the sum of the scores at zero.
	shift := int(s.seed % uint64(total))
	scores[0] -= shift
	scores[len(scores)-1] += shift
	s.shares[route] = &shares{parts: parts, scores: scores}
	return scores
}
