package ledger

import "slices"

// SlotState is the state of a slot.
type SlotState uint8

// Slot states. A slot goes from open to filled to acknowledged; discarding the sample
// of a filled slot reopens it with the next attempt number.
const (
	SlotOpen SlotState = iota
	SlotFilled
	SlotAcknowledged
)

// Slot holds one of the samples requested by a step.
type Slot struct {
	State SlotState `msgpack:"s,omitempty"`
	// Attempt is the current attempt, starting at 1.
	Attempt uint32 `msgpack:"a"`
	// FillOffset is the offset of the sample's record; not set for open slots.
	FillOffset int64 `msgpack:"f,omitempty"`
	// Oldest is the lowest weight version of the sample.
	Oldest uint64 `msgpack:"v,omitempty"`
	// Bytes is the length of the sample's text.
	Bytes int `msgpack:"b,omitempty"`
	// Token is the token of the sample's current delivery; 0 if not delivered.
	Token int64 `msgpack:"t,omitempty"`
}

// Step is an unfinished step.
type Step struct {
	ID string `msgpack:"i"`
	// Offset is the offset of the StepSubmitted record.
	Offset           int64  `msgpack:"o"`
	Fingerprint      uint64 `msgpack:"f"`
	SamplesPerPrompt int    `msgpack:"n"`
	Slots            []Slot `msgpack:"s"`
	Acknowledged     int    `msgpack:"a"`
	Discarded        int    `msgpack:"d"`
}

func newStep(offset int64, body *StepSubmitted) *Step {
	step := &Step{
		ID:               body.Step,
		Offset:           offset,
		Fingerprint:      body.Fingerprint,
		SamplesPerPrompt: body.SamplesPerPrompt,
		Slots:            make([]Slot, len(body.Prompts)*body.SamplesPerPrompt),
	}
	for i := range step.Slots {
		step.Slots[i].Attempt = 1
	}
	return step
}

// count returns the number of slots in a state.
func (s *Step) count(state SlotState) int {
	count := 0
	for i := range s.Slots {
		if s.Slots[i].State == state {
			count++
		}
	}
	return count
}

// unacknowledgedSlot returns the slot of a recorded, unacknowledged sample, or nil.
func (s *Step) unacknowledgedSlot(key SampleKey) *Slot {
	slot := s.slot(key)
	if slot == nil || slot.State != SlotFilled {
		return nil
	}
	return slot
}

// slot returns the slot of a sample, or nil if the attempt is not the current one.
func (s *Step) slot(key SampleKey) *Slot {
	if key.Slot < 0 || key.Slot >= len(s.Slots) || s.Slots[key.Slot].Attempt != key.Attempt {
		return nil
	}
	return &s.Slots[key.Slot]
}

func (s *Step) discard(slot *Slot) {
	*slot = Slot{Attempt: slot.Attempt + 1}
	s.Discarded++
}

// Receipt is the acknowledgement of one slot of a finished step.
type Receipt struct {
	Attempt uint32 `msgpack:"a"`
	Token   int64  `msgpack:"t"`
}

// FinishedStep is the summary of a step whose slots are all acknowledged or that was
// abandoned.
type FinishedStep struct {
	ID          string `msgpack:"i"`
	Fingerprint uint64 `msgpack:"f"`
	Wanted      int    `msgpack:"w"`
	Discarded   int    `msgpack:"d"`
	// Receipts has one entry per slot, used to answer repeated acknowledgements. Only
	// the last ReceiptSteps finished steps keep them.
	Receipts []Receipt `msgpack:"r,omitempty"`
	// Abandoned is true for an abandoned step, and Acknowledged is then the number of its
	// acknowledged samples. For other steps it is 0, although all are acknowledged.
	Abandoned    bool `msgpack:"x,omitempty"`
	Acknowledged int  `msgpack:"a,omitempty"`
}

func (s *Step) finish() *FinishedStep {
	receipts := make([]Receipt, len(s.Slots))
	for i := range s.Slots {
		// An unacknowledged slot of an abandoned step gets an empty receipt, which
		// matches no token.
		if s.Slots[i].State == SlotAcknowledged {
			receipts[i] = Receipt{Attempt: s.Slots[i].Attempt, Token: s.Slots[i].Token}
		}
	}
	finished := &FinishedStep{
		ID:          s.ID,
		Fingerprint: s.Fingerprint,
		Wanted:      len(s.Slots),
		Discarded:   s.Discarded,
		Receipts:    slices.Clip(receipts),
	}
	if s.Acknowledged < len(s.Slots) {
		finished.Abandoned = true
		finished.Acknowledged = s.Acknowledged
	}
	return finished
}

// hasReceipt reports whether the sample was acknowledged under the token.
func (f *FinishedStep) hasReceipt(token int64, key SampleKey) bool {
	if key.Slot < 0 || key.Slot >= len(f.Receipts) {
		return false
	}
	return f.Receipts[key.Slot] == Receipt{Attempt: key.Attempt, Token: token}
}
