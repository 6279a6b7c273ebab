package fleet

import "time"

// Saturation is what this process knows of the occupancy of all engines that may run a query.
type Saturation struct {
	// Candidates is the number of engines that Choose would choose from, Slots the sum of their slots.
	Candidates int
	Slots      int
	// Occupied is the number of requests known to be at them, Own the number of those that this process sent.
	Occupied int
	Own      int
	// Free is the number of slots that are not known to be taken.
	Free int
	// FreeAt is when the first load report expires without which an engine does not count as full; zero if no engine
	// counts as full because of a report alone.
	FreeAt time.Time
	// AnswerTime is the service's mean response time; AnswerTimeKnown is false if it is an assumption.
	AnswerTime      time.Duration
	AnswerTimeKnown bool
}

// Full reports whether every engine that may run the query is known to have no free slot.
func (s Saturation) Full() bool { return s.Candidates > 0 && s.Free == 0 }

// Saturation returns the known occupancy of the engines from which Choose would choose. An engine counts as full only
// by requests of this process or by a load report that is not older than reportedLoadTTL.
func (f *Fleet) Saturation(query Query) Saturation {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.filter(query, false)
	if len(candidates) == 0 {
		candidates = f.filter(query, true)
	}
	_, known := f.answerTimes[query.Service]
	state := Saturation{
		Candidates: len(candidates), AnswerTime: f.answerTime(query.Service), AnswerTimeKnown: known,
	}
	for _, candidate := range candidates {
		slots, occupied := max(1, candidate.engine.Slots), candidate.remaining(query.Now)
		state.Slots += slots
		state.Occupied += occupied
		state.Own += min(candidate.inFlight, occupied)
		state.Free += max(0, slots-occupied)
		if occupied < slots || candidate.inFlight >= slots {
			continue
		}
		if expires := candidate.loadAt.Add(reportedLoadTTL); state.FreeAt.IsZero() || expires.Before(state.FreeAt) {
			state.FreeAt = expires
		}
	}
	return state
}

// HasFreeSlots reports whether more than the given number of slots are not known to be taken at engines that did not
// fail recently. It looks only at as many engines as it needs, unlike Saturation.
func (f *Fleet) HasFreeSlots(query Query, moreThan int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := 0
	for _, id := range f.byService[query.Service] {
		candidate := f.members[id]
		if !f.mayRun(candidate, &query, false) {
			continue
		}
		free += max(0, max(1, candidate.engine.Slots)-candidate.remaining(query.Now))
		if free > moreThan {
			return true
		}
	}
	return false
}

// isFull reports whether the engine is known to have no free slot.
func (m *member) isFull(now time.Time) bool { return m.remaining(now) >= max(1, m.engine.Slots) }

// remaining returns the number of requests known to be at the engine, like occupied, without the request whose answer
// brought the load report: engines write the report before the answer ends.
func (m *member) remaining(now time.Time) int {
	occupied := m.occupied(now)
	if m.loadCountsEnded && occupied > m.inFlight && occupied == m.load.Running+m.load.Waiting {
		return occupied - 1
	}
	return occupied
}
