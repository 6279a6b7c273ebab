package policy

import (
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// SnapshotFormat is the version of the encoding that Reducer.Snapshot gives.
const SnapshotFormat = 1

// Bounds of what a Reducer remembers.
const (
	// MaxHistory bounds the accepted revisions that are kept.
	MaxHistory = 1000
	// maxHistoryChanges bounds the row changes over all kept revisions, so
	// that a snapshot stays small when whole tables are replaced.
	maxHistoryChanges = 20_000
	// maxDecisions bounds the verdicts that are kept for repeated proposals.
	maxDecisions = 2000
)

// Accepted is one accepted revision.
type Accepted struct {
	Revision   int64       `msgpack:"rev"`
	Base       int64       `msgpack:"b"`
	ProposalID string      `msgpack:"id"`
	Operator   string      `msgpack:"o,omitempty"`
	UnixMS     int64       `msgpack:"t,omitempty"`
	Changes    []RowChange `msgpack:"c"`
}

// Judgement is what the reducer decided about a proposal.
type Judgement uint8

// The judgements of a proposal.
const (
	// JudgedAccepted: the proposal is a revision of the table.
	JudgedAccepted Judgement = iota + 1
	// JudgedStale: its base was not the revision in force.
	JudgedStale
	// JudgedInvalid: its changes do not fit the base, or give an invalid table.
	JudgedInvalid
)

// Decision is the judgement of the first record with a ProposalID.
type Decision struct {
	ProposalID string    `msgpack:"id"`
	Judgement  Judgement `msgpack:"j"`
	// Revision is the new revision when accepted, else the one in force then.
	Revision    int64  `msgpack:"rev"`
	Fingerprint uint64 `msgpack:"f"`
	// Problems, at most maxDecisionProblems, when the table was invalid.
	Problems []Problem `msgpack:"p,omitempty"`
}

// maxDecisionProblems bounds the mistakes kept with a decision; the node that
// proposes reports all of them before it appends anything.
const maxDecisionProblems = 20

// Reducer is the state machine of the config stream (logstream.Reducer). The
// first valid proposal that names the revision in force wins; its revision is
// its offset + 1. The zero value is ready.
//
// Invariants: the revision only rises; the state depends on the records alone;
// no edit is accepted twice, whatever is forgotten, since the base of an
// accepted one is never in force again. So the bounds on decisions and writers
// cost at worst the exact wording of a refusal.
type Reducer struct {
	table     *Table
	sequences logrecord.Sequences
	history   []Accepted // rising revisions
	decisions []Decision // in the order of judgement, one for an ID
}

// emptyTable is in force before any proposal was accepted.
var emptyTable = &Table{}

// Apply applies one record.
func (r *Reducer) Apply(offset int64, record logrecord.Record) logrecord.Verdict {
	if record.Kind == logrecord.KindSnapshot {
		// A snapshot only repeats the state; it must not change it.
		return logrecord.Accepted
	}
	if verdict := r.sequences.Admit(offset, record); verdict != logrecord.Accepted {
		return verdict
	}
	if record.Kind != KindProposal {
		return logrecord.Invalid
	}
	proposal, err := DecodeProposal(record)
	if err != nil {
		return logrecord.Invalid
	}
	decision, known := r.Decision(proposal.ProposalID)
	if !known {
		decision = r.judge(offset, proposal)
		r.remember(decision)
	}
	if decision.Judgement != JudgedAccepted {
		return logrecord.Invalid
	}
	return logrecord.Accepted
}

// Table returns the revision in force as of the last applied record.
func (r *Reducer) Table() *Table {
	if r.table == nil {
		return emptyTable
	}
	return r.table
}

// Decision returns the judgement of a proposal, as long as it is remembered.
func (r *Reducer) Decision(proposalID string) (Decision, bool) {
	for i := len(r.decisions) - 1; i >= 0; i-- {
		if r.decisions[i].ProposalID == proposalID {
			return r.decisions[i], true
		}
	}
	return Decision{}, false
}

// History returns up to limit accepted revisions, the newest first.
func (r *Reducer) History(limit int) []Accepted {
	limit = max(0, min(limit, len(r.history)))
	newest := make([]Accepted, 0, limit)
	for i := range limit {
		newest = append(newest, r.history[len(r.history)-1-i])
	}
	return newest
}

// Accepted returns one accepted revision, as long as it is remembered.
func (r *Reducer) Accepted(revision int64) (Accepted, bool) {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].Revision == revision {
			return r.history[i], true
		}
	}
	return Accepted{}, false
}

