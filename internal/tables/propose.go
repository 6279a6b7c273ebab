package tables

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
)

// ProposeTimeout bounds a call of Propose.
const ProposeTimeout = 15 * time.Second

// proposeCatchUpTimeout bounds reading to the log's end before a proposal is appended.
const proposeCatchUpTimeout = 5 * time.Second

// ProposalError explains why a proposal was rejected. It wraps an *errkind.Error.
type ProposalError struct {
	Err *errkind.Error
	// Conflicts are the changes since the base that the edit would revert or
	// overwrite (TableConflict).
	Conflicts []policy.RowChange
	// Problems are all validation errors of the table (TableInvalid).
	Problems []policy.Problem
}

// Error implements the error interface.
func (e *ProposalError) Error() string { return e.Err.Error() }

// Unwrap returns the *errkind.Error.
func (e *ProposalError) Unwrap() error { return e.Err }

// Propose appends an edit to the config stream and waits until it is accepted
// or rejected. A repeat with the same ProposalID returns the first decision.
//
// Errors are *errkind.Error or *ProposalError: InvalidRequest, TableInvalid,
// TableConflict; PayloadTooLarge when the edit exceeds one record;
// LogUnavailable when nothing was appended; OutcomeUnknown when the proposal
// may still be accepted (repeat the call to get the decision).
func (t *Tables) Propose(ctx context.Context, request api.TableProposal) (api.TableAccepted, error) {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	rows, problems := policy.ParseCSV(request.CSV)
	if len(problems) > 0 {
		return api.TableAccepted{}, invalidTable(problems)
	}
	edit := &edit{rows: rows, proposal: policy.Proposal{
		ProposalID:   request.ProposalID,
		BaseRevision: request.BaseRevision,
		Operator:     request.Operator,
		UnixMS:       time.Now().UnixMilli(),
	}}
	if err := edit.proposal.Check(); err != nil {
		return api.TableAccepted{}, errkind.New(errkind.InvalidRequest, "%v", err)
	}
	if err := t.catchUpForProposal(ctx, request.ProposalID); err != nil {
		return api.TableAccepted{}, err
	}
	return t.propose(ctx, edit)
}

// edit is a proposal together with the complete rows of the resulting table.
type edit struct {
	rows     []policy.Row
	proposal policy.Proposal
}

// catchUpForProposal reads to the log's end, so that an existing decision on the proposal is found.
func (t *Tables) catchUpForProposal(ctx context.Context, proposalID string) error {
	ctx, cancel := context.WithTimeout(ctx, proposeCatchUpTimeout)
	defer cancel()
	err := t.catchUp(ctx)
	switch {
	case err == nil:
		return nil
	case t.isPending(proposalID):
		return outcomeUnknown(proposalID)
	default:
		return errkind.New(errkind.LogUnavailable, "proposal not appended: config stream cannot be read: %v", err)
	}
}

func (t *Tables) propose(ctx context.Context, edit *edit) (api.TableAccepted, error) {
	state := t.readState(edit)
	if state.decided {
		return state.response(edit)
	}
	base := edit.proposal.BaseRevision
	switch {
	case base > state.current.Revision:
		return api.TableAccepted{}, errkind.New(errkind.InvalidRequest,
			"base revision %d does not exist; the active revision is %d", base, state.current.Revision)
	case base < state.current.Revision:
		// The proposal would be rejected as stale: revisions only increase.
		return api.TableAccepted{}, state.conflict(edit)
	case len(edit.proposal.Changes) == 0:
		return api.TableAccepted{Revision: base, Changes: []policy.RowChange{}}, nil
	}
	if err := t.appendProposal(ctx, edit); err != nil {
		return api.TableAccepted{}, err
	}
	t.adoptFromStream()
	state = t.readState(edit)
	if !state.decided {
		return api.TableAccepted{}, outcomeUnknown(edit.proposal.ProposalID)
	}
	return state.response(edit)
}

// appendProposal appends the proposal to the stream and returns once it is decided.
func (t *Tables) appendProposal(ctx context.Context, edit *edit) error {
	proposalID := edit.proposal.ProposalID
	if !t.markPending(proposalID) {
		return t.awaitDecision(ctx, proposalID)
	}
	proposal := edit.proposal
	proposal.Changes = policy.Compact(proposal.Changes)
	_, err := t.options.Stream.ProposeWithCallback(ctx,
		logstream.Proposal{Kind: policy.KindProposal, Body: &proposal},
		func(outcome logstream.Outcome) { t.handleLateOutcome(proposalID, outcome) })
	if err == nil || errors.Is(err, logstream.ErrNotProposed) {
		t.clearPending(proposalID)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, logstream.ErrBadProposal):
		return errkind.New(errkind.PayloadTooLarge, "the edit does not fit into one record: %v", err)
	case errors.Is(err, logstream.ErrNotProposed):
		return errkind.New(errkind.LogUnavailable, "proposal not appended: %v", err)
	default:
		t.options.Logger.Warn().Err(err).Str("proposal_id", proposalID).Msg("proposal outcome unknown")
		return outcomeUnknown(proposalID)
	}
}

// awaitDecision waits for the decision on a proposal that another call of this
// process is appending.
func (t *Tables) awaitDecision(ctx context.Context, proposalID string) error {
	for {
		applied := t.options.Stream.Applied()
		decided := false
		t.options.Stream.View(func() { _, decided = t.options.Reducer.Decision(proposalID) })
		if decided {
			return nil
		}
		select {
		case <-ctx.Done():
			return outcomeUnknown(proposalID)
		case <-t.options.Stream.Changed(applied):
		}
	}
}

func (t *Tables) handleLateOutcome(proposalID string, outcome logstream.Outcome) {
	t.clearPending(proposalID)
	t.options.Logger.Info().Str("proposal_id", proposalID).Int64("offset", outcome.Offset).
		Uint8("verdict", uint8(outcome.Verdict)).Msg("proposal outcome received after the call returned")
}

func (t *Tables) isPending(proposalID string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.pending[proposalID]
}

// markPending marks the proposal as being appended. It returns false when it already was.
func (t *Tables) markPending(proposalID string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pending[proposalID] {
		return false
	}
	t.pending[proposalID] = true
	return true
}

func (t *Tables) clearPending(proposalID string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.pending, proposalID)
}

func invalidTable(problems []policy.Problem) error {
	return &ProposalError{
		Err:      errkind.New(errkind.TableInvalid, "the table has %d validation errors", len(problems)),
		Problems: problems,
	}
}

func outcomeUnknown(proposalID string) error {
	return errors.Wrap(errkind.New(errkind.OutcomeUnknown,
		"proposal %q is not decided yet and may still be accepted; repeat it to get the decision", proposalID),
		"propose table")
}
