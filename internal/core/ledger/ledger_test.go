package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// ownedLedger is a ledger with a single owner.
type ownedLedger struct {
	*testing.T
	ledger *Ledger
	offset int64
}

func newOwnedLedger(t *testing.T) *ownedLedger {
	o := &ownedLedger{T: t, ledger: New()}
	o.append(logrecord.KindClaim, logrecord.Claim{Node: "n", Address: "a"})
	return o
}

// append applies one record and returns its token and whether it was accepted.
func (o *ownedLedger) append(kind logrecord.Kind, body any) (int64, bool) {
	o.Helper()
	raw, err := logrecord.EncodeBody(body)
	assert.NilError(o, err)
	record := logrecord.Record{Writer: "w", Sequence: uint64(o.offset) + 1, Kind: kind, Body: raw}
	if kind != logrecord.KindClaim {
		record.Epoch = 1
	}
	verdict := o.ledger.Apply(o.offset, record)
	o.offset++
	return o.offset, verdict == logrecord.Accepted
}

func (o *ownedLedger) submit(step string, samples int) bool {
	_, ok := o.append(KindStepSubmitted, StepSubmitted{Step: step, Prompts: make([]Prompt, 1), SamplesPerPrompt: samples})
	return ok
}

func (o *ownedLedger) fill(key SampleKey, version uint64) bool {
	spans := []api.VersionSpan{{Version: version, To: 3}}
	_, ok := o.append(KindSampleFilled, SampleFilled{Sample: key, Versions: spans, Tokens: 3, Text: "abc"})
	return ok
}

func key(step string, slot int, attempt uint32) SampleKey {
	return SampleKey{Step: step, Slot: slot, Attempt: attempt}
}

func TestDeliveryAndAcknowledgement(t *testing.T) {
	o := newOwnedLedger(t)
	sample := key("s", 0, 1)
	assert.Assert(t, o.submit("s", 2))
	assert.Assert(t, o.fill(sample, 4))
	assert.Assert(t, !o.fill(sample, 5), "only the first fill is accepted")
	terms := FreshnessTerms{TrainerVersion: 5, Bound: 1}
	first, ok := o.append(KindDelivered, Delivered{Samples: []SampleKey{sample}, Terms: terms})
	assert.Assert(t, ok)
	assert.Equal(t, len(o.ledger.Deliverable("", terms, map[SampleKey]bool{sample: true}, 9)), 0, "already held by the trainer")
	second, ok := o.append(KindDelivered, Delivered{Samples: []SampleKey{sample}, Terms: terms})
	assert.Assert(t, ok)
	_, ok = o.append(KindAcknowledged, Acknowledged{Token: first, Samples: []SampleKey{sample}, Terms: terms})
	assert.Assert(t, !ok, "superseded token")
	for range 2 {
		_, ok = o.append(KindAcknowledged, Acknowledged{Token: second, Samples: []SampleKey{sample}, Terms: terms})
		assert.Assert(t, ok, "a repeat is accepted again")
		accepted, rejected := o.ledger.AcknowledgedUnder(second, []SampleKey{sample})
		assert.Equal(t, len(accepted), 1)
		assert.Equal(t, len(rejected), 0)
	}
	counts, _ := o.ledger.Counts("s")
	assert.Equal(t, counts, Counts{Step: "s", Wanted: 2, Open: 1, Acknowledged: 1})
}

func TestAcknowledgeDiscardsStaleSample(t *testing.T) {
	o := newOwnedLedger(t)
	sample := key("s", 0, 1)
	o.submit("s", 1)
	o.fill(sample, 4)
	token, _ := o.append(KindDelivered, Delivered{Samples: []SampleKey{sample}, Terms: FreshnessTerms{TrainerVersion: 5, Bound: 1}})
	o.append(KindAcknowledged, Acknowledged{
		Token: token, Samples: []SampleKey{sample}, Terms: FreshnessTerms{TrainerVersion: 6, Bound: 1},
	})
	accepted, _ := o.ledger.AcknowledgedUnder(token, []SampleKey{sample})
	assert.Equal(t, len(accepted), 0)
	open := o.ledger.OpenSlots()
	assert.Equal(t, len(open), 1)
	assert.Equal(t, open[0].Sample, key("s", 0, 2))
	assert.Assert(t, !o.fill(sample, 6), "late sample of the discarded attempt")
	assert.Assert(t, o.fill(open[0].Sample, 6))
}

func TestDiscardRejectsFreshSample(t *testing.T) {
	o := newOwnedLedger(t)
	sample := key("s", 0, 1)
	o.submit("s", 1)
	o.fill(sample, 4)
	discard := SamplesDiscarded{Samples: []SampleKey{sample}, Reason: DiscardStale, Terms: FreshnessTerms{TrainerVersion: 5, Bound: 1}}
	_, ok := o.append(KindSamplesDiscarded, discard)
	assert.Assert(t, !ok, "still fresh")
	discard.Terms = FreshnessTerms{TrainerVersion: 5, Bound: 0, TableRevision: 7}
	_, ok = o.append(KindSamplesDiscarded, discard)
	assert.Assert(t, ok)
	o.fill(key("s", 0, 2), 4)
	_, ok = o.append(KindDelivered, Delivered{
		Samples: []SampleKey{key("s", 0, 2)}, Terms: FreshnessTerms{TrainerVersion: 5, Bound: 1, TableRevision: 6},
	})
	assert.Assert(t, !ok, "terms of an older table revision than earlier terms")
}

