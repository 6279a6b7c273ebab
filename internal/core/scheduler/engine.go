package scheduler

import (
	"github.com/corkpulley/corkpulley/internal/engine"
)

// peakHistory is the number of report intervals over which peaks are kept; an
// engine's load reports may lag behind this cell's assignments by that much.
const peakHistory = 4

// EngineUpdate is the current state of an engine as known to the caller.
type EngineUpdate struct {
	ID     string
	Status engine.Status
	// Leaving reports whether the machine list marks the engine as leaving.
	Leaving bool
	// Reachable reports whether the engine's watch stream is connected.
	Reachable bool
	// NewReport is true if Status is a new report, not the previous one repeated.
	NewReport bool
}

// engineState is the cell's state of one engine.
type engineState struct {
	id        string
	status    engine.Status
	leaving   bool
	reachable bool
	// running are the entries that this cell assigned, by item ID.
	running map[string]*entry
	// trainers counts the running entries of trainers; totalRemaining is the sum of
	// remainingTokens over all running entries.
	trainers       int
	totalRemaining int
	// peaks are the maximum numbers of running entries in the last report
	// intervals, newest first.
	peaks [peakHistory]int
	// externalLoad is the estimated number of requests from other senders: the
	// reported load in excess of the recent peaks.
	externalLoad int
}

func newEngineState(id string) *engineState {
	return &engineState{id: id, running: make(map[string]*entry)}
}

func (s *engineState) update(update *EngineUpdate) {
	s.status = update.Status
	s.leaving = update.Leaving
	s.reachable = update.Reachable
	if update.NewReport {
		s.updateExternalLoad()
	}
}

// updateExternalLoad updates externalLoad from a load report. Because reports lag, only
// load above every recent peak is attributed to other senders.
func (s *engineState) updateExternalLoad() {
	highest := 0
	for _, peak := range s.peaks {
		highest = max(highest, peak)
	}
	s.externalLoad = max(0, s.reportedLoad()-highest)
	copy(s.peaks[1:], s.peaks[:])
	s.peaks[0] = len(s.running)
}

func (s *engineState) reportedLoad() int { return s.status.Running + s.status.Waiting }

// inService reports whether the engine accepts new requests.
func (s *engineState) inService() bool {
	return s.reachable && !s.leaving && s.status.State == engine.StateServing
}

// free returns the number of unused batch slots.
func (s *engineState) free() int {
	return max(0, s.status.MaxBatch-len(s.running)-s.externalLoad)
}

// version returns the version of a model on the engine; false if it is not loaded.
func (s *engineState) version(model string) (uint64, bool) {
	for _, loaded := range s.status.Models {
		if loaded.Model == model {
			return loaded.Version, true
		}
	}
	return 0, false
}

func (s *engineState) start(started *entry) {
	started.engineID = s.id
	started.remainingTokens = started.expectedTokens()
	s.running[started.item.ID] = started
	s.totalRemaining += started.remainingTokens
	if !started.item.Live {
		s.trainers++
	}
	s.peaks[0] = max(s.peaks[0], len(s.running))
}

func (s *engineState) recordProgress(running *entry, generated int) {
	s.totalRemaining -= running.remainingTokens
	running.remainingTokens = running.remainingAfter(generated)
	s.totalRemaining += running.remainingTokens
}

func (s *engineState) finish(finished *entry) {
	delete(s.running, finished.item.ID)
	s.totalRemaining -= finished.remainingTokens
	if !finished.item.Live {
		s.trainers--
	}
}
