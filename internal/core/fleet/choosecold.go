package fleet

import (
	"cmp"
	"slices"
	"time"
)

// isCold reports whether a member is cold. Must be called with mu held.
func (f *Fleet) isCold(m *member, now time.Time) bool {
	_, cold := f.coldnessOf(m, now)
	return cold
}

// isDueForProbe reports whether an engine is cold only because it was unreachable, and has not responded for the
// slow start period since. Without a probe it would stay cold while other engines have free slots. Must be called
// with mu held.
func (f *Fleet) isDueForProbe(m *member, now time.Time) bool {
	if now.Before(m.engine.ColdUntil) {
		return false
	}
	mark := f.cold.marks[m.engine.Incarnation()]
	period := f.cold.services[m.engine.Service].Period
	return mark.reason == Unreached && mark.respondedAt.IsZero() && !now.Before(mark.at.Add(period))
}

// splitByCold splits candidates into warm and cold ones. Must be called with mu held.
func (f *Fleet) splitByCold(candidates []*member, now time.Time) (warm, cold []*member) {
	for _, candidate := range candidates {
		if f.isCold(candidate, now) {
			cold = append(cold, candidate)
		} else {
			warm = append(warm, candidate)
		}
	}
	return warm, cold
}

// pickWarmFirst picks a cold engine only if no warm one has a free slot, or if it is due for a probe. Must be
// called with mu held.
func (f *Fleet) pickWarmFirst(warm, cold []*member, query Query) Choice {
	hasFreeSlot := func(candidate *member) bool { return candidate.occupied(query.Now) < max(1, candidate.engine.Slots) }
	candidates := cold
	if slices.ContainsFunc(warm, hasFreeSlot) {
		candidates = warm
		for _, each := range cold {
			if f.isDueForProbe(each, query.Now) {
				candidates = append(candidates, each)
			}
		}
	}
	choice := f.pick(candidates, query)
	choice.Cold = f.isCold(f.members[choice.Engine.ID], query.Now)
	return choice
}

// ColdCandidates returns up to limit cold engines that match the query, lowest expected response time first.
func (f *Fleet) ColdCandidates(query Query, limit int) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, cold := f.splitByCold(f.filter(query, false), query.Now)
	if len(cold) == 0 {
		_, cold = f.splitByCold(f.filter(query, true), query.Now)
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

// ChoiceOf returns the Choice for a cold engine that the caller selected; false if it is not available any more.
func (f *Fleet) ChoiceOf(engine Engine, query Query, candidates int) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.lookUp(engine.Incarnation())
	if !found || !f.acceptsWork(m.engine) {
		return Choice{}, false
	}
	choice := f.pick([]*member{m}, query)
	choice.Candidates, choice.Cold = candidates, true
	return choice, true
}
