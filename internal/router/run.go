package router

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/answer"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// maxContinuations bounds how often one request is continued at another cell: a
// request that breaks each engine it meets must end.
const maxContinuations = 8

// searchRetries paces the search for a cell that takes the request.
var searchRetries = retry.Policy{First: 25 * time.Millisecond, Longest: 500 * time.Millisecond}

// attempts is the state of one request while it runs. It is used by one goroutine.
type attempts struct {
	router    *CellRouter
	request   *Request
	onPiece   func(Piece) error
	assembler answer.Assembler
	// tokens are the answer so far; kept for repeatable requests only.
	tokens []string
	// number is the attempt in force, from 1.
	number        uint32
	continuations int
	tried         triedSet
	refusals      refusals
	// mayHaveRun is set once an attempt was sent and not refused as not run.
	mayHaveRun bool
}

// Run implements Router.
func (r *CellRouter) Run(ctx context.Context, request Request, onPiece func(Piece) error) (Result, error) {
	if err := validate(&request); err != nil {
		return Result{}, err
	}
	r.budget.request()
	run := &attempts{
		router:  r,
		request: &request,
		onPiece: onPiece,
		tried:   make(triedSet),
	}
	if err := run.toTheEnd(ctx); err != nil {
		return Result{}, truthful(err, run.begun(), request.Row.Repeatable)
	}
	return Result{
		Tokens:       run.assembler.Next(),
		Versions:     run.assembler.Versions(),
		FinishReason: run.assembler.FinishReason(),
		CachedTokens: run.assembler.CachedTokens(),
	}, nil
}

// begun reports whether an attempt of the request may have run.
func (a *attempts) begun() bool {
	return a.mayHaveRun || a.assembler.Next() > 0
}

func validate(request *Request) error {
	if request.ID == "" {
		return errkind.New(errkind.InvalidRequest, "request has no ID")
	}
	if request.MaxTokens <= 0 {
		return errkind.New(errkind.InvalidRequest, "max_tokens is %d, expected at least 1", request.MaxTokens)
	}
	return nil
}

// toTheEnd submits the request until the answer is whole or an error is final.
func (a *attempts) toTheEnd(ctx context.Context) error {
	search := a.newSearch(a.router.options.HandoverTimeout)
	for ctx.Err() == nil {
		row, revision := a.router.currentRow(a.request)
		chosen, found := a.router.choose(row, a.request, a.tried)
		if !found {
			if err := a.searchAgain(ctx, search); err != nil {
				return err
			}
			continue
		}
		a.number++
		a.assembler.StartAttempt(a.number)
		a.countSubmission(chosen)
		outcome, err := a.runAttempt(ctx, a.submit(row, revision, chosen), chosen)
		if outcome == verdictLost {
			search = a.newSearch(a.router.options.ContinueTimeout)
		}
		if final, err := a.judge(outcome, err, chosen); final {
			return err
		}
	}
	return a.ended(ctx)
}

// judge decides after an attempt whether the request is at its end.
func (a *attempts) judge(outcome verdict, err error, chosen choice) (final bool, _ error) {
	a.tried[chosen.target] = struct{}{}
	if a.mayHaveRun && isQueueTimeout(outcome, err) {
		// Giving up a request that has begun would waste its work; the search
		// for a cell that takes it has a bound of its own.
		outcome = verdictElsewhere
	}
	switch outcome {
	case verdictDone:
		return true, nil
	case verdictElsewhere, verdictHandover:
		a.router.refused(a.request.Row.Service, chosen.cell, err)
		a.refusals.add(err, outcome)
		err = a.spendRetry()
	case verdictLost:
		a.logLost(chosen, err)
		if a.assembler.CompleteAt(a.request.MaxTokens) {
			return true, nil
		}
		err = a.continueAfter(err)
	}
	return err != nil, err
}

func (a *attempts) countSubmission(chosen choice) {
	distance := a.router.locality.Distance(chosen.cell.Zone)
	a.router.metrics.submissions.WithLabelValues(distance.String()).Inc()
}

func (a *attempts) logLost(chosen choice, err error) {
	a.router.options.Logger.Warn().
		Err(err).
		Str("request_id", a.request.ID).
		Uint32("attempt", a.number).
		Str("dispatcher", chosen.node).
		Int("tokens", a.assembler.Next()).
		Bool("repeatable", a.request.Row.Repeatable).
		Msg("attempt lost")
}

// spendRetry takes a retry from the budget, or gives the refusal up at once. A
// request that has begun is not bounded by it: its work is already in the
// system, and giving it up would waste it.
func (a *attempts) spendRetry() error {
	if a.mayHaveRun {
		return nil
	}
	if !a.router.budget.allow(time.Now()) {
		a.router.metrics.retries.WithLabelValues(retryDenied).Inc()
		return a.refusals.final()
	}
	a.router.metrics.retries.WithLabelValues(retryElsewhere).Inc()
	return nil
}

// continueAfter decides whether a request that lost its dispatcher goes on.
func (a *attempts) continueAfter(err error) error {
	a.mayHaveRun = true
	if !a.request.Row.Repeatable {
		return notRepeated(err)
	}
	if a.continuations >= maxContinuations {
		return err
	}
	a.continuations++
	a.router.metrics.retries.WithLabelValues(retryContinue).Inc()
	return nil
}

// notRepeated keeps an answer that already tells the truth about a request
// that ran, and makes all else OutcomeUnknown.
func notRepeated(err error) error {
	known := asKind(err)
	if known.Kind == errkind.EngineFailed {
		return known
	}
	return errkind.New(errkind.OutcomeUnknown, "the request may have run and is not repeatable: %s", known.Message)
}

// search is the wait for a cell when all known ones were tried.
type search struct {
	deadline time.Time
	delays   interface{ NextBackOff() time.Duration }
}

func (a *attempts) newSearch(timeout time.Duration) *search {
	return &search{
		deadline: time.Now().Add(timeout),
		delays:   searchRetries.Delays(),
	}
}

// searchAgain waits a little and forgets the tried targets, where that may
// help: for a request that has begun, and for cells that change hands. All
// else gets its final answer at once.
func (a *attempts) searchAgain(ctx context.Context, current *search) error {
	hopeful := a.mayHaveRun || a.refusals.handover
	if !hopeful || time.Now().After(current.deadline) {
		return a.refusals.final()
	}
	if wait(ctx, current.delays.NextBackOff()) != nil {
		return a.ended(ctx)
	}
	clear(a.tried)
	return nil
}

// ended returns the error of a request whose context ended between attempts.
// When the deadline passed before any cell took it, it certainly did not run.
func (a *attempts) ended(ctx context.Context) error {
	if !a.mayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return a.refusals.final()
	}
	return &consumerError{err: context.Cause(ctx)}
}
