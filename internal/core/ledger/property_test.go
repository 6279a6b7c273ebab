package ledger

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/api"
	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// history builds a random stream, applies it to a ledger and checks each verdict
// against a model that is independent of the ledger's state.
type history struct {
	t            *rapid.T
	ledger       *Ledger
	records      []logrecord.Record
	nextSequence map[string]uint64
	// oldest, delivered, acknowledged and filledOnce are the model, updated from
	// accepted records.
	oldest       map[SampleKey]uint64
	delivered    map[SampleKey]int64
	acknowledged map[string]SampleKey
	filledOnce   map[SampleKey]bool
	// revision is the highest table revision of the accepted terms.
	revision int64
}

var (
	writers  = []string{"a", "b", "c"}
	stepIDs  = []string{"s1", "s2", "s3"}
	versions = rapid.Uint64Range(1, 5)
)

func TestLedgerInvariantsUnderRandomRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{
			t: t, ledger: New(), nextSequence: make(map[string]uint64),
			oldest: make(map[SampleKey]uint64), delivered: make(map[SampleKey]int64),
			acknowledged: make(map[string]SampleKey), filledOnce: make(map[SampleKey]bool),
		}
		length := rapid.IntRange(10, 150).Draw(t, "length")
		snapshotAt := rapid.IntRange(0, length-1).Draw(t, "snapshot at")
		replica := New()
		for i := range length {
			h.applyNext()
			if i == snapshotAt {
				data, err := h.ledger.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, replica.Restore(data))
			}
		}
		for offset := snapshotAt + 1; offset < length; offset++ {
			replica.Apply(int64(offset), h.records[offset])
		}
		full := New()
		for offset, record := range h.records {
			full.Apply(int64(offset), record)
		}
		assert.DeepEqual(t, mustSnapshot(t, full), mustSnapshot(t, h.ledger))
		assert.DeepEqual(t, mustSnapshot(t, replica), mustSnapshot(t, full))
	})
}

func mustSnapshot(t assert.TestingT, l *Ledger) []byte {
	data, err := l.Snapshot()
	assert.NilError(t, err)
	return data
}

// stateWithoutSequences encodes the state except for the writers' sequences.
func stateWithoutSequences(t assert.TestingT, l *Ledger) []byte {
	data, err := msgpack.Marshal([]any{l.fence, l.tableRevision, l.trainerVersion, l.steps, l.finished})
	assert.NilError(t, err)
	return data
}

func (h *history) applyNext() {
	record := h.drawRecord()
	offset := int64(len(h.records))
	h.records = append(h.records, record)
	fence := h.ledger.Fence()
	before := stateWithoutSequences(h.t, h.ledger)
	verdict := h.ledger.Apply(offset, record)
	if verdict != logrecord.Accepted {
		assert.Assert(h.t, bytes.Equal(before, stateWithoutSequences(h.t, h.ledger)), "record with verdict %v changed the state", verdict)
		return
	}
	if record.Kind != logrecord.KindClaim {
		assert.Assert(h.t, fence.OwnedBy(record.Writer, record.Epoch), "accepted a record that the owner did not write in the current epoch")
	}
	h.recordAccepted(offset, record)
	assert.Equal(h.t, h.acknowledgedSlots(), len(h.acknowledged), "acknowledged under another token")
}

func (h *history) acknowledgedSlots() int {
	count := 0
	for _, step := range stepIDs {
		counts, _ := h.ledger.Counts(step)
		count += counts.Acknowledged
	}
	return count
}

// recordAccepted checks an accepted record and updates the model.
func (h *history) recordAccepted(offset int64, record logrecord.Record) {
	switch record.Kind {
	case KindSampleFilled:
		body := decode[SampleFilled](h.t, record)
		assert.Assert(h.t, !h.filledOnce[body.Sample], "attempt filled twice")
		h.filledOnce[body.Sample] = true
		assert.Equal(h.t, body.Versions[len(body.Versions)-1].To, body.Tokens)
		h.oldest[body.Sample] = body.Versions[0].Version
		for _, span := range body.Versions {
			assert.Assert(h.t, span.Version > 0)
			h.oldest[body.Sample] = min(h.oldest[body.Sample], span.Version)
		}
	case KindSamplesDiscarded:
		h.checkTerms(decode[SamplesDiscarded](h.t, record).Terms)
	case KindDelivered:
		body := decode[Delivered](h.t, record)
		h.checkTerms(body.Terms)
		for _, stored := range h.ledger.DeliveredUnder(offset+1, len(body.Samples)) {
			assert.Assert(h.t, h.isFresh(stored.Sample, body.Terms), "stale delivery")
			h.delivered[stored.Sample] = offset + 1
		}
	case KindStepAbandoned:
		counts, _ := h.ledger.Counts(decode[StepAbandoned](h.t, record).Step)
		assert.Assert(h.t, counts.Abandoned && counts.Open == 0 && counts.Filled == 0)
	case KindAcknowledged:
		h.checkTerms(decode[Acknowledged](h.t, record).Terms)
		h.checkAcknowledged(decode[Acknowledged](h.t, record))
	}
}

func (h *history) checkTerms(terms FreshnessTerms) {
	assert.Assert(h.t, terms.TableRevision >= h.revision, "terms of an older table revision")
	h.revision = h.ledger.TableRevision()
}

