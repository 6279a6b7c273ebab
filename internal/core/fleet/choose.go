package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/topology"
)

// Query asks for an engine for one request.
type Query struct {
	Service string
	// Zone and Region are those of the asking node.
	Zone   string
	Region string
	// Model and MinVersion are set for requests that want certain weights.
	Model      string
	MinVersion int64
	// Regions are those whose engines may run the request.
	Regions homes.Set
	// Tried lists engines that this request was already sent to.
	Tried []string
	// WithoutCold leaves out engines that count as cold.
	WithoutCold bool
	Now         time.Time
}

// Choice is the engine chosen, with the figures that decided it.
type Choice struct {
	Engine   Engine
	InFlight int
	// LoadAge is the age of the load that the engine reported; negative when unknown.
	LoadAge time.Duration
	// Expected is the time in which the answer is expected, by the engine's load and distance.
	Expected time.Duration
	// Distance is how far the engine is from the asking node.
	Distance topology.Distance
	// Candidates is the number of engines that passed the filters.
	Candidates int
	// Cold is true where the engine counts as cold: it may be sent nothing without a permit.
	Cold bool
}

const (
	// coldCost is what a cold engine adds to its occupancy (1 = all slots taken).
	coldCost = 0.5
	// reportedLoadLife is how long a reported load is believed, slowdownLife how long a reported slowdown is: that
	// changes several times a second.
	reportedLoadLife = 500 * time.Millisecond
	slowdownLife     = 150 * time.Millisecond
	// assumedAnswerTime stands in for the time of a service's answers until the first ones: that of a
	// small request, so that a near engine goes first unless it is full.
	assumedAnswerTime = 50 * time.Millisecond
)

// Choose returns the engine that is expected to answer first. Engines that failed recently
// are chosen only when no other is left; found is false when none is. One that counts as cold is
// chosen only where all others are full, or to find out whether it is in reach again.
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
	if _, bounded := f.cold.services[query.Service]; bounded {
		if warm, cold := f.byColdness(candidates, query.Now); len(cold) > 0 {
			return f.pickWarmFirst(warm, cold, query), true
		}
	}
	return f.pick(candidates, query), true
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
		if query.WithoutCold && f.isCold(candidate, query.Now) {
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

// pick returns the candidate that is expected to answer first; mu is held.
func (f *Fleet) pick(candidates []*member, query Query) Choice {
	answerTime := f.answerTime(query.Service)
	var best *member
	var soonest time.Duration
	ties := 0
	for _, candidate := range candidates {
		expected := expectedTime(candidate, query, answerTime)
		switch {
		case best == nil || expected < soonest:
			best, soonest, ties = candidate, expected, 1
		case expected == soonest:
			ties++
			if rand.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	choice := Choice{
		Engine: best.engine, InFlight: best.inFlight, LoadAge: -1, Expected: soonest,
		Distance: distanceOf(best, query), Candidates: len(candidates),
	}
	if !best.loadAt.IsZero() {
		choice.LoadAge = query.Now.Sub(best.loadAt)
	}
	return choice
}

// expectedTime is the time in which an engine is expected to answer: that of the service's answers, in
// proportion to the engine's occupancy after this request, and the way there and back. So the way
// decides between engines that are about as busy, and the more the shorter the answers are.
func expectedTime(candidate *member, query Query, answerTime time.Duration) time.Duration {
	share := float64(candidate.busy(query.Now)+1) / float64(max(1, candidate.engine.Slots))
	// An engine that took a second longer lately counts as twice as full: engines of a service differ.
	share *= 1 + candidate.latency.Seconds()
	share *= candidate.slowdown(query.Now)
	if query.Now.Before(candidate.engine.ColdUntil) {
		share += coldCost
	}
	return time.Duration(share*float64(answerTime)) + distanceOf(candidate, query).RoundTrip()
}

func distanceOf(candidate *member, query Query) topology.Distance {
	own := topology.Place{Zone: query.Zone, Region: query.Region}
	return topology.Between(own, topology.Place{Zone: candidate.engine.Zone, Region: candidate.engine.Region})
}

// answerTime is the time of the service's answers, as lately seen; mu is held.
func (f *Fleet) answerTime(service string) time.Duration {
	if seen, found := f.answerTimes[service]; found {
		return seen
	}
	return assumedAnswerTime
}

// observeAnswer notes the time of a whole answer of the service; mu is held.
func (f *Fleet) observeAnswer(service string, took time.Duration) {
	known := f.answerTime(service)
	f.answerTimes[service] = known + time.Duration(latencyWeight*float64(took-known))
}

// slowdown is how much longer than usual work is expected to take at the engine: as it said just now, or else
// as usual.
func (m *member) slowdown(now time.Time) float64 {
	if m.load.Slowdown <= 0 || now.Sub(m.loadAt) >= slowdownLife {
		return 1
	}
	return m.load.Slowdown
}

// busy is the number of requests at the engine: those of this process, or what
// the engine said of itself lately if that is more.
func (m *member) busy(now time.Time) int {
	if now.Sub(m.loadAt) >= reportedLoadLife {
		return m.inFlight
	}
	return max(m.inFlight, m.load.Running+m.load.Waiting)
}