// TableAt returns the table of an earlier revision, as long as the history
// reaches back to it.
func (r *Reducer) TableAt(revision int64) (*Table, bool) {
	table := r.Table()
	if revision == table.Revision {
		return table, true
	}
	rows := table.Rows
	for i := len(r.history) - 1; i >= 0; i-- {
		earlier, err := ApplyChanges(rows, reverse(r.history[i].Changes))
		if err != nil {
			return nil, false
		}
		rows = earlier
		if r.history[i].Base == revision {
			return &Table{Revision: revision, Rows: rows}, true
		}
	}
	return nil, false
}

func (r *Reducer) judge(offset int64, proposal Proposal) Decision {
	current := r.Table()
	decision := Decision{ProposalID: proposal.ProposalID, Revision: current.Revision}
	fingerprint, err := proposal.Fingerprint()
	if err != nil {
		decision.Judgement = JudgedInvalid
		return decision
	}
	decision.Fingerprint = fingerprint
	if proposal.BaseRevision != current.Revision {
		decision.Judgement = JudgedStale
		return decision
	}
	rows, problems := Propose(current.Rows, proposal.Changes)
	if len(problems) > 0 {
		decision.Judgement = JudgedInvalid
		decision.Problems = problems[:min(len(problems), maxDecisionProblems)]
		return decision
	}
	r.accept(offset+1, rows, proposal)
	decision.Judgement = JudgedAccepted
	decision.Revision = offset + 1
	return decision
}

// Propose returns the table that the changes make of the rows, or why they
// cannot. Every replica judges a proposal by it.
func Propose(rows []Row, changes []RowChange) ([]Row, []Problem) {
	result, err := ApplyChanges(rows, changes)
	if err != nil {
		return nil, []Problem{{Expected: "changes that fit the base revision: " + err.Error()}}
	}
	if problems := Validate(result); len(problems) > 0 {
		return nil, problems
	}
	return result, nil
}

func (r *Reducer) accept(revision int64, rows []Row, proposal Proposal) {
	r.history = append(r.history, Accepted{
		Revision:   revision,
		Base:       proposal.BaseRevision,
		ProposalID: proposal.ProposalID,
		Operator:   proposal.Operator,
		UnixMS:     proposal.UnixMS,
		Changes:    Diff(r.Table().Rows, rows),
	})
	r.table = &Table{Revision: revision, Rows: rows}
	r.trimHistory()
}

func (r *Reducer) trimHistory() {
	kept, changes := 0, 0
	for i := len(r.history) - 1; i >= 0 && kept < MaxHistory; i-- {
		changes += len(r.history[i].Changes)
		if kept > 0 && changes > maxHistoryChanges {
			break
		}
		kept++
	}
	if kept < len(r.history) {
		// A copy, so that what was cut off is freed.
		r.history = slices.Clone(r.history[len(r.history)-kept:])
	}
}

func (r *Reducer) remember(decision Decision) {
	r.decisions = append(r.decisions, decision)
	if len(r.decisions) > maxDecisions {
		r.decisions = slices.Clone(r.decisions[len(r.decisions)-maxDecisions:])
	}
}

// reducerSnapshot is the encoded form of a Reducer.
type reducerSnapshot struct {
	Table     *Table               `msgpack:"t"`
	Sequences *logrecord.Sequences `msgpack:"s"`
	History   []Accepted           `msgpack:"h"`
	Decisions []Decision           `msgpack:"d"`
}

// Snapshot encodes the state. Equal states have equal bytes.
func (r *Reducer) Snapshot() ([]byte, error) {
	encoded, err := msgpack.Marshal(&reducerSnapshot{
		Table:     r.Table(),
		Sequences: &r.sequences,
		History:   r.history,
		Decisions: r.decisions,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode config snapshot")
	}
	return encoded, nil
}

// Restore replaces the state by a snapshot's; after an error it is unchanged.
func (r *Reducer) Restore(snapshot []byte) error {
	restored := reducerSnapshot{Sequences: &logrecord.Sequences{}}
	if err := msgpack.Unmarshal(snapshot, &restored); err != nil {
		return errors.Wrap(err, "decode config snapshot")
	}
	if restored.Table == nil || restored.Sequences == nil {
		return errors.New("decode config snapshot: no table or no sequences")
	}
	r.table = restored.Table
	r.sequences = *restored.Sequences
	r.history = restored.History
	r.decisions = restored.Decisions
	return nil
}
