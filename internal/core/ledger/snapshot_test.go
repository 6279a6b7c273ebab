package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against different encodings of nil and empty slices, which a ledger has
// after its last open step finished.
func TestSnapshotOfRestoredLedgerIsEqual(t *testing.T) {
	original := New()
	assert.Assert(t, original.submit(0, &StepSubmitted{Step: "s1", Prompts: make([]Prompt, 1), SamplesPerPrompt: 1}))
	assert.Assert(t, original.abandon(&StepAbandoned{Step: "s1"}))
	restored := New()
	assert.NilError(t, restored.Restore(mustSnapshot(t, original)))
	assert.DeepEqual(t, mustSnapshot(t, restored), mustSnapshot(t, original))
}
