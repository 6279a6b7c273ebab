package routes

import "sync"

// Splitter distributes the requests of a route over its parts by smooth weighted round-robin. The number of requests
// of each part stays within a few of its exact share, for any sequence of requests. It is safe for concurrent use.
type Splitter struct {
	mu sync.Mutex
	// scores holds the current score of each part by route name. Their sum is zero.
	scores map[string][]int
	seed   uint64
}

// NewSplitter returns a splitter. The seed determines its initial scores, so that nodes with few requests do not
// all start with the part of the greatest weight.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{scores: make(map[string][]int), seed: seed}
}

// Pick returns the service for the next request of the route; empty if no part has a positive weight.
func (s *Splitter) Pick(route *Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	total := 0
	for _, part := range route.Parts {
		total += part.Weight
	}
	if total <= 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	scores := s.routeScores(route, total)
	best := -1
	for i, part := range route.Parts {
		scores[i] += part.Weight
		if part.Weight > 0 && (best < 0 || scores[i] > scores[best]) {
			best = i
		}
	}
	scores[best] -= total
	return route.Parts[best].Service
}

// routeScores returns the scores of the route's parts. Must be called with mu held.
func (s *Splitter) routeScores(route *Route, total int) []int {
	scores := s.scores[route.Name]
	if len(scores) == len(route.Parts) {
		return scores
	}
	scores = make([]int, len(route.Parts))
	// The shift keeps the sum of the scores at zero.
	shift := int(s.seed % uint64(total))
	scores[0] -= shift
	scores[len(scores)-1] += shift
	s.scores[route.Name] = scores
	return scores
}