func TestInvalidFillsAndSteps(t *testing.T) {
	o := newOwnedLedger(t)
	assert.Assert(t, o.submit("s", 1))
	assert.Assert(t, !o.submit("s", 1), "known step")
	assert.Assert(t, !o.submit("bad/id", 1))
	assert.Assert(t, !o.submit("t", MaxSamplesPerPrompt+1))
	for _, spans := range [][]api.VersionSpan{
		nil,
		{{Version: 1, From: 0, To: 2}},
		{{Version: 1, From: 0, To: 1}, {Version: 1, From: 2, To: 3}},
		{{Version: 0, From: 0, To: 3}},
		{{Version: 1, From: 0, To: 4}},
	} {
		_, ok := o.append(KindSampleFilled, SampleFilled{Sample: key("s", 0, 1), Versions: spans, Tokens: 3})
		assert.Assert(t, !ok, "%v", spans)
	}
	for step := 1; step < MaxOpenSteps; step++ {
		assert.Assert(t, o.submit(fmt.Sprintf("s%d", step), 1))
	}
	assert.Assert(t, !o.submit("one-too-many", 1))
}

func TestFinishedStepsAreBounded(t *testing.T) {
	o := newOwnedLedger(t)
	var tokens []int64
	const steps = FinishedSteps + 5
	for i := range steps {
		step := fmt.Sprintf("s%d", i)
		sample := key(step, 0, 1)
		o.submit(step, 1)
		o.fill(sample, 1)
		token, _ := o.append(KindDelivered, Delivered{Samples: []SampleKey{sample}})
		tokens = append(tokens, token)
		_, ok := o.append(KindAcknowledged, Acknowledged{Token: token, Samples: []SampleKey{sample}})
		assert.Assert(t, ok)
	}
	assert.Equal(t, o.ledger.OpenStepCount(), 0)
	assert.Equal(t, len(o.ledger.finished), FinishedSteps)
	_, known := o.ledger.Fingerprint("s4")
	assert.Assert(t, !known)
	counts, known := o.ledger.Counts("s5")
	assert.Assert(t, known)
	assert.Equal(t, counts, Counts{Step: "s5", Wanted: 1, Acknowledged: 1})
	last, oldest := steps-1, steps-ReceiptSteps
	for _, i := range []int{last, oldest} {
		accepted, _ := o.ledger.AcknowledgedUnder(tokens[i], []SampleKey{key(fmt.Sprintf("s%d", i), 0, 1)})
		assert.Equal(t, len(accepted), 1, "step %d", i)
	}
	accepted, _ := o.ledger.AcknowledgedUnder(tokens[oldest-1], []SampleKey{key(fmt.Sprintf("s%d", oldest-1), 0, 1)})
	assert.Equal(t, len(accepted), 0)
}

func TestParseSampleKey(t *testing.T) {
	parsed, err := ParseSampleKey("step-1.a/17/3")
	assert.NilError(t, err)
	assert.Equal(t, parsed, key("step-1.a", 17, 3))
	assert.Equal(t, parsed.String(), "step-1.a/17/3")
	for _, id := range []string{"", "s/1", "s/1/0", "s/-1/1", "s/1/1/1", "/1/1", "s/x/1", "s/1/4294967296"} {
		_, err := ParseSampleKey(id)
		assert.Assert(t, err != nil, "%q", id)
	}
}

func FuzzBodies(f *testing.F) {
	for _, body := range []any{
		StepSubmitted{Step: "s", Prompts: []Prompt{{Text: "p"}}, SamplesPerPrompt: 1},
		SampleFilled{Sample: key("s", 0, 1), Versions: []api.VersionSpan{{Version: 1, To: 1}}, Tokens: 1},
		Delivered{Samples: []SampleKey{key("s", 0, 1)}},
		Acknowledged{Token: 4, Samples: []SampleKey{key("s", -1, 1)}},
		SamplesDiscarded{Samples: []SampleKey{key("s", 1<<40, 1)}, Reason: DiscardStale},
	} {
		raw, err := logrecord.EncodeBody(body)
		assert.NilError(f, err)
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		o := newOwnedLedger(t)
		o.submit("s", 1)
		for i, kind := range []logrecord.Kind{
			KindStepSubmitted, KindSampleFilled, KindDelivered, KindAcknowledged, KindSamplesDiscarded,
		} {
			record := logrecord.Record{Writer: "w", Sequence: uint64(10 + i), Epoch: 1, Kind: kind, Body: raw}
			o.ledger.Apply(int64(10+i), record)
		}
		data, err := o.ledger.Snapshot()
		assert.NilError(t, err)
		restored := New()
		assert.NilError(t, restored.Restore(data))
		again, err := restored.Snapshot()
		assert.NilError(t, err)
		assert.DeepEqual(t, data, again)
		_ = New().Restore(raw)
	})
}
