package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/topology"
)

// Query describes the request for which an engine is chosen.
type Query struct {
	Service string
	// Zone and Region locate the querying node.
	Zone   string
	Region string
	// Model and MinVersion, if set, require an engine that has at least this weight version.
	Model      string
	MinVersion int64
	// Regions restricts the engines to these regions.
	Regions homes.Set
	// Tried holds the IDs of engines that this request was already sent to.
	Tried       []string
	ExcludeCold bool
	// ExcludeFull excludes the engines that count as full; see Saturation. Recently failed ones are then not chosen.
	ExcludeFull bool
	Now         time.Time
}

// Choice is the chosen engine with the values that led to the choice.
type Choice struct {
	Engine   Engine
	InFlight int
	// InFlightOfPeers is the number of requests that other nodes reported to have at the engine.
	InFlightOfPeers int
	// LoadAge is the age of the load that the engine reported; negative if unknown.
	LoadAge time.Duration
	// Expected is the estimated response time, from the engine's load and distance.
	Expected time.Duration
	// Distance is the distance between the engine and the querying node.
	Distance topology.Distance
	// Candidates is the number of engines that passed the filters.
	Candidates int
	// Cold reports whether the engine is cold; requests to it then need a permit.
	Cold bool
}

const (
	// coldPenalty is added to the occupancy (1 = all slots taken) of an engine that reports that it is cold.
	coldPenalty = 0.5
	// reportedLoadTTL and slowdownTTL are how long a reported load and a reported slowdown are used.
	// The slowdown changes several times a second.
	reportedLoadTTL = 500 * time.Millisecond
	slowdownTTL     = 150 * time.Millisecond
	// defaultAnswerTime is the response time assumed before a service's first answer. It is that of a
	// small request, so that near engines are preferred unless they are full.
	defaultAnswerTime = 50 * time.Millisecond
)

// Choose returns the engine with the lowest expected response time, and false if there is none.
// Recently failed engines are chosen only if no other is left; cold engines only if all others
// are full, or to probe whether a previously unreachable one is back.
func (f *Fleet) Choose(query Query) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.filter(query, false)
	if len(candidates) == 0 && !query.ExcludeFull {
		candidates = f.filter(query, true)
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if _, hasSlowStart := f.cold.services[query.Service]; hasSlowStart {
		if warm, cold := f.splitByCold(candidates, query.Now); len(cold) > 0 {
			return f.pickWarmFirst(warm, cold, query), true
		}
	}
	return f.pick(candidates, query), true
}

// filter returns the engines that may run the request. Must be called with mu held.
func (f *Fleet) filter(query Query, includeSuspected bool) []*member {
	var candidates []*member
	for _, id := range f.byService[query.Service] {
		if candidate := f.members[id]; f.mayRun(candidate, &query, includeSuspected) {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// mayRun reports whether an engine of the service may run the request. Must be called with mu held.
func (f *Fleet) mayRun(candidate *member, query *Query, includeSuspected bool) bool {
	if !f.acceptsWork(candidate.engine) || !query.Regions.Allows(candidate.engine.Region) ||
		contains(query.Tried, candidate.engine.ID) {
		return false
	}
	if !includeSuspected && query.Now.Before(candidate.suspectUntil) {
		return false
	}
	if query.Model != "" && candidate.engine.Versions[query.Model] < query.MinVersion {
		return false
	}
	if query.ExcludeCold && f.isCold(candidate, query.Now) {
		return false
	}
	return !query.ExcludeFull || !candidate.isFull(query.Now)
}

func contains(ids []string, id string) bool {
	for _, each := range ids {
		if each == id {
			return true
		}
	}
	return false
}

// pick returns the candidate with the lowest expected response time, a random one among equals. Must be
// called with mu held.
func (f *Fleet) pick(candidates []*member, query Query) Choice {
	answerTime := f.answerTime(query.Service)
	var best *member
	var bestExpected time.Duration
	ties := 0
	for _, candidate := range candidates {
		expected := expectedTime(candidate, query, answerTime)
		switch {
		case best == nil || expected < bestExpected:
			best, bestExpected, ties = candidate, expected, 1
		case expected == bestExpected:
			ties++
			if rand.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	choice := Choice{
		Engine: best.engine, InFlight: best.inFlight, LoadAge: -1, Expected: bestExpected,
		Distance: distanceOf(best, query), Candidates: len(candidates),
	}
	if best.peers != nil {
		choice.InFlightOfPeers = best.peers.count(query.Now)
	}
	if !best.loadAt.IsZero() {
		choice.LoadAge = query.Now.Sub(best.loadAt)
	}
	return choice
}

// expectedTime estimates an engine's response time: the service's mean, scaled by the engine's occupancy
// including this request, plus the round trip. Distance therefore decides between engines of similar
// occupancy, and weighs more the shorter the answers are.
func expectedTime(candidate *member, query Query, answerTime time.Duration) time.Duration {
	occupancy := float64(candidate.occupied(query.Now)+1) / float64(max(1, candidate.engine.Slots))
	// Engines of a service differ in speed, so occupancy weighs more at an engine with a higher mean latency.
	occupancy *= 1 + candidate.latency.Seconds()
	occupancy *= candidate.slowdown(query.Now)
	if query.Now.Before(candidate.engine.ColdUntil) {
		occupancy += coldPenalty
	}
	return time.Duration(occupancy*float64(answerTime)) + distanceOf(candidate, query).RoundTrip()
}

func distanceOf(candidate *member, query Query) topology.Distance {
	own := topology.Place{Zone: query.Zone, Region: query.Region}
	return topology.Between(own, topology.Place{Zone: candidate.engine.Zone, Region: candidate.engine.Region})
}

// answerTime returns the service's mean response time. Must be called with mu held.
func (f *Fleet) answerTime(service string) time.Duration {
	if mean, found := f.answerTimes[service]; found {
		return mean
	}
	return defaultAnswerTime
}

// observeAnswerTime adds the duration of a complete answer to the service's mean. Must be called with mu held.
func (f *Fleet) observeAnswerTime(service string, took time.Duration) {
	mean := f.answerTime(service)
	f.answerTimes[service] = mean + time.Duration(latencyWeight*float64(took-mean))
}

// slowdown returns the engine's reported slowdown factor, or 1 if none was reported recently.
func (m *member) slowdown(now time.Time) float64 {
	if m.load.Slowdown <= 0 || now.Sub(m.loadAt) >= slowdownTTL {
		return 1
	}
	return m.load.Slowdown
}

// occupied returns the number of requests at the engine: those of this process, or the recently reported load
// if that is higher.
func (m *member) occupied(now time.Time) int {
	if m.peers != nil {
		return m.occupiedWithPeers(now)
	}
	if now.Sub(m.loadAt) >= reportedLoadTTL {
		return m.inFlight
	}
	return max(m.inFlight, m.load.Running+m.load.Waiting)
}
