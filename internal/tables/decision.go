package tables

import (
	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// proposalState is a snapshot of the reducer's state for one proposal.
type proposalState struct {
	current  *policy.Table
	base     *policy.Table // nil when the base revision is unknown or no longer retained
	decided  bool
	decision policy.Decision
	accepted policy.AcceptedRevision // set when the proposal was accepted
}

// readState returns the state of the edit's proposal and, when its base is known, sets the proposal's changes.
func (t *Tables) readState(edit *edit) *proposalState {
	state := &proposalState{}
	t.options.Stream.View(func() {
		reducer := t.options.Reducer
		state.current = reducer.Table()
		if base, known := reducer.TableAt(edit.proposal.BaseRevision); known {
			state.base = base
		}
		state.decision, state.decided = reducer.Decision(edit.proposal.ProposalID)
		if state.decided && state.decision.Outcome == policy.OutcomeAccepted {
			state.accepted, _ = reducer.AcceptedRevision(state.decision.Revision)
		}
	})
	if state.base != nil {
		edit.proposal.Changes = policy.Diff(state.base.Rows, edit.rows)
	}
	return state
}

// response converts the decision into the result of Propose.
func (s *proposalState) response(edit *edit) (api.TableAccepted, error) {
	if s.isDifferentEdit(edit) {
		return api.TableAccepted{}, errkind.New(errkind.InvalidRequest,
			"proposal ID %q was already used for a different edit", edit.proposal.ProposalID)
	}
	switch s.decision.Outcome {
	case policy.OutcomeAccepted:
		changes := append([]policy.RowChange{}, s.accepted.Changes...)
		return api.TableAccepted{Revision: s.decision.Revision, Changes: changes}, nil
	case policy.OutcomeStale:
		return api.TableAccepted{}, s.conflict(edit)
	default:
		return api.TableAccepted{}, invalidTable(s.decision.Problems)
	}
}

// isDifferentEdit reports whether the decision was made for another edit with
// the same ProposalID. Without the base, it assumes that the edit is the same.
func (s *proposalState) isDifferentEdit(edit *edit) bool {
	if s.base == nil {
		return false
	}
	fingerprint, err := edit.proposal.Fingerprint()
	return err == nil && fingerprint != s.decision.Fingerprint
}

func (s *proposalState) conflict(edit *edit) error {
	base := edit.proposal.BaseRevision
	if s.base == nil {
		return &ProposalError{Err: errkind.New(errkind.TableConflict,
			"base revision %d is unknown or no longer retained; the active revision is %d", base, s.current.Revision)}
	}
	return &ProposalError{
		Err: errkind.New(errkind.TableConflict,
			"the edit is based on revision %d, but the active revision is %d", base, s.current.Revision),
		Conflicts: policy.Conflicts(s.base.Rows, s.current.Rows, edit.rows),
	}
}
