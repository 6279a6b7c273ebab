package policy

import (
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// SnapshotFormat is the version of the encoding returned by Reducer.Snapshot.
const SnapshotFormat = 1

// Limits of the state retained by a Reducer.
const (
	// MaxHistory bounds the retained accepted revisions.
	MaxHistory = 1000
	// maxHistoryChanges bounds the row changes over all retained revisions, to
	// limit the snapshot size when whole tables are replaced.
	maxHistoryChanges = 20_000
	// maxDecisions bounds the decisions retained to answer repeated proposals.
	maxDecisions = 2000
)

// AcceptedRevision is an accepted revision of the table.
type AcceptedRevision struct {
	Revision   int64       `msgpack:"rev"`
	Base       int64       `msgpack:"b"`
	ProposalID string      `msgpack:"id"`
	Operator   string      `msgpack:"o,omitempty"`
	UnixMS     int64       `msgpack:"t,omitempty"`
	Changes    []RowChange `msgpack:"c"`
}

// Outcome is the outcome of evaluating a proposal.
type Outcome uint8

// Outcomes of a proposal.
const (
	// OutcomeAccepted means that the proposal became a revision of the table.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeStale means that its base was not the current revision.
	OutcomeStale
	// OutcomeInvalid means that its changes are inconsistent with the base or
	// result in an invalid table.
	OutcomeInvalid
)

// Decision is the outcome of the first record with a given ProposalID.
type Decision struct {
	ProposalID string  `msgpack:"id"`
	Outcome    Outcome `msgpack:"j"`
	// Revision is the new revision if accepted, otherwise the revision that was
	// current when the proposal was evaluated.
	Revision    int64  `msgpack:"rev"`
	Fingerprint uint64 `msgpack:"f"`
	// Problems has at most maxDecisionProblems entries; OutcomeInvalid only.
	Problems []Problem `msgpack:"p,omitempty"`
}

// maxDecisionProblems bounds the problems retained per decision. The proposing
// node validates first and reports all of them to the operator.
const maxDecisionProblems = 20

// Reducer is the state machine of the config stream and implements
// logstream.Reducer. The first valid proposal based on the current revision is
// accepted; the new revision is its offset + 1. The zero value is ready to use.
//
// Invariants: the revision only increases; the state depends only on the records;
// no edit is accepted twice, even after its decision was evicted, since the base
// of an accepted edit is never the current revision again. Evicting decisions
// and writers therefore affects only the reported reason of a rejection.
type Reducer struct {
	table     *Table
	sequences logrecord.Sequences
	history   []AcceptedRevision // ascending revisions
	decisions []Decision         // oldest first, one per ProposalID
}

// emptyTable is the table before the first accepted proposal.
var emptyTable = &Table{}

// Apply applies the record at the offset and returns its verdict.
func (r *Reducer) Apply(offset int64, record logrecord.Record) logrecord.Verdict {
	if record.Kind == logrecord.KindSnapshot {
		// A snapshot record repeats the state and must not change it.
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
		decision = r.evaluate(offset, proposal)
		r.recordDecision(decision)
	}
	if decision.Outcome != OutcomeAccepted {
		return logrecord.Invalid
	}
	return logrecord.Accepted
}

// Table returns the current revision as of the last applied record.
func (r *Reducer) Table() *Table {
	if r.table == nil {
		return emptyTable
	}
	return r.table
}

// Decision returns the decision on a proposal; false if there is none or it was
// evicted.
func (r *Reducer) Decision(proposalID string) (Decision, bool) {
	for i := len(r.decisions) - 1; i >= 0; i-- {
		if r.decisions[i].ProposalID == proposalID {
			return r.decisions[i], true
		}
	}
	return Decision{}, false
}

// History returns up to limit accepted revisions, newest first.
func (r *Reducer) History(limit int) []AcceptedRevision {
	limit = max(0, min(limit, len(r.history)))
	newest := make([]AcceptedRevision, 0, limit)
	for i := range limit {
		newest = append(newest, r.history[len(r.history)-1-i])
	}
	return newest
}

// AcceptedRevision returns an accepted revision; false if it is unknown or was evicted.
func (r *Reducer) AcceptedRevision(revision int64) (AcceptedRevision, bool) {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].Revision == revision {
			return r.history[i], true
		}
	}
	return AcceptedRevision{}, false
}

// TableAt reconstructs the table of an earlier revision; false if the retained
// history doesn't reach back to it.
func (r *Reducer) TableAt(revision int64) (*Table, bool) {
	table := r.Table()
	if revision == table.Revision {
		return table, true
	}
	rows := table.Rows
	for i := len(r.history) - 1; i >= 0; i-- {
		earlier, err := ApplyChanges(rows, invertChanges(r.history[i].Changes))
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

func (r *Reducer) evaluate(offset int64, proposal Proposal) Decision {
	current := r.Table()
	decision := Decision{ProposalID: proposal.ProposalID, Revision: current.Revision}
	fingerprint, err := proposal.Fingerprint()
	if err != nil {
		decision.Outcome = OutcomeInvalid
		return decision
	}
	decision.Fingerprint = fingerprint
	if proposal.BaseRevision != current.Revision {
		decision.Outcome = OutcomeStale
		return decision
	}
	rows, problems := ApplyAndValidate(current.Rows, proposal.Changes)
	if len(problems) > 0 {
		decision.Outcome = OutcomeInvalid
		decision.Problems = problems[:min(len(problems), maxDecisionProblems)]
		return decision
	}
	r.accept(offset+1, rows, proposal)
	decision.Outcome = OutcomeAccepted
	decision.Revision = offset + 1
	return decision
}

// ApplyAndValidate applies the changes and validates the resulting table. It
// returns either the new rows or the problems. Every replica evaluates proposals
// with it, so its result must be deterministic.
func ApplyAndValidate(rows []Row, changes []RowChange) ([]Row, []Problem) {
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
	r.history = append(r.history, AcceptedRevision{
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
		// Clone releases the backing array with the evicted entries.
		r.history = slices.Clone(r.history[len(r.history)-kept:])
	}
}

func (r *Reducer) recordDecision(decision Decision) {
	r.decisions = append(r.decisions, decision)
	if len(r.decisions) > maxDecisions {
		r.decisions = slices.Clone(r.decisions[len(r.decisions)-maxDecisions:])
	}
}

// reducerSnapshot is the encoded form of a Reducer.
type reducerSnapshot struct {
	Table     *Table               `msgpack:"t"`
	Sequences *logrecord.Sequences `msgpack:"s"`
	History   []AcceptedRevision   `msgpack:"h"`
	Decisions []Decision           `msgpack:"d"`
}

// Snapshot encodes the state. Equal states have equal encodings.
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

// Restore replaces the state with a snapshot. On error the state is unchanged.
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
