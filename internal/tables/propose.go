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

// ProposeTimeout bounds the wait of Propose for the log's verdict.
const ProposeTimeout = 15 * time.Second

// proposeCatchUp bounds the wait for the log's end before anything is proposed.
const proposeCatchUp = 5 * time.Second

// ProposalError is why a proposal was not accepted. It wraps an
// *errkind.Error.
type ProposalError struct {
	Err *errkind.Error
	// Conflicts are the rows that others changed since the base (TableConflict).
	Conflicts []policy.RowChange
	// Problems are all mistakes of the table (TableInvalid).
	Problems []policy.Problem
}

// Error implements the error interface.
func (e *ProposalError) Error() string { return e.Err.Error() }

// Unwrap returns the *errkind.Error.
func (e *ProposalError) Unwrap() error { return e.Err }

// Propose proposes an edit and waits for the verdict that the log's order
// gives it. A repeat with the same ProposalID gets the first verdict again.
//
// Errors are *errkind.Error or *ProposalError: InvalidRequest, TableInvalid,
// TableConflict; LogUnavailable when nothing was proposed; OutcomeUnknown when
// the proposal may still be accepted (repeat it to learn the verdict).
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
	if err := t.proposeCatchUp(ctx, request.ProposalID); err != nil {
		return api.TableAccepted{}, err
	}
	return t.propose(ctx, edit)
}

// edit is a proposal with the whole table that it makes of its base.
type edit struct {
	rows     []policy.Row
	proposal policy.Proposal
}

// proposeCatchUp reads to the log's end: only then is a verdict that exists known.
func (t *Tables) proposeCatchUp(ctx context.Context, proposalID string) error {
	ctx, cancel := context.WithTimeout(ctx, proposeCatchUp)
	defer cancel()
	err := t.catchUp(ctx)
	switch {
	case err == nil:
		return nil
	case t.isPending(proposalID):
		return outcomeUnknown(proposalID)
	default:
		return errkind.New(errkind.LogUnavailable, "nothing was proposed, the config stream cannot be read: %v", err)
	}
}

func (t *Tables) propose(ctx context.Context, edit *edit) (api.TableAccepted, error) {
	state := t.readState(edit)
	if state.decided {
		return state.answer(edit)
	}
	base := edit.proposal.BaseRevision
	switch {
	case base > state.current.Revision:
		return api.TableAccepted{}, errkind.New(errkind.InvalidRequest,
			"base revision %d does not exist, revision %d is in force", base, state.current.Revision)
	case base < state.current.Revision:
		// Its base is never in force again: no need to append it.
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
	return state.answer(edit)
}

// appendProposal brings the proposal into the stream and returns when it is judged.
func (t *Tables) appendProposal(ctx context.Context, edit *edit) error {
	proposalID := edit.proposal.ProposalID
	if !t.markPending(proposalID) {
		return t.awaitDecision(ctx, proposalID)
	}
	proposal := edit.proposal
	proposal.Changes = policy.Compact(proposal.Changes)
	_, err := t.options.Stream.ProposeWithLate(ctx,
		logstream.Proposal{Kind: policy.KindProposal, Body: &proposal},
		func(outcome logstream.Outcome) { t.lateOutcome(proposalID, outcome) })
	if err == nil || errors.Is(err, logstream.ErrNotProposed) {
		t.clearPending(proposalID)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, logstream.ErrBadProposal):
		return errkind.New(errkind.PayloadTooLarge, "the edit does not fit into one record: %v", err)
	case errors.Is(err, logstream.ErrNotProposed):
		return errkind.New(errkind.LogUnavailable, "nothing was proposed: %v", err)
	default:
		t.options.Logger.Warn().Err(err).Str("proposal_id", proposalID).Msg("proposal's outcome not yet known")
		return outcomeUnknown(proposalID)
	}
}

// awaitDecision waits for the verdict on a proposal that an earlier call of
// this process brought under way.
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

func (t *Tables) lateOutcome(proposalID string, outcome logstream.Outcome) {
	t.clearPending(proposalID)
	t.options.Logger.Info().Str("proposal_id", proposalID).Int64("offset", outcome.Offset).
		Uint8("verdict", uint8(outcome.Verdict)).Msg("proposal's outcome known late")
}

func (t *Tables) isPending(proposalID string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.pending[proposalID]
}

// markPending reports false when the proposal is under way already.
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
		Err:      errkind.New(errkind.TableInvalid, "the table has %d mistakes", len(problems)),
		Problems: problems,
	}
}

func outcomeUnknown(proposalID string) error {
	return errors.Wrap(errkind.New(errkind.OutcomeUnknown,
		"the log has not given a verdict yet; proposal %q may still be accepted, repeat it to learn", proposalID),
		"propose table")
}
