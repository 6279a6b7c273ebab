package router

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/answer"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	// Finish reasons that mark an incomplete answer.
	finishError    = "error"
	finishCanceled = "canceled"
)

// reattachBackoff paces reattaching to an attempt.
var reattachBackoff = retry.Policy{First: 20 * time.Millisecond, Longest: 300 * time.Millisecond}

// runAttempt runs one attempt at its dispatcher, reattaching after broken streams.
func (a *attempts) runAttempt(ctx context.Context, submit message.Submit, chosen choice) (attemptOutcome, error) {
	before := a.assembler.Next()
	err := a.stream(ctx, submit, chosen.target)
	if err == nil {
		return outcomeDone, nil
	}
	outcome := classify(err, false, a.assembler.Next() > before)
	if outcome != outcomeReattach {
		return outcome, err
	}
	// From here on the dispatcher may have passed the request to an engine.
	started := a.mayHaveRun
	a.mayHaveRun = true
	outcome, err = a.reattach(ctx, submit, chosen.target, err)
	if outcome == outcomeRetryElsewhere || outcome == outcomeHandover || isQueueTimeout(outcome, err) {
		a.mayHaveRun = started
	}
	return outcome, err
}

// isQueueTimeout reports whether the attempt timed out in the dispatcher's queue.
func isQueueTimeout(outcome attemptOutcome, err error) bool {
	return outcome == outcomeFailed && errkind.Is(err, errkind.QueueTimeout)
}

// reattach attaches to the attempt until the answer is complete, the dispatcher no longer has it, or
// no token arrives for ReattachTimeout. Attaching never starts a request, so it is safe for all
// requests. Only repeatable requests stop early when the dispatcher is no longer a member: they can
// continue at another cell, and the membership view may be wrong.
func (a *attempts) reattach(ctx context.Context, submit message.Submit, to target, err error) (attemptOutcome, error) {
	delays := reattachBackoff.Delays()
	lastProgress := time.Now()
	start := len(submit.Generated)
	for time.Since(lastProgress) < a.router.options.ReattachTimeout {
		if a.request.Row.Repeatable && a.router.dispatcherLeft(to) {
			return outcomeLost, errDispatcherNotMember
		}
		if waitErr := wait(ctx, delays.NextBackOff()); waitErr != nil {
			return outcomeFailed, waitErr
		}
		a.router.metrics.retries.WithLabelValues(retryReattach).Inc()
		before := a.assembler.Next()
		err = a.stream(ctx, attach(submit, before), to)
		if err == nil {
			return outcomeDone, nil
		}
		if outcome := classify(err, true, a.assembler.Next() > start); outcome != outcomeReattach {
			return outcome, err
		}
		if a.assembler.Next() > before {
			lastProgress = time.Now()
			delays.Reset()
		}
	}
	return outcomeLost, err
}

// stream opens an answer stream and relays it; nil means that the answer is complete. Closing the
// stream notifies the dispatcher that the caller no longer reads it.
func (a *attempts) stream(ctx context.Context, submit message.Submit, to target) error {
	stream, err := a.router.options.Caller.OpenStream(ctx, to.address, peer.MethodSubmit, &submit)
	if err != nil {
		return preferContextError(ctx, err)
	}
	defer stream.Close()
	stopAfterFunc := context.AfterFunc(ctx, stream.Close)
	defer stopAfterFunc()
	watch := a.watch(stream, to)
	defer watch.stop()
	return preferContextError(ctx, a.relay(stream))
}

// preferContextError returns the context's error instead of the stream error that it caused.
func preferContextError(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return &consumerError{err: context.Cause(ctx)}
}

// relay passes the new tokens of a stream to the caller until the answer is complete.
func (a *attempts) relay(stream peer.Stream) error {
	for !a.assembler.Finished() {
		// Each message is newly allocated because the caller may retain its tokens.
		var progress message.Progress
		if err := stream.Receive(&progress); err != nil {
			if errors.Is(err, io.EOF) {
				return errIncompleteAnswer
			}
			return err
		}
		if progress.Load != nil {
			a.router.options.Announcer.ObserveCell(*progress.Load)
		}
		if err := a.accept(&progress); err != nil {
			return err
		}
	}
	return nil
}

// accept processes one message and passes its new tokens to the caller.
func (a *attempts) accept(progress *message.Progress) error {
	truncated := progress.Finished && isTruncated(progress.FinishReason)
	if truncated {
		progress.Finished = false
	}
	run, err := a.assembler.Accept(progress)
	if err != nil {
		return err
	}
	if err := a.deliver(run); err != nil {
		return err
	}
	if truncated {
		return errkind.New(errkind.EngineFailed, "the engine ended the answer with %q", progress.FinishReason)
	}
	return nil
}

func isTruncated(finishReason string) bool {
	return finishReason == finishError || finishReason == finishCanceled
}

func (a *attempts) deliver(run answer.Run) error {
	if len(run.Tokens) == 0 {
		return nil
	}
	if a.request.Row.Repeatable {
		a.tokens = append(a.tokens, run.Tokens...)
	}
	piece := Piece{FirstToken: run.FirstToken, Tokens: run.Tokens, Version: run.Version}
	if err := a.onPiece(piece); err != nil {
		return &consumerError{err: err}
	}
	return nil
}

// wait sleeps for delay, or returns a consumerError when ctx ends first.
func wait(ctx context.Context, delay time.Duration) error {
	if !retry.Sleep(ctx, delay) {
		return &consumerError{err: context.Cause(ctx)}
	}
	return nil
}
