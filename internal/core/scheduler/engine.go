package scheduler

import (
	"github.com/corkpulley/corkpulley/internal/engine"
)

// reportsRemembered is how many load reports back the engine's own figures may
// lag behind what this cell sent.
const reportsRemembered = 4

// EngineUpdate is what the caller knows of an engine.
type EngineUpdate struct {
	ID     string
	Status engine.Status
	// Leaving: the machine list names the engine as leaving.
	Leaving bool
	// Reachable: its watch stream is up.
	Reachable bool
	// Reported: Status is a new report rather than the last one again.
	Reported bool
}

// engineState is one engine of the cell.
type engineState struct {
	id        string
	status    engine.Status
	leaving   bool
	reachable bool
	// running are the entries that this cell sent, exact.
	running map[string]*entry
	// trainers counts the running entries of trainers; work sums the expected
	// remaining tokens of all of them.
	trainers int
	work     int
	// peaks are the highest numbers of running entries in the last report
	// intervals, the current one first.
	peaks [reportsRemembered]int
	// foreign is the number of requests that others seem to have there: what
	// the engine reports beyond anything this cell had there of late.
	foreign int
}

func newEngineState(id string) *engineState {
	return &engineState{id: id, running: make(map[string]*entry)}
}

func (s *engineState) update(update *EngineUpdate) {
	s.status = update.Status
	s.leaving = update.Leaving
	s.reachable = update.Reachable
	if update.Reported {
		s.correct()
	}
}

// correct takes in a lagging load report. A report can only show requests of
// others when it exceeds all that this cell had there while it may have been made.
func (s *engineState) correct() {
	highest := 0
	for _, peak := range s.peaks {
		highest = max(highest, peak)
	}
	s.foreign = max(0, s.reportedLoad()-highest)
	copy(s.peaks[1:], s.peaks[:])
	s.peaks[0] = len(s.running)
}

func (s *engineState) reportedLoad() int { return s.status.Running + s.status.Waiting }

// inService tells whether the engine takes new work at all.
func (s *engineState) inService() bool {
	return s.reachable && !s.leaving && s.status.State == engine.StateServing
}

// free returns the batch slots that are not in use.
func (s *engineState) free() int {
	return max(0, s.status.MaxBatch-len(s.running)-s.foreign)
}

// version returns the version of a model on the engine.
func (s *engineState) version(model string) (uint64, bool) {
	for _, held := range s.status.Models {
		if held.Model == model {
			return held.Version, true
		}
	}
	return 0, false
}

func (s *engineState) start(started *entry) {
	started.engineID = s.id
	started.remaining = started.expectedTokens()
	s.running[started.item.ID] = started
	s.work += started.remaining
	if !started.item.Live {
		s.trainers++
	}
	s.peaks[0] = max(s.peaks[0], len(s.running))
}

func (s *engineState) progressed(running *entry, generated int) {
	s.work -= running.remaining
	running.remaining = running.remainingAfter(generated)
	s.work += running.remaining
}

func (s *engineState) finish(finished *entry) {
	delete(s.running, finished.item.ID)
	s.work -= finished.remaining
	if !finished.item.Live {
		s.trainers--
	}
}
