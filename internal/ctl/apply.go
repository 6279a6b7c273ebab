package ctl

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

// proposalRetries is the backoff between attempts of a proposal that has no verdict yet.
var proposalRetries = retry.Policy{First: 200 * time.Millisecond, Longest: 2 * time.Second}

// applyResult is the JSON output of "table apply".
type applyResult struct {
	api.TableAccepted
	ProposalID string `json:"proposal_id"`
	// InForce is present with --wait.
	InForce *inForceResult `json:"in_force,omitempty"`
}

func (s *session) tableApply(ctx context.Context) error {
	proposal, err := s.newProposal(ctx)
	if err != nil {
		return err
	}
	accepted, err := s.propose(ctx, proposal)
	if err != nil {
		return err
	}
	result := applyResult{TableAccepted: accepted, ProposalID: proposal.ProposalID}
	if !s.arguments.JSON {
		printChanges(s.streams.Out, accepted.Changes)
		s.notice("%s", describeAccepted(proposal, accepted))
	}
	if s.arguments.Table.Apply.Wait {
		result.InForce, err = s.awaitInForce(ctx, accepted.Revision)
	}
	if s.arguments.JSON {
		s.printJSON(result)
	}
	return err
}

func describeAccepted(proposal api.TableProposal, accepted api.TableAccepted) string {
	if accepted.Revision == proposal.BaseRevision {
		return fmt.Sprintf("no changes, revision %d remains in force", accepted.Revision)
	}
	return fmt.Sprintf("revision %d accepted, rows changed: %d", accepted.Revision, len(accepted.Changes))
}

func (s *session) newProposal(ctx context.Context) (api.TableProposal, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	apply := s.arguments.Table.Apply
	text, _, err := s.readTable(apply.File)
	if err != nil {
		return api.TableProposal{}, err
	}
	base, err := s.baseRevision(ctx, text)
	if err != nil {
		return api.TableProposal{}, err
	}
	proposalID := apply.ProposalID
	if proposalID == "" {
		proposalID = xid.New().String()
	}
	return api.TableProposal{
		BaseRevision: base,
		CSV:          text,
		Operator:     apply.Operator,
		ProposalID:   proposalID,
	}, nil
}

// baseRevision returns the revision given with --base, else that of the file's revision comment, else the one in force.
func (s *session) baseRevision(ctx context.Context, text string) (int64, error) {
	if base := s.arguments.Table.Apply.Base; base != nil {
		return *base, nil
	}
	if base, found := policy.ParseRevisionComment(text); found {
		return base, nil
	}
	current, err := s.fetchTable(ctx, nil)
	if err != nil {
		return 0, err
	}
	s.notice("the file has no revision comment: it replaces revision %d as a whole", current.Revision)
	return current.Revision, nil
}

// propose retries the proposal until it has a verdict or the timeout expires. Retries are idempotent across nodes, as
// they have the same proposal ID.
func (s *session) propose(ctx context.Context, proposal api.TableProposal) (api.TableAccepted, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	attempts := &proposeAttempts{
		session:  s,
		proposal: proposal,
		// A proposal with a given ID may have been sent by an earlier run.
		mayTakeEffect: s.arguments.Table.Apply.ProposalID != "",
	}
	// Printed before the first attempt, so that the ID is known even if corkctl is killed.
	s.notice("proposal %s from revision %d", proposal.ProposalID, proposal.BaseRevision)
	accepted, err := backoff.Retry(ctx, func() (api.TableAccepted, error) { return attempts.try(ctx) },
		backoff.WithBackOff(proposalRetries.Delays()),
		backoff.WithMaxElapsedTime(0))
	if err == nil {
		return accepted, nil
	}
	return api.TableAccepted{}, attempts.finalError()
}

// proposeAttempts accumulates the results of the attempts of one proposal.
type proposeAttempts struct {
	session  *session
	proposal api.TableProposal
	// mayTakeEffect is set once an attempt may have appended the proposal to the log.
	mayTakeEffect bool
	last          error
	// final is set if last is the verdict.
	final bool
}

func (p *proposeAttempts) try(ctx context.Context) (api.TableAccepted, error) {
	var accepted api.TableAccepted
	client := p.session.client
	attemptContext, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := client.attempt(attemptContext, http.MethodPost, operatorapi.PathTable, nil, p.proposal, &accepted)
	if err == nil {
		return accepted, nil
	}
	if p.last == nil || ctx.Err() == nil {
		p.last = err
	}
	p.classify(err)
	if p.final {
		return api.TableAccepted{}, backoff.Permanent(err)
	}
	p.session.notice("no verdict yet: %v", err)
	client.useNextServer()
	return api.TableAccepted{}, err
}

// classify updates mayTakeEffect and final from the error of an attempt.
func (p *proposeAttempts) classify(err error) {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		p.mayTakeEffect = p.mayTakeEffect || unreachable.sent
		return
	}
	var serverErr *serverError
	if !errors.As(err, &serverErr) {
		p.final = true
		return
	}
	if serverErr.detail.Executed != string(errkind.NotExecuted) {
		p.mayTakeEffect = true
		return
	}
	p.final = !serverErr.detail.Retryable
}

// finalError returns the error of the command. It has ExitUnknown if the proposal may still take effect.
func (p *proposeAttempts) finalError() error {
	if p.last == nil {
		return exitWith(ExitFailed, "the command ended before the proposal was sent")
	}
	if p.final || !p.mayTakeEffect {
		return toExitError(p.last)
	}
	return exitWith(ExitUnknown,
		"outcome unknown: proposal %s may still be accepted; to learn its verdict repeat with --base %d --proposal-id %s (last: %w)",
		p.proposal.ProposalID, p.proposal.BaseRevision, p.proposal.ProposalID, p.last)
}
