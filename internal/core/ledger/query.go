package ledger

import "github.com/corkpulley/corkpulley/internal/core/logrecord"

// Fence returns a copy of the ownership state.
func (l *Ledger) Fence() logrecord.Fence { return l.fence }

// TrainerVersion returns the trainer's version as the last effective record named it.
func (l *Ledger) TrainerVersion() uint64 { return l.trainerVersion }

// TableRevision returns the highest table revision that an effective record named.
func (l *Ledger) TableRevision() int64 { return l.tableRevision }

// OpenStepCount returns the number of unfinished steps.
func (l *Ledger) OpenStepCount() int { return len(l.steps) }

// Fingerprint returns the fingerprint of a known step, finished or not.
func (l *Ledger) Fingerprint(step string) (uint64, bool) {
	if open := l.stepByID[step]; open != nil {
		return open.Fingerprint, true
	}
	if finished := l.finishedByID[step]; finished != nil {
		return finished.Fingerprint, true
	}
	return 0, false
}

// StepsBefore counts the unfinished steps that were submitted before a step.
func (l *Ledger) StepsBefore(step string) int {
	for before, other := range l.steps {
		if other.ID == step {
			return before
		}
	}
	return len(l.steps)
}

// Counts summarizes one step. Wanted = Open + Filled + Acknowledged, but for an
// abandoned step, of which nothing is open or filled any more.
type Counts struct {
	Step         string
	Wanted       int
	Open         int
	Filled       int
	Acknowledged int
	Discarded    int
	Abandoned    bool
}

// Counts returns the counts of a known step, finished or not.
func (l *Ledger) Counts(step string) (Counts, bool) {
	if open := l.stepByID[step]; open != nil {
		return open.counts(), true
	}
	if finished := l.finishedByID[step]; finished != nil {
		return finished.counts(), true
	}
	return Counts{}, false
}

// OpenCounts returns the counts of all unfinished steps, in order of submission.
func (l *Ledger) OpenCounts() []Counts {
	counts := make([]Counts, 0, len(l.steps))
	for _, step := range l.steps {
		counts = append(counts, step.counts())
	}
	return counts
}

func (s *Step) counts() Counts {
	return Counts{
		Step:         s.ID,
		Wanted:       len(s.Slots),
		Open:         s.count(SlotOpen),
		Filled:       s.count(SlotFilled),
		Acknowledged: s.Acknowledged,
		Discarded:    s.Discarded,
	}
}

func (f *FinishedStep) counts() Counts {
	counts := Counts{Step: f.ID, Wanted: f.Wanted, Acknowledged: f.Wanted, Discarded: f.Discarded}
	if f.Abandoned {
		counts.Abandoned = true
		counts.Acknowledged = f.Acknowledged
	}
	return counts
}

// OpenSlot is a wanted sample that has no recorded answer.
type OpenSlot struct {
	Sample SampleKey
	// Prompt is the index of the slot's prompt in the step's request.
	Prompt int
	// StepOffset is the offset of the record that holds the step's request.
	StepOffset int64
	// StepOpen counts the open slots of the step.
	StepOpen int
	// StepWanted counts all slots of the step.
	StepWanted int
}

// OpenSlots returns all open slots, in order of step and slot.
func (l *Ledger) OpenSlots() []OpenSlot {
	var open []OpenSlot
	for _, step := range l.steps {
		first := len(open)
		for i := range step.Slots {
			if step.Slots[i].State == SlotOpen {
				open = append(open, step.openSlot(i))
			}
		}
		for i := range open[first:] {
			open[first+i].StepOpen = len(open) - first
		}
	}
	return open
}

func (s *Step) openSlot(index int) OpenSlot {
	return OpenSlot{
		Sample:     SampleKey{Step: s.ID, Slot: index, Attempt: s.Slots[index].Attempt},
		Prompt:     index / s.SamplesPerPrompt,
		StepOffset: s.Offset,
		StepWanted: len(s.Slots),
	}
}

// IsOpen reports whether the slot still waits for this attempt's answer.
func (l *Ledger) IsOpen(key SampleKey) bool {
	step := l.stepByID[key.Step]
	if step == nil {
		return false
	}
	slot := step.slot(key)
	return slot != nil && slot.State == SlotOpen
}

// StoredSample tells where a recorded sample stands in the stream.
type StoredSample struct {
	Sample     SampleKey
	FillOffset int64
	// Prompt is the index of the prompt, Index that of the sample among the prompt's.
	Prompt int
	Index  int
	Bytes  int
}

// filledWhere returns the recorded, unacknowledged samples of a step (empty for all
// steps) that keep accepts, in order, at most limit of them.
func (l *Ledger) filledWhere(stepID string, limit int, keep func(*Slot, SampleKey) bool) []StoredSample {
	var found []StoredSample
	for _, step := range l.steps {
		if stepID != "" && step.ID != stepID {
			continue
		}
		for i := range step.Slots {
			slot := &step.Slots[i]
			key := SampleKey{Step: step.ID, Slot: i, Attempt: slot.Attempt}
			if slot.State != SlotFilled || !keep(slot, key) {
				continue
			}
			if len(found) == limit {
				return found
			}
			found = append(found, step.stored(slot, key))
		}
	}
	return found
}

func (s *Step) stored(slot *Slot, key SampleKey) StoredSample {
	return StoredSample{
		Sample:     key,
		FillOffset: slot.FillOffset,
		Prompt:     key.Slot / s.SamplesPerPrompt,
		Index:      key.Slot % s.SamplesPerPrompt,
		Bytes:      slot.Bytes,
	}
}

// Deliverable returns samples that a delivery under the terms could carry, of
// one step (empty for any), without those that the trainer holds.
func (l *Ledger) Deliverable(step string, terms Terms, holding map[SampleKey]bool, limit int) []StoredSample {
	return l.filledWhere(step, limit, func(slot *Slot, key SampleKey) bool {
		held := slot.Token != 0 && holding[key]
		return !held && terms.fresh(slot)
	})
}

// Stale returns samples that are too old under the terms.
func (l *Ledger) Stale(terms Terms, limit int) []StoredSample {
	return l.filledWhere("", limit, func(slot *Slot, _ SampleKey) bool { return !terms.fresh(slot) })
}

// DeliveredUnder returns the samples whose current delivery has the token.
func (l *Ledger) DeliveredUnder(token int64, limit int) []StoredSample {
	return l.filledWhere("", limit, func(slot *Slot, _ SampleKey) bool { return slot.Token == token })
}

// AcknowledgedUnder splits samples into those acknowledged under the token and the others.
func (l *Ledger) AcknowledgedUnder(token int64, keys []SampleKey) (accepted, rejected []SampleKey) {
	for _, key := range keys {
		if l.receipted(token, key) {
			accepted = append(accepted, key)
		} else {
			rejected = append(rejected, key)
		}
	}
	return accepted, rejected
}