func (h *history) checkAcknowledged(body Acknowledged) {
	accepted, _ := h.ledger.AcknowledgedUnder(body.Token, body.Samples)
	for _, key := range accepted {
		slot := SampleKey{Step: key.Step, Slot: key.Slot}.String()
		if earlier, found := h.acknowledged[slot]; found {
			assert.Equal(h.t, earlier, key, "slot acknowledged twice")
			continue
		}
		assert.Equal(h.t, h.delivered[key], body.Token, "not the current delivery")
		assert.Assert(h.t, h.isFresh(key, body.Terms), "stale acknowledgement")
		h.acknowledged[slot] = key
	}
}

func (h *history) isFresh(key SampleKey, terms FreshnessTerms) bool {
	return int64(terms.TrainerVersion)-int64(h.oldest[key]) <= int64(terms.Bound)
}

func decode[Body any](t assert.TestingT, record logrecord.Record) Body {
	var body Body
	assert.NilError(t, logrecord.DecodeBody(record, &body))
	return body
}

// drawRecord returns a new record, or a repeat as after an append with unknown outcome.
func (h *history) drawRecord() logrecord.Record {
	if len(h.records) > 0 && rapid.IntRange(0, 7).Draw(h.t, "repeat") == 0 {
		return h.records[rapid.IntRange(0, len(h.records)-1).Draw(h.t, "of")]
	}
	fence := h.ledger.Fence()
	writer, epoch := fence.Writer, fence.Epoch
	if writer == "" || rapid.IntRange(0, 9).Draw(h.t, "stale") == 0 {
		writer = rapid.SampledFrom(writers).Draw(h.t, "writer")
		epoch = rapid.Int64Range(0, fence.Epoch).Draw(h.t, "epoch")
	}
	kind, body := h.drawBody(fence)
	h.nextSequence[writer]++
	raw, err := logrecord.EncodeBody(body)
	assert.NilError(h.t, err)
	return logrecord.Record{Writer: writer, Sequence: h.nextSequence[writer], Epoch: epoch, Kind: kind, Body: raw}
}

func (h *history) drawBody(fence logrecord.Fence) (logrecord.Kind, any) {
	choice := rapid.IntRange(0, 20).Draw(h.t, "kind")
	switch {
	case !fence.Owned() || choice == 0:
		previous := max(0, fence.Epoch-rapid.Int64Range(0, 1).Draw(h.t, "late claim"))
		return logrecord.KindClaim, logrecord.Claim{PreviousEpoch: previous, Node: "n", Address: "a"}
	case choice == 1:
		return logrecord.KindRelease, nil
	case choice <= 3 || len(h.ledger.steps) == 0:
		return KindStepSubmitted, StepSubmitted{
			Step: rapid.SampledFrom(stepIDs).Draw(h.t, "step"), Prompts: make([]Prompt, 1), SamplesPerPrompt: 2,
		}
	case choice <= 9:
		tokens := rapid.IntRange(1, 4).Draw(h.t, "tokens")
		gap := rapid.IntRange(0, 5).Draw(h.t, "gap") / 5
		spans := []api.VersionSpan{{Version: versions.Draw(h.t, "v1"), To: tokens}}
		spans = append(spans, api.VersionSpan{Version: versions.Draw(h.t, "v2"), From: tokens + gap, To: 6})
		return KindSampleFilled, SampleFilled{Sample: h.drawKey(), Versions: spans, Tokens: 6}
	case choice <= 13:
		return KindDelivered, Delivered{Samples: []SampleKey{h.drawKey(), h.drawKey()}, Terms: h.drawTerms()}
	case choice <= 18:
		key := h.drawKey()
		token := h.delivered[key] + rapid.Int64Range(0, 3).Draw(h.t, "wrong token")/3
		return KindAcknowledged, Acknowledged{Token: token, Samples: []SampleKey{key}, Terms: h.drawTerms()}
	case choice == 20 && rapid.IntRange(0, 3).Draw(h.t, "abandon") == 0:
		return KindStepAbandoned, StepAbandoned{Step: rapid.SampledFrom(stepIDs).Draw(h.t, "abandoned step")}
	default:
		return KindSamplesDiscarded, SamplesDiscarded{
			Samples: []SampleKey{h.drawKey()}, Reason: DiscardStale, Terms: h.drawTerms(),
		}
	}
}

func (h *history) drawKey() SampleKey {
	key := SampleKey{
		Step:    rapid.SampledFrom(stepIDs).Draw(h.t, "key step"),
		Slot:    rapid.IntRange(0, 2).Draw(h.t, "key slot"),
		Attempt: 1,
	}
	if step := h.ledger.stepByID[key.Step]; step != nil && key.Slot < len(step.Slots) {
		key.Attempt = step.Slots[key.Slot].Attempt - uint32(rapid.IntRange(0, 9).Draw(h.t, "old attempt")/9)
	}
	return key
}

func (h *history) drawTerms() FreshnessTerms {
	return FreshnessTerms{
		TrainerVersion: versions.Draw(h.t, "trainer version"),
		Bound:          rapid.IntRange(0, 2).Draw(h.t, "bound"),
		TableRevision:  h.ledger.tableRevision + rapid.Int64Range(-1, 1).Draw(h.t, "revision"),
	}
}
