package tables

import (
	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// proposalState is what the reducer knows about a proposal at one moment.
type proposalState struct {
	current  *policy.Table
	base     *policy.Table // nil when the history does not reach back to it
	decided  bool
	decision policy.Decision
	accepted policy.Accepted // when the decision accepted it
}

// readState reads the state, and sets the edit's changes when its base is known.
func (t *Tables) readState(edit *edit) *proposalState {
	state := &proposalState{}
	t.options.Stream.View(func() {
		reducer := t.options.Reducer
		state.current = reducer.Table()
		if base, known := reducer.TableAt(edit.proposal.BaseRevision); known {
			state.base = base
		}
		state.decision, state.decided = reducer.Decision(edit.proposal.ProposalID)
		if state.decided && state.decision.Judgement == policy.JudgedAccepted {
			state.accepted, _ = reducer.Accepted(state.decision.Revision)
		}
	})
	if state.base != nil {
		edit.proposal.Changes = policy.Diff(state.base.Rows, edit.rows)
	}
	return state
}

// answer turns the decision into the answer for the operator.
func (s *proposalState) answer(edit *edit) (api.TableAccepted, error) {
	if s.isOtherEdit(edit) {
		return api.TableAccepted{}, errkind.New(errkind.InvalidRequest,
			"proposal ID %q was used for another edit", edit.proposal.ProposalID)
	}
	switch s.decision.Judgement {
	case policy.JudgedAccepted:
		changes := append([]policy.RowChange{}, s.accepted.Changes...)
		return api.TableAccepted{Revision: s.decision.Revision, Changes: changes}, nil
	case policy.JudgedStale:
		return api.TableAccepted{}, s.conflict(edit)
	default:
		return api.TableAccepted{}, invalidTable(s.decision.Problems)
	}
}

// isOtherEdit reports whether the decision was about something else. Where the
// base is too old to compare, the ProposalID is believed.
func (s *proposalState) isOtherEdit(edit *edit) bool {
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
			"base revision %d is unknown or too old to compare, revision %d is in force", base, s.current.Revision)}
	}
	return &ProposalError{
		Err: errkind.New(errkind.TableConflict,
			"the table was edited from revision %d, revision %d is in force", base, s.current.Revision),
		Conflicts: policy.Conflicts(s.base.Rows, s.current.Rows, edit.rows),
	}
}
