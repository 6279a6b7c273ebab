package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// stream is a ledger with a single writer, which owns it.
type stream struct {
	t      *testing.T
	ledger *Ledger
	offset int64
}

func newStream(t *testing.T) *stream {
	s := &stream{t: t, ledger: New()}
	assert.Equal(t, s.apply(0, logrecord.KindClaim, logrecord.Claim{Node: "a"}), logrecord.Accepted)
	return s
}

func (s *stream) apply(epoch int64, kind logrecord.Kind, body any) logrecord.Verdict {
	s.t.Helper()
	encoded, err := logrecord.EncodeBody(body)
	assert.NilError(s.t, err)
	record := logrecord.Record{
		Writer: "a", Sequence: uint64(s.offset + 1), Base: s.offset, Epoch: epoch, Kind: kind, Body: encoded,
	}
	verdict := s.ledger.Apply(s.offset, record)
	s.offset++
	return verdict
}

func (s *stream) applyAsOwner(kind logrecord.Kind, body any) logrecord.Verdict {
	s.t.Helper()
	return s.apply(1, kind, body)
}

func (s *stream) fill(key SampleKey) logrecord.Verdict {
	s.t.Helper()
	spans := []api.VersionSpan{{Version: 1, From: 0, To: 2}}
	return s.applyAsOwner(KindSampleFilled, SampleFilled{Sample: key, Versions: spans, Tokens: 2})
}

func TestAbandonedStepIsFinishedAndKeepsReceipts(t *testing.T) {
	s := newStream(t)
	step := StepSubmitted{Step: "s", Prompts: make([]Prompt, 3), SamplesPerPrompt: 1, TrainerVersion: 1}
	assert.Equal(t, s.applyAsOwner(KindStepSubmitted, step), logrecord.Accepted)
	acknowledged, delivered := SampleKey{Step: "s", Slot: 0, Attempt: 1}, SampleKey{Step: "s", Slot: 1, Attempt: 1}
	assert.Equal(t, s.fill(acknowledged), logrecord.Accepted)
	assert.Equal(t, s.fill(delivered), logrecord.Accepted)
	token := TokenOf(s.offset)
	assert.Equal(t, s.applyAsOwner(KindDelivered, Delivered{Samples: []SampleKey{acknowledged, delivered}}), logrecord.Accepted)
	assert.Equal(t, s.applyAsOwner(KindAcknowledged, Acknowledged{Token: token, Samples: []SampleKey{acknowledged}}), logrecord.Accepted)

	assert.Equal(t, s.apply(9, KindStepAbandoned, StepAbandoned{Step: "s"}), logrecord.Fenced)
	assert.Equal(t, s.applyAsOwner(KindStepAbandoned, StepAbandoned{Step: "other"}), logrecord.Invalid)
	assert.Equal(t, s.applyAsOwner(KindStepAbandoned, StepAbandoned{Step: "s"}), logrecord.Accepted)
	assert.Equal(t, s.applyAsOwner(KindStepAbandoned, StepAbandoned{Step: "s"}), logrecord.Invalid, "a repeat has no effect")

	expected := Counts{Step: "s", Wanted: 3, Acknowledged: 1, Abandoned: true}
	check := func(l *Ledger) {
		counts, known := l.Counts("s")
		assert.Assert(t, known)
		assert.DeepEqual(t, counts, expected)
		assert.DeepEqual(t, l.AbandonedCounts(), []Counts{expected})
		assert.Assert(t, !l.StepOpen("s"))
		assert.Equal(t, len(l.OpenSlots()), 0)
		accepted, rejected := l.AcknowledgedUnder(token, []SampleKey{acknowledged, delivered})
		assert.DeepEqual(t, accepted, []SampleKey{acknowledged})
		assert.DeepEqual(t, rejected, []SampleKey{delivered})
	}
	check(s.ledger)
	data, err := s.ledger.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	check(restored)

	// Later records have no effect, and the ID can't be reused.
	assert.Equal(t, s.fill(SampleKey{Step: "s", Slot: 2, Attempt: 1}), logrecord.Invalid)
	late := Acknowledged{Token: token, Samples: []SampleKey{delivered}}
	assert.Equal(t, s.applyAsOwner(KindAcknowledged, late), logrecord.Invalid)
	assert.Equal(t, s.applyAsOwner(KindStepSubmitted, step), logrecord.Invalid)
	check(s.ledger)
}
