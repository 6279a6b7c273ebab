package ledger

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// snapshot is the encoded state. It contains the offsets of prompts and samples
// instead of their texts. Slices keep their order, so that equal states have equal
// encodings.
type snapshot struct {
	Sequences      *logrecord.Sequences `msgpack:"q"`
	Fence          logrecord.Fence      `msgpack:"f"`
	TableRevision  int64                `msgpack:"r"`
	TrainerVersion uint64               `msgpack:"v"`
	Steps          []*Step              `msgpack:"s"`
	Finished       []*FinishedStep      `msgpack:"d"`
}

// Snapshot encodes the state after the last applied record.
func (l *Ledger) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&snapshot{
		Sequences:      &l.sequences,
		Fence:          l.fence,
		TableRevision:  l.tableRevision,
		TrainerVersion: l.trainerVersion,
		Steps:          nilIfEmpty(l.steps),
		Finished:       nilIfEmpty(l.finished),
	})
}

// nilIfEmpty makes nil and empty slices encode equally.
func nilIfEmpty[Element any](slice []Element) []Element {
	if len(slice) == 0 {
		return nil
	}
	return slice
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (l *Ledger) Restore(data []byte) error {
	restored := New()
	state := snapshot{Sequences: &restored.sequences}
	if err := msgpack.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode ledger snapshot")
	}
	if state.Sequences == nil {
		return errors.New("decode ledger snapshot: no writer sequences")
	}
	restored.sequences = *state.Sequences
	restored.fence = state.Fence
	restored.tableRevision = state.TableRevision
	restored.trainerVersion = state.TrainerVersion
	if err := restored.restoreSteps(&state); err != nil {
		return err
	}
	*l = *restored
	return nil
}

func (l *Ledger) restoreSteps(state *snapshot) error {
	for _, step := range state.Steps {
		if step == nil || step.SamplesPerPrompt < 1 || len(step.Slots) == 0 {
			return errors.New("decode ledger snapshot: step without slots")
		}
		l.steps = append(l.steps, step)
		l.stepByID[step.ID] = step
	}
	for _, finished := range state.Finished {
		if finished == nil {
			return errors.New("decode ledger snapshot: finished step is nil")
		}
		l.finished = append(l.finished, finished)
		l.finishedByID[finished.ID] = finished
	}
	return nil
}
