package fleet

import (
	"cmp"
	"slices"
	"time"
)

// isCold tells whether a member counts as cold; mu is held.
func (f *Fleet) isCold(of *member, now time.Time) bool {
	_, cold := f.coldnessOf(of, now)
	return cold
}

// isDueForTrial tells whether an engine counts as cold only because nothing was heard of it since it was
// out of reach, and that for the period of its slow start. It would never be heard if none were sent there
// while others have places. mu is held.
func (f *Fleet) isDueForTrial(of *member, now time.Time) bool {
	if now.Before(of.engine.ColdUntil) {
		return false
	}
	known := f.cold.doubts[of.engine.Incarnation()]
	period := f.cold.services[of.engine.Service].Period
	return known.reason == Unreached && known.heardAt.IsZero() && !now.Before(known.at.Add(period))
}

// byColdness splits candidates; mu is held.
func (f *Fleet) byColdness(candidates []*member, now time.Time) (warm, cold []*member) {
	for _, candidate := range candidates {
		if f.isCold(candidate, now) {
			cold = append(cold, candidate)
		} else {
			warm = append(warm, candidate)
		}
	}
	return warm, cold
}

// pickWarmFirst picks a cold engine only where each warm one has all its places taken, or where it is
// due to be tried again; mu is held.
func (f *Fleet) pickWarmFirst(warm, cold []*member, query Query) Choice {
	hasPlace := func(candidate *member) bool { return candidate.busy(query.Now) < max(1, candidate.engine.Slots) }
	candidates := cold
	if slices.ContainsFunc(warm, hasPlace) {
		candidates = warm
		for _, each := range cold {
			if f.isDueForTrial(each, query.Now) {
				candidates = append(candidates, each)
			}
		}
	}
	choice := f.pick(candidates, query)
	choice.Cold = f.isCold(f.members[choice.Engine.ID], query.Now)
	return choice
}

// ColdCandidates returns the cold engines that a query may be answered by, the best first, at most
// as many as asked for.
func (f *Fleet) ColdCandidates(query Query, limit int) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, cold := f.byColdness(f.filter(query, false), query.Now)
	if len(cold) == 0 {
		_, cold = f.byColdness(f.filter(query, true), query.Now)
	}
	answerTime := f.answerTime(query.Service)
	expected := make(map[*member]time.Duration, len(cold))
	for _, candidate := range cold {
		expected[candidate] = expectedTime(candidate, query, answerTime)
	}
	slices.SortStableFunc(cold, func(a, b *member) int { return cmp.Compare(expected[a], expected[b]) })
	var engines []Engine
	for _, candidate := range cold[:min(limit, len(cold))] {
		engines = append(engines, candidate.engine)
	}
	return engines
}

// ChoiceOf returns an engine as a choice, for one that was not picked by its expected time alone.
func (f *Fleet) ChoiceOf(engine Engine, query Query, candidates int) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(engine.Incarnation())
	if !found || !f.takesWork(known.engine) {
		return Choice{}, false
	}
	choice := f.pick([]*member{known}, query)
	choice.Candidates, choice.Cold = candidates, true
	return choice, true
}
