package slopes

import (
	"context"
	"strings"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

const (
	hollowTrainer = "comparables"
	hollowStep    = "step-000123"
	hollowWriter  = "node-001-cv37img5mvgc"
	// samplesPerPrompt of a hollow step.
	samplesPerPrompt = 16
	// sampleTextBytes is the text of a sample of 256 tokens at 4 bytes each.
	sampleTextBytes = 1024
)

func ledgerSweeps() []sweep {
	return []sweep{
		{
			name: "ledger replay of filled slots", role: RoleTrainerCoordinator,
			size: "records", unit: UnitMicroseconds, sizes: []int{512, 1024, 2048, 4096}, repetitions: 2,
			measure: func(_ context.Context, size int) (float64, error) { return ledgerReplay(size) },
		},
		{
			name: "ledger restore from a snapshot", role: RoleTrainerCoordinator,
			size: "slots", unit: UnitMicroseconds, sizes: []int{512, 1024, 2048, 4096}, repetitions: 2,
			measure: func(_ context.Context, size int) (float64, error) { return ledgerRestore(size) },
		},
		{
			name: "ledger snapshot", role: RoleTrainerCoordinator,
			size: "slots", unit: UnitMicroseconds, sizes: []int{512, 1024, 2048, 4096}, repetitions: 2,
			measure: func(_ context.Context, size int) (float64, error) { return ledgerSnapshot(size) },
		},
		{
			name: "memory of ledger slots", role: RoleTrainerCoordinator,
			size: "slots", unit: UnitBytes, sizes: []int{512, 1024, 2048, 4096}, repetitions: 2,
			measure: func(_ context.Context, size int) (float64, error) {
				return bytesHeld(func() (any, error) { return filledLedger(size) })
			},
		},
	}
}

// ledgerRepeats is how often a snapshot is made or restored for one value.
const ledgerRepeats = 8

// ledgerReplay returns the processor time to decode and apply so many records
// of filled samples.
func ledgerReplay(records int) (float64, error) {
	encoded, err := ledgerRecords(records)
	if err != nil {
		return 0, err
	}
	return processorMicroseconds(func() error { return replay(ledger.New(), encoded) })
}

// ledgerRestore returns the processor time of a new owner that takes over a
// ledger at its snapshot.
func ledgerRestore(slots int) (float64, error) {
	filled, err := filledLedger(slots)
	if err != nil {
		return 0, err
	}
	snapshot, err := filled.Snapshot()
	if err != nil {
		return 0, err
	}
	return microsecondsEach(ledgerRepeats, func() error { return ledger.New().Restore(snapshot) })
}

func ledgerSnapshot(slots int) (float64, error) {
	filled, err := filledLedger(slots)
	if err != nil {
		return 0, err
	}
	return microsecondsEach(ledgerRepeats, func() error {
		_, err := filled.Snapshot()
		return err
	})
}

// filledLedger has one step whose slots are all filled.
func filledLedger(slots int) (*ledger.Ledger, error) {
	encoded, err := ledgerRecords(slots)
	if err != nil {
		return nil, err
	}
	filled := ledger.New()
	return filled, replay(filled, encoded)
}

func replay(into *ledger.Ledger, encoded [][]byte) error {
	for offset, data := range encoded {
		record, err := logrecord.Decode(data)
		if err != nil {
			return err
		}
		if verdict := into.Apply(int64(offset), record); verdict != logrecord.Accepted {
			return errors.Errorf("record %d of kind %s is %s", offset, record.Kind, verdict)
		}
	}
	return nil
}

// ledgerRecords returns the records of a claim, a step and its filled slots.
func ledgerRecords(slots int) ([][]byte, error) {
	writer := &recordWriter{}
	writer.add(logrecord.KindClaim, 0, logrecord.Claim{Node: "node-001", Address: "10.0.0.1:7400"})
	writer.add(ledger.KindStepSubmitted, 1, hollowStepSubmitted(slots))
	for slot := range slots {
		writer.add(ledger.KindSampleFilled, 1, hollowSample(slot, sampleTextBytes))
	}
	return writer.records, writer.err
}

func hollowStepSubmitted(slots int) ledger.StepSubmitted {
	prompts := make([]ledger.Prompt, max(slots/samplesPerPrompt, 1))
	for index := range prompts {
		prompts[index] = ledger.Prompt{Group: "rationale", Text: hollowPrompt(index)}
	}
	return ledger.StepSubmitted{
		Step: hollowStep, Fingerprint: 1, Prompts: prompts, SamplesPerPrompt: samplesPerPrompt,
		MaxTokens: 512, Temperature: 1, TrainerVersion: 12,
	}
}

// hollowSample is a sample that two weight versions produced.
func hollowSample(slot, textBytes int) ledger.SampleFilled {
	return ledger.SampleFilled{
		Sample:   ledger.SampleKey{Step: hollowStep, Slot: slot, Attempt: 1},
		Versions: []api.VersionSpan{{Version: 11, From: 0, To: 100}, {Version: 12, From: 100, To: 256}},
		Tokens:   256, Score: 0.5, FinishReason: "stop", Text: strings.Repeat("x", textBytes),
	}
}

func hollowKeys(count int) []ledger.SampleKey {
	keys := make([]ledger.SampleKey, count)
	for slot := range keys {
		keys[slot] = ledger.SampleKey{Step: hollowStep, Slot: 1000 + slot, Attempt: 1}
	}
	return keys
}

// recordWriter encodes the records of one writer in order; it keeps the first error.
type recordWriter struct {
	records [][]byte
	err     error
}

func (w *recordWriter) add(kind logrecord.Kind, epoch int64, body any) {
	if w.err != nil {
		return
	}
	encodedBody, err := logrecord.EncodeBody(body)
	if err != nil {
		w.err = err
		return
	}
	encoded, err := logrecord.Encode(logrecord.Record{
		Writer: hollowWriter, Sequence: uint64(len(w.records) + 1), Base: int64(len(w.records)),
		Epoch: epoch, Kind: kind, Body: encodedBody,
	})
	if err != nil {
		w.err = err
		return
	}
	w.records = append(w.records, encoded)
}
