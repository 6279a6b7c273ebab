// Package lengths learns how long answers of a prompt group are, in tokens, so
// that the longest expected ones can start first. It has no input or output
// and its state depends only on the order of the calls.
package lengths

import "slices"

const (
	// window is the number of last answers remembered for each group.
	window = 64
	// MaxGroups bounds the groups remembered; the one observed longest ago goes first.
	MaxGroups = 4096
	// quantilePercent of the remembered lengths is the expectation: above the
	// median, since a start too late costs more than a start too early.
	quantilePercent = 75
)

// Estimator learns expected answer lengths. The zero value is not ready; use
// New. It is not safe for concurrent use.
type Estimator struct {
	groups map[string]*samples
	// overall is for groups that were never observed.
	overall samples
	clock   uint64
}

// samples is a ring of the last lengths.
type samples struct {
	lengths  []int
	next     int
	lastUsed uint64
}

// New returns an estimator that has seen no answers.
func New() *Estimator {
	return &Estimator{groups: make(map[string]*samples)}
}

// Observe notes the length of a finished answer; lengths below zero are ignored.
func (e *Estimator) Observe(group string, tokens int) {
	if tokens < 0 {
		return
	}
	e.clock++
	e.overall.add(tokens)
	known, found := e.groups[group]
	if !found {
		e.makeRoom()
		known = &samples{}
		e.groups[group] = known
	}
	known.add(tokens)
	known.lastUsed = e.clock
}

// Expect returns the expected length for a group, at most maxTokens: learnt
// from the group, else from all groups, else maxTokens itself (an unknown
// answer may be the longest).
func (e *Estimator) Expect(group string, maxTokens int) int {
	if known := e.groups[group]; known != nil {
		return min(known.quantile(), maxTokens)
	}
	if len(e.overall.lengths) > 0 {
		return min(e.overall.quantile(), maxTokens)
	}
	return maxTokens
}

func (e *Estimator) makeRoom() {
	if len(e.groups) < MaxGroups {
		return
	}
	oldest, found := "", false
	for group, known := range e.groups {
		if !found || known.lastUsed < e.groups[oldest].lastUsed {
			oldest, found = group, true
		}
	}
	delete(e.groups, oldest)
}

func (s *samples) add(tokens int) {
	if len(s.lengths) < window {
		s.lengths = append(s.lengths, tokens)
		return
	}
	s.lengths[s.next] = tokens
	s.next = (s.next + 1) % window
}

func (s *samples) quantile() int {
	sorted := slices.Clone(s.lengths)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)*quantilePercent/100]
}
