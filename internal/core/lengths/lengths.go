// Package lengths estimates the answer length of a prompt group, in tokens, so
// that the longest answers can be started first. It has no input or output, and
// its state depends only on the order of the calls.
package lengths

import "slices"

const (
	// window is the number of recent answers kept for each group.
	window = 64
	// MaxGroups bounds the number of groups; the least recently observed one is evicted.
	MaxGroups = 4096
	// quantilePercent is the percentile of the kept lengths used as the estimate. It is above
	// the median, since starting a long answer too late costs more than starting it too early.
	quantilePercent = 75
)

// Estimator estimates answer lengths. Use New to create one. It is not safe for
// concurrent use.
type Estimator struct {
	groups map[string]*samples
	// overall holds the recent lengths of all groups, for the estimates of groups without observations.
	overall samples
	// observations counts the calls of Observe; samples.lastObserved is a value of it.
	observations uint64
}

// samples is a ring buffer of recent lengths.
type samples struct {
	lengths []int
	next    int
	// lastObserved is the value of Estimator.observations at the latest observation.
	lastObserved uint64
}

func New() *Estimator {
	return &Estimator{groups: make(map[string]*samples)}
}

// Observe records the length of a finished answer; negative lengths are ignored.
func (e *Estimator) Observe(group string, tokens int) {
	if tokens < 0 {
		return
	}
	e.observations++
	e.overall.add(tokens)
	known, found := e.groups[group]
	if !found {
		e.evictOldest()
		known = &samples{}
		e.groups[group] = known
	}
	known.add(tokens)
	known.lastObserved = e.observations
}

// Expect returns the estimate for a group, at most maxTokens: from the group's
// answers, else from those of all groups, else maxTokens.
func (e *Estimator) Expect(group string, maxTokens int) int {
	if known := e.groups[group]; known != nil {
		return min(known.quantile(), maxTokens)
	}
	if len(e.overall.lengths) > 0 {
		return min(e.overall.quantile(), maxTokens)
	}
	return maxTokens
}

func (e *Estimator) evictOldest() {
	if len(e.groups) < MaxGroups {
		return
	}
	oldest, found := "", false
	for group, known := range e.groups {
		if !found || known.lastObserved < e.groups[oldest].lastObserved {
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
