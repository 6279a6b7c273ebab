package router

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/answer"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// maxContinuations bounds how often a request continues at another cell, so that a request that
// crashes engines cannot circulate forever.
const maxContinuations = 8

// cellWaitBackoff paces the wait for a cell that accepts the request.
var cellWaitBackoff = retry.Policy{First: 25 * time.Millisecond, Longest: 500 * time.Millisecond}

// attempts runs one request as a sequence of attempts. It is confined to one goroutine.
type attempts struct {
	router    *CellRouter
	request   *Request
	onPiece   func(Piece) error
	assembler answer.Assembler
	// tokens is the answer so far, kept only for repeatable requests.
	tokens []string
	// number is the number of the current attempt, starting at 1.
	number        uint32
	continuations int
	tried         triedSet
	refusals      refusals
	// mayHaveRun is set once an attempt was submitted and not refused as not executed.
	mayHaveRun bool
}

// Run implements Router.
func (r *CellRouter) Run(ctx context.Context, request Request, onPiece func(Piece) error) (Result, error) {
	if err := validate(&request); err != nil {
		return Result{}, err
	}
	r.budget.countRequest()
	run := &attempts{
		router:  r,
		request: &request,
		onPiece: onPiece,
		tried:   make(triedSet),
	}
	if err := run.runToCompletion(ctx); err != nil {
		return Result{}, callerError(err, run.mayHaveStarted(), request.Row.Repeatable)
	}
	return Result{
		Tokens:       run.assembler.Next(),
		Versions:     run.assembler.Versions(),
		FinishReason: run.assembler.FinishReason(),
		CachedTokens: run.assembler.CachedTokens(),
	}, nil
}

// mayHaveStarted reports whether any attempt may have run.
func (a *attempts) mayHaveStarted() bool {
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

// runToCompletion submits the request until the answer is complete or an error is final.
func (a *attempts) runToCompletion(ctx context.Context) error {
	waiting := a.newCellWait(a.router.options.HandoverTimeout)
	for ctx.Err() == nil {
		row, revision := a.router.currentRow(a.request)
		chosen, found := a.router.choose(row, a.request, a.tried)
		if !found {
			if err := a.waitForCell(ctx, waiting); err != nil {
				return err
			}
			continue
		}
		a.number++
		a.assembler.StartAttempt(a.number)
		a.countSubmission(chosen)
		outcome, err := a.runAttempt(ctx, a.submit(row, revision, chosen), chosen)
		if outcome == outcomeLost {
			waiting = a.newCellWait(a.router.options.ContinueTimeout)
		}
		if final, err := a.handleOutcome(outcome, err, chosen); final {
			return err
		}
	}
	return a.contextError(ctx)
}

// handleOutcome updates the request after an attempt and reports whether the request has ended.
func (a *attempts) handleOutcome(outcome attemptOutcome, err error, chosen choice) (final bool, _ error) {
	a.tried[chosen.target] = struct{}{}
	if a.mayHaveRun && isQueueTimeout(outcome, err) {
		// Failing a request that has started would waste its work; waitForCell bounds the search for
		// another cell.
		outcome = outcomeRetryElsewhere
	}
	switch outcome {
	case outcomeDone:
		return true, nil
	case outcomeRetryElsewhere, outcomeHandover:
		a.router.recordRefusal(a.request.Row.Service, chosen.cell, err)
		a.refusals.add(err, outcome)
		err = a.spendRetry()
	case outcomeLost:
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

// spendRetry takes a retry from the budget, or returns the last refusal if none is left. Requests that
// may have started are exempt: failing them would waste work already done.
func (a *attempts) spendRetry() error {
	if a.mayHaveRun {
		return nil
	}
	if !a.router.budget.allow(time.Now()) {
		a.router.metrics.retries.WithLabelValues(retryDenied).Inc()
		return a.refusals.finalError()
	}
	a.router.metrics.retries.WithLabelValues(retryElsewhere).Inc()
	return nil
}

// continueAfter decides whether a request continues after it lost its dispatcher.
func (a *attempts) continueAfter(err error) error {
	a.mayHaveRun = true
	if !a.request.Row.Repeatable {
		return nonRepeatableError(err)
	}
	if a.continuations >= maxContinuations {
		return err
	}
	a.continuations++
	a.router.metrics.retries.WithLabelValues(retryContinue).Inc()
	return nil
}

// nonRepeatableError returns the error of a non-repeatable request that may have run: EngineFailed is
// kept, all other errors become OutcomeUnknown.
func nonRepeatableError(err error) error {
	kindErr := toKindError(err)
	if kindErr.Kind == errkind.EngineFailed {
		return kindErr
	}
	return errkind.New(errkind.OutcomeUnknown, "the request may have run and is not repeatable: %s", kindErr.Message)
}

// cellWait is the bounded wait for a cell after all known ones were tried.
type cellWait struct {
	deadline time.Time
	delays   interface{ NextBackOff() time.Duration }
}

func (a *attempts) newCellWait(timeout time.Duration) *cellWait {
	return &cellWait{
		deadline: time.Now().Add(timeout),
		delays:   cellWaitBackoff.Delays(),
	}
}

// waitForCell backs off and clears the tried targets if the request may have started or a refusing
// cell is changing owners. Otherwise, or past the deadline, it returns the final error.
func (a *attempts) waitForCell(ctx context.Context, waiting *cellWait) error {
	retryable := a.mayHaveRun || a.refusals.handover
	if !retryable || time.Now().After(waiting.deadline) {
		return a.refusals.finalError()
	}
	if wait(ctx, waiting.delays.NextBackOff()) != nil {
		return a.contextError(ctx)
	}
	clear(a.tried)
	return nil
}

// contextError returns the error of a request whose context ended between attempts. If the deadline
// passed before any cell accepted the request, the request did not run.
func (a *attempts) contextError(ctx context.Context) error {
	if !a.mayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return a.refusals.finalError()
	}
	return &consumerError{err: context.Cause(ctx)}
}
