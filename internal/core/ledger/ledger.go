// Package ledger is the pure reducer of a trainer's stream steps/<trainer>: who
// owns the ledger, which steps were submitted, and which sample filled, left or
// was acknowledged for each wanted slot. It has no input or output.
//
// Invariants, after every record: a slot is acknowledged at most once; a sample
// is acknowledged only under its current delivery's token and within the bound
// that the acknowledgement names; a record of an epoch that is not in force, or
// that was read from an older table revision than one seen before, has no effect.
package ledger

import (
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// Limits of one ledger; a record beyond them is Invalid.
const (
	// MaxOpenSteps bounds the steps that are not finished.
	MaxOpenSteps = 64
	// MaxSamplesPerPrompt bounds StepSubmitted.SamplesPerPrompt.
	MaxSamplesPerPrompt = 1024
	// MaxSlots bounds prompts times samples for each prompt.
	MaxSlots = 1 << 16
	// FinishedSteps is how many finished steps are remembered; an older step
	// ID is forgotten and would be taken for a new one.
	FinishedSteps = 1024
	// ReceiptSteps is how many of the last finished steps keep receipts.
	ReceiptSteps = 16
)

// Ledger is the state of one trainer's stream. The zero value is not ready;
// use New. It implements logstream.Reducer and is not safe for concurrent use.
type Ledger struct {
	sequences logrecord.Sequences
	fence     logrecord.Fence
	// tableRevision is the highest that an effective record named.
	tableRevision int64
	// trainerVersion is the one that the last effective record named.
	trainerVersion uint64
	// steps are the unfinished ones, in order of submission.
	steps []*Step
	// finished are the finished ones, oldest first.
	finished []*FinishedStep

	stepByID     map[string]*Step
	finishedByID map[string]*FinishedStep
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		stepByID:     make(map[string]*Step),
		finishedByID: make(map[string]*FinishedStep),
	}
}

// Apply applies the record at the offset and returns the verdict.
func (l *Ledger) Apply(offset int64, record logrecord.Record) logrecord.Verdict {
	if verdict := l.sequences.Admit(offset, record); verdict != logrecord.Accepted {
		return verdict
	}
	if verdict := l.fence.Check(offset, record); verdict != logrecord.Accepted {
		return verdict
	}
	if l.applyBody(offset, record) {
		return logrecord.Accepted
	}
	return logrecord.Invalid
}

// applyBody reports whether the record had an effect; a record without one
// leaves the state as it was.
func (l *Ledger) applyBody(offset int64, record logrecord.Record) bool {
	switch record.Kind {
	case logrecord.KindClaim, logrecord.KindRelease:
		return true
	case KindStepSubmitted:
		return applyDecoded(record, func(body *StepSubmitted) bool { return l.submit(offset, body) })
	case KindSampleFilled:
		return applyDecoded(record, func(body *SampleFilled) bool { return l.fill(offset, body) })
	case KindSamplesDiscarded:
		return applyDecoded(record, l.discard)
	case KindDelivered:
		return applyDecoded(record, func(body *Delivered) bool { return l.deliver(offset, body) })
	case KindAcknowledged:
		return applyDecoded(record, l.acknowledge)
	case KindStepAbandoned:
		return applyDecoded(record, l.abandon)
	default:
		return false
	}
}

func applyDecoded[Body any](record logrecord.Record, apply func(*Body) bool) bool {
	body := new(Body)
	if err := logrecord.DecodeBody(record, body); err != nil {
		return false
	}
	return apply(body)
}
