package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// Query asks for an engine for one request.
type Query struct {
	Service string
	// Zone is the asking node's; engines there are preferred slightly.
	Zone string
	// Model and MinVersion are set for requests that want certain weights.
	Model      string
	MinVersion int64
	// Regions are those whose engines may run the request.
	Regions homes.Set
	// Tried lists engines that this request was already sent to.
	Tried []string
	Now   time.Time
}

// Choice is the engine chosen, with the figures that decided it.
type Choice struct {
	Engine   Engine
	InFlight int
	// LoadAge is the age of the load that the engine reported; negative when unknown.
	LoadAge time.Duration
	Score   float64
	// Candidates is the number of engines that passed the filters.
	Candidates int
}

// Costs that the score adds to an engine's occupancy (1 = all slots taken).
const (
	otherZoneCost = 0.1
	coldCost      = 0.5
	// reportedLoadLife is how long a reported load is believed.
	reportedLoadLife = 500 * time.Millisecond
)

// Choose returns the engine with the lowest score. Engines that failed recently
// are chosen only when no other is left; found is false when none is.
func (f *Fleet) Choose(query Query) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.filter(query, false)
	if len(candidates) == 0 {
		candidates = f.filter(query, true)
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	return pick(candidates, query), true
}

func (f *Fleet) filter(query Query, suspectsToo bool) []*member {
	var candidates []*member
	for _, id := range f.byService[query.Service] {
		candidate := f.members[id]
		if !f.takesWork(candidate.engine) || !query.Regions.Allows(candidate.engine.Region) || contains(query.Tried, id) {
			continue
		}
		if !suspectsToo && query.Now.Before(candidate.suspectUntil) {
			continue
		}
		if query.Model != "" && candidate.engine.Versions[query.Model] < query.MinVersion {
			continue
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

func contains(ids []string, id string) bool {
	for _, each := range ids {
		if each == id {
			return true
		}
	}
	return false
}

func pick(candidates []*member, query Query) Choice {
	var best *member
	bestScore, ties := 0.0, 0
	for _, candidate := range candidates {
		score := score(candidate, query)
		switch {
		case best == nil || score < bestScore:
			best, bestScore, ties = candidate, score, 1
		case score == bestScore:
			ties++
			if rand.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	choice := Choice{
		Engine: best.engine, InFlight: best.inFlight, LoadAge: -1, Score: bestScore, Candidates: len(candidates),
	}
	if !best.loadAt.IsZero() {
		choice.LoadAge = query.Now.Sub(best.loadAt)
	}
	return choice
}

// score is the engine's occupancy after this request, in time it would take.
func score(candidate *member, query Query) float64 {
	score := float64(candidate.busy(query.Now)+1) / float64(max(1, candidate.engine.Slots))
	score *= 1 + candidate.latency.Seconds()
	if candidate.engine.Zone != query.Zone {
		score += otherZoneCost
	}
	if query.Now.Before(candidate.engine.ColdUntil) {
		score += coldCost
	}
	return score
}

// busy is the number of requests at the engine: those of this process, or what
// the engine said of itself lately if that is more.
func (m *member) busy(now time.Time) int {
	if now.Sub(m.loadAt) >= reportedLoadLife {
		return m.inFlight
	}
	return max(m.inFlight, m.load.Running+m.load.Waiting)
}
