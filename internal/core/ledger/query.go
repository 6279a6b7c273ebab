package ledger

import "github.com/corkpulley/corkpulley/internal/core/logrecord"

// Fence returns the ownership state.
func (l *Ledger) Fence() logrecord.Fence { return l.fence }

// TrainerVersion returns the trainer version of the last effective record that has one.
func (l *Ledger) TrainerVersion() uint64 { return l.trainerVersion }

// TableRevision returns the highest table revision of any effective record.
func (l *Ledger) TableRevision() int64 { return l.tableRevision }

// OpenStepCount returns the number of open (unfinished) steps.
func (l *Ledger) OpenStepCount() int { return len(l.steps) }

// Fingerprint returns the fingerprint of a retained step, finished or not; false if
// the step is unknown.
func (l *Ledger) Fingerprint(step string) (uint64, bool) {
	if open := l.stepByID[step]; open != nil {
		return open.Fingerprint, true
	}
	if finished := l.finishedByID[step]; finished != nil {
		return finished.Fingerprint, true
	}
	return 0, false
}

// StepsBefore returns the number of open steps that were submitted before the step.
func (l *Ledger) StepsBefore(step string) int {
	for before, other := range l.steps {
		if other.ID == step {
			return before
		}
	}
	return len(l.steps)
}

// Counts summarizes the slots of a step. Wanted = Open + Filled + Acknowledged,
// except for an abandoned step, which has no open or filled slots.
type Counts struct {
	Step         string
	Wanted       int
	Open         int
	Filled       int
	Acknowledged int
	Discarded    int
	Abandoned    bool
}

// Counts returns the counts of a retained step, finished or not; false if the step
// is unknown.
func (l *Ledger) Counts(step string) (Counts, bool) {
	if open := l.stepByID[step]; open != nil {
		return open.counts(), true
	}
	if finished := l.finishedByID[step]; finished != nil {
		return finished.counts(), true
	}
	return Counts{}, false
}

// OpenCounts returns the counts of all open steps in order of submission.
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

// OpenSlot is a slot without a recorded sample.
type OpenSlot struct {
	Sample SampleKey
	// Prompt is the index of the slot's prompt in the step.
	Prompt int
	// StepOffset is the offset of the step's StepSubmitted record.
	StepOffset int64
	// StepOpen is the number of open slots of the step.
	StepOpen int
	// StepWanted is the number of all slots of the step.
	StepWanted int
}

// OpenSlots returns all open slots, ordered by step and slot.
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

// IsOpen reports whether the slot is open and key.Attempt is its current attempt.
func (l *Ledger) IsOpen(key SampleKey) bool {
	step := l.stepByID[key.Step]
	if step == nil {
		return false
	}
	slot := step.slot(key)
	return slot != nil && slot.State == SlotOpen
}

// StoredSample locates a recorded sample in the stream.
type StoredSample struct {
	Sample SampleKey
	// FillOffset is the offset of the sample's SampleFilled record.
	FillOffset int64
	// Prompt is the index of the prompt in the step, Index that of the sample among
	// the prompt's samples.
	Prompt int
	Index  int
	// Bytes is the length of the sample's text.
	Bytes int
}

// filledSamples returns the first limit recorded, unacknowledged samples of a step
// (empty for all steps) for which keep returns true, ordered by step and slot.
func (l *Ledger) filledSamples(stepID string, limit int, keep func(*Slot, SampleKey) bool) []StoredSample {
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

// Deliverable returns up to limit samples of a step (empty for any step) that may be
// delivered under the terms, without delivered samples that the trainer still holds.
func (l *Ledger) Deliverable(step string, terms FreshnessTerms, holding map[SampleKey]bool, limit int) []StoredSample {
	return l.filledSamples(step, limit, func(slot *Slot, key SampleKey) bool {
		held := slot.Token != 0 && holding[key]
		return !held && terms.fresh(slot)
	})
}

// Stale returns up to limit samples that are stale under the terms.
func (l *Ledger) Stale(terms FreshnessTerms, limit int) []StoredSample {
	return l.filledSamples("", limit, func(slot *Slot, _ SampleKey) bool { return !terms.fresh(slot) })
}

// DeliveredUnder returns up to limit unacknowledged samples whose current delivery
// has the token.
func (l *Ledger) DeliveredUnder(token int64, limit int) []StoredSample {
	return l.filledSamples("", limit, func(slot *Slot, _ SampleKey) bool { return slot.Token == token })
}

// AcknowledgedUnder partitions samples into those acknowledged under the token and
// the others.
func (l *Ledger) AcknowledgedUnder(token int64, keys []SampleKey) (accepted, rejected []SampleKey) {
	for _, key := range keys {
		if l.hasReceipt(token, key) {
			accepted = append(accepted, key)
		} else {
			rejected = append(rejected, key)
		}
	}
	return accepted, rejected
}
