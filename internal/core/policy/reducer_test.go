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

// Checks the reducer's invariants under writers that use outdated revisions,
// retry appends with unknown outcome and send malformed records.
func TestReducerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := &streamHistory{firstVerdict: make(map[string]logrecord.Verdict)}
		t.Repeat(map[string]func(*rapid.T){
			"propose": history.propose,
			"repeat":  history.repeat,
			"reuse":   history.repropose,
			"junk":    history.appendMalformed,
			"restart": history.restoreReplica,
			"":        history.checkReplicasEqual,
		})
	})
}

// streamHistory is a stream with two replicas that apply each record; the second is
// also restored from snapshots of the first.
type streamHistory struct {
	records   []logrecord.Record
	proposals []Proposal
	sequences [3]uint64
	// revisions are all revisions that were current so far.
	revisions            []int64
	continuous, restored Reducer
	// firstVerdict holds the first verdict for each proposal ID.
	firstVerdict map[string]logrecord.Verdict
}

func (h *streamHistory) propose(t *rapid.T) {
	base := rapid.SampledFrom(append([]int64{0, h.continuous.Table().Revision, 1 << 40}, h.revisions...)).Draw(t, "base")
	rows := rowsGenerator().Draw(t, "rows")
	if rapid.Bool().Draw(t, "invalid") && len(rows) > 0 {
		rows[0].Share = 0
	}
	h.proposals = append(h.proposals, Proposal{
		ProposalID:   fmt.Sprintf("proposal-%d", len(h.proposals)),
		BaseRevision: base,
		Changes:      Compact(Diff(h.continuous.Table().Rows, rows)),
	})
	h.appendProposal(t, h.proposals[len(h.proposals)-1])
}

// repeat appends a record again, as after an append with unknown outcome.
func (h *streamHistory) repeat(t *rapid.T) {
	if len(h.records) == 0 {
		t.Skip("nothing to repeat")
	}
	before := h.continuous.Table()
	verdict := h.append(t, rapid.SampledFrom(h.records).Draw(t, "record"))
	assert.Equal(t, verdict, logrecord.Repeated)
	assert.Equal(t, h.continuous.Table(), before)
}

// repropose submits a ProposalID again through another writer, possibly with
// different content.
func (h *streamHistory) repropose(t *rapid.T) {
	if len(h.proposals) == 0 {
		t.Skip("nothing to propose again")
	}
	proposal := rapid.SampledFrom(h.proposals).Draw(t, "proposal")
	if rapid.Bool().Draw(t, "changed") {
		proposal.BaseRevision = h.continuous.Table().Revision
		proposal.Changes = nil
	}
	before := h.continuous.Table()
	h.appendProposal(t, proposal)
	assert.Equal(t, h.continuous.Table(), before)
}

func (h *streamHistory) appendMalformed(t *rapid.T) {
	kind := rapid.SampledFrom([]logrecord.Kind{KindProposal, "other", logrecord.KindClaim}).Draw(t, "kind")
	body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
	verdict := h.append(t, h.record(t, kind, body))
	assert.Equal(t, verdict, logrecord.Invalid)
}

func (h *streamHistory) restoreReplica(t *rapid.T) {
	snapshot, err := h.continuous.Snapshot()
	assert.NilError(t, err)
	h.restored = Reducer{}
	assert.NilError(t, h.restored.Restore(snapshot))
	assert.Assert(t, h.restored.Restore([]byte("junk")) != nil)
}

func (h *streamHistory) checkReplicasEqual(t *rapid.T) {
	continuous, err := h.continuous.Snapshot()
	assert.NilError(t, err)
	restored, err := h.restored.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(continuous, restored))
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

func (h *streamHistory) appendProposal(t *rapid.T, proposal Proposal) {
	body, err := logrecord.EncodeBody(&proposal)
	assert.NilError(t, err)
	before := h.continuous.Table()
	rows, problems := ApplyAndValidate(before.Rows, proposal.Changes)
	verdict := h.append(t, h.record(t, KindProposal, body))
	after := h.continuous.Table()

	firstVerdict, repeated := h.firstVerdict[proposal.ProposalID]
	switch {
	case repeated:
		assert.Equal(t, verdict, firstVerdict)
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
		h.firstVerdict[proposal.ProposalID] = verdict
	}
}

func (h *streamHistory) checkHistory(t *rapid.T, before *Table) {
	earlier, known := h.continuous.TableAt(before.Revision)
	assert.Assert(t, known)
	assert.Equal(t, len(Diff(earlier.Rows, before.Rows)), 0)
	newest := h.continuous.History(1)[0]
	assert.Equal(t, newest.Base, before.Revision)
	accepted, known := h.continuous.AcceptedRevision(h.continuous.Table().Revision)
	assert.Assert(t, known)
	assert.DeepEqual(t, accepted, newest)
}

func (h *streamHistory) append(t *rapid.T, record logrecord.Record) logrecord.Verdict {
	offset := int64(len(h.records))
	before := h.continuous.Table().Revision
	h.records = append(h.records, record)
	verdict := h.continuous.Apply(offset, record)
	assert.Equal(t, h.restored.Apply(offset, record), verdict)
	after := h.continuous.Table().Revision
	assert.Assert(t, after == before || (after > before && after == offset+1))
	h.revisions = append(h.revisions, after)
	return verdict
}

func TestReducerEvictsHistoryAndDecisions(t *testing.T) {
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
