package policy

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// TestReducerProperties appends records as several writers do that know
// different revisions, repeat what they are not sure of and send junk.
func TestReducerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := &streamHistory{first: make(map[string]logrecord.Verdict)}
		t.Repeat(map[string]func(*rapid.T){
			"propose": history.propose,
			"repeat":  history.repeat,
			"reuse":   history.reuse,
			"junk":    history.junk,
			"restart": history.restart,
			"":        history.check,
		})
	})
}

// streamHistory is a stream with two replicas: one reads each record, the
// other is restored from a snapshot now and then.
type streamHistory struct {
	records   []logrecord.Record
	proposals []Proposal
	sequences [3]uint64
	// known are the revisions that were in force so far.
	known           []int64
	steady, snapped Reducer
	// first is the first verdict for each proposal ID.
	first map[string]logrecord.Verdict
}

func (h *streamHistory) propose(t *rapid.T) {
	base := rapid.SampledFrom(append([]int64{0, h.steady.Table().Revision, 1 << 40}, h.known...)).Draw(t, "base")
	rows := rowsGenerator().Draw(t, "rows")
	if rapid.Bool().Draw(t, "invalid") && len(rows) > 0 {
		rows[0].Share = 0
	}
	h.proposals = append(h.proposals, Proposal{
		ProposalID:   fmt.Sprintf("proposal-%d", len(h.proposals)),
		BaseRevision: base,
		Changes:      Compact(Diff(h.steady.Table().Rows, rows)),
	})
	h.write(t, h.proposals[len(h.proposals)-1])
}

// repeat appends a record again: its first append had an unknown outcome.
func (h *streamHistory) repeat(t *rapid.T) {
	if len(h.records) == 0 {
		t.Skip("nothing to repeat")
	}
	before := h.steady.Table()
	verdict := h.append(t, rapid.SampledFrom(h.records).Draw(t, "record"))
	assert.Equal(t, verdict, logrecord.Repeated)
	assert.Equal(t, h.steady.Table(), before)
}

// reuse proposes an edit again through another node, maybe with other content.
func (h *streamHistory) reuse(t *rapid.T) {
	if len(h.proposals) == 0 {
		t.Skip("nothing to propose again")
	}
	proposal := rapid.SampledFrom(h.proposals).Draw(t, "proposal")
	if rapid.Bool().Draw(t, "changed") {
		proposal.BaseRevision = h.steady.Table().Revision
		proposal.Changes = nil
	}
	before := h.steady.Table()
	h.write(t, proposal)
	assert.Equal(t, h.steady.Table(), before)
}

func (h *streamHistory) junk(t *rapid.T) {
	kind := rapid.SampledFrom([]logrecord.Kind{KindProposal, "other", logrecord.KindClaim}).Draw(t, "kind")
	body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
	verdict := h.append(t, h.record(t, kind, body))
	assert.Equal(t, verdict, logrecord.Invalid)
}

func (h *streamHistory) restart(t *rapid.T) {
	snapshot, err := h.steady.Snapshot()
	assert.NilError(t, err)
	h.snapped = Reducer{}
	assert.NilError(t, h.snapped.Restore(snapshot))
	assert.Assert(t, h.snapped.Restore([]byte("junk")) != nil)
}

// check: both replicas agree, on all that a snapshot holds.
func (h *streamHistory) check(t *rapid.T) {
	steady, err := h.steady.Snapshot()
	assert.NilError(t, err)
	snapped, err := h.snapped.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(steady, snapped))
}

func (h *streamHistory) record(t *rapid.T, kind logrecord.Kind, body []byte) logrecord.Record {
	writer := rapid.IntRange(0, len(h.sequences)-1).Draw(t, "writer")
	h.sequences[writer]++
	return logrecord.Record{
		Writer:   fmt.Sprintf("writer-%d", writer),
		Sequence: h.sequences[writer],
		Base:     int64(len(h.records)),
		Kind:     kind,
		Body:     body,
	}
}

func (h *streamHistory) write(t *rapid.T, proposal Proposal) {
	body, err := logrecord.EncodeBody(&proposal)
	assert.NilError(t, err)
	before := h.steady.Table()
	rows, problems := Propose(before.Rows, proposal.Changes)
	verdict := h.append(t, h.record(t, KindProposal, body))
	after := h.steady.Table()

	first, repeated := h.first[proposal.ProposalID]
	switch {
	case repeated:
		assert.Equal(t, verdict, first)
	case proposal.BaseRevision == before.Revision && len(problems) == 0:
		assert.Equal(t, verdict, logrecord.Accepted)
		assert.Equal(t, after.Revision, int64(len(h.records)))
		assert.DeepEqual(t, after.Rows, rows)
		h.checkHistory(t, before)
	default:
		assert.Equal(t, verdict, logrecord.Invalid)
		assert.Equal(t, after, before)
	}
	if !repeated {
		h.first[proposal.ProposalID] = verdict
	}
}

func (h *streamHistory) checkHistory(t *rapid.T, before *Table) {
	earlier, known := h.steady.TableAt(before.Revision)
	assert.Assert(t, known)
	assert.Equal(t, len(Diff(earlier.Rows, before.Rows)), 0)
	newest := h.steady.History(1)[0]
	assert.Equal(t, newest.Base, before.Revision)
	accepted, known := h.steady.Accepted(h.steady.Table().Revision)
	assert.Assert(t, known)
	assert.DeepEqual(t, accepted, newest)
}

func (h *streamHistory) append(t *rapid.T, record logrecord.Record) logrecord.Verdict {
	offset := int64(len(h.records))
	before := h.steady.Table().Revision
	h.records = append(h.records, record)
	verdict := h.steady.Apply(offset, record)
	assert.Equal(t, h.snapped.Apply(offset, record), verdict)
	after := h.steady.Table().Revision
	assert.Assert(t, after == before || (after > before && after == offset+1))
	h.known = append(h.known, after)
	return verdict
}

func TestReducerBoundsWhatItRemembers(t *testing.T) {
	var reducer Reducer
	row := Row{Service: "a", Kind: KindLive, Pool: "p", Model: "m", Share: 1}
	const proposals = maxDecisions + 10
	for i := range int64(proposals) {
		row.Cap = int(i) + 1
		body, err := logrecord.EncodeBody(&Proposal{
			ProposalID:   fmt.Sprint(i),
			BaseRevision: i,
			Changes:      []RowChange{{Service: "a", After: &row}},
		})
		assert.NilError(t, err)
		record := logrecord.Record{Writer: "w", Sequence: uint64(i) + 1, Base: i, Kind: KindProposal, Body: body}
		assert.Equal(t, reducer.Apply(i, record), logrecord.Accepted)
	}
	assert.Equal(t, len(reducer.History(proposals)), MaxHistory)
	_, known := reducer.Decision("0")
	assert.Assert(t, !known)
	_, known = reducer.Decision(fmt.Sprint(proposals - 1))
	assert.Assert(t, known)
	_, known = reducer.TableAt(1)
	assert.Assert(t, !known)
	oldest, known := reducer.TableAt(proposals - MaxHistory)
	assert.Assert(t, known)
	assert.Equal(t, oldest.Rows[0].Cap, proposals-MaxHistory)
}
