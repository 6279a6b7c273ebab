// Package ledger is the reducer of a trainer's stream steps/<trainer>: it tracks the
// owner of the stream, the submitted steps and, per slot, the sample that was filled,
// discarded, delivered or acknowledged. It performs no I/O.
//
// Invariants, after every record: a slot is acknowledged at most once; a sample
// is acknowledged only under its current delivery's token and within the staleness
// bound of the acknowledgement; a record has no effect if its epoch is not the
// current one or if its terms are from an older table revision than earlier terms.
package ledger

import (
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// Limits of one ledger. Records that exceed them are Invalid.
const (
	// MaxOpenSteps bounds the unfinished steps.
	MaxOpenSteps = 64
	// MaxSamplesPerPrompt bounds StepSubmitted.SamplesPerPrompt.
	MaxSamplesPerPrompt = 1024
	// MaxSlots bounds the slots of a step, prompts times samples per prompt.
	MaxSlots = 1 << 16
	// FinishedSteps is the number of finished steps retained. The ID of an evicted
	// step is treated as new.
	FinishedSteps = 1024
	// ReceiptSteps is the number of most recently finished steps that keep receipts.
	ReceiptSteps = 16
)

// Ledger is the state of one trainer's stream. Use New to create one. It implements
// logstream.Reducer and is not safe for concurrent use.
type Ledger struct {
	sequences logrecord.Sequences
	fence     logrecord.Fence
	// tableRevision is the highest table revision of any effective record.
	tableRevision int64
	// trainerVersion is the trainer version of the last effective record that has one.
	trainerVersion uint64
	// steps are the unfinished steps in order of submission.
	steps []*Step
	// finished are the finished steps, oldest first.
	finished []*FinishedStep

	stepByID     map[string]*Step
	finishedByID map[string]*FinishedStep
}

// New returns the state of an empty stream.
func New() *Ledger {
	return &Ledger{
		stepByID:     make(map[string]*Step),
		finishedByID: make(map[string]*FinishedStep),
	}
}

// Apply applies the record at the offset and returns its verdict.
func (l *Ledger) Apply(offset int64, record logrecord.Record) logrecord.Verdict {
	if verdict := l.sequences.Admit(offset, record); verdict != logrecord.Accepted {
		return verdict
	}
	if verdict := l.fence.Apply(offset, record); verdict != logrecord.Accepted {
		return verdict
	}
	if l.applyBody(offset, record) {
		return logrecord.Accepted
	}
	return logrecord.Invalid
}

// applyBody applies the record's body and reports whether it is accepted. A record
// that is not accepted leaves the state unchanged.
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
