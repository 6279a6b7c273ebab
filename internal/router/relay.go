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
	// finishError and finishCanceled end a token stream that is not a whole answer.
	finishError    = "error"
	finishCanceled = "canceled"
)

// reattachRetries paces the tries to attach to an attempt again.
var reattachRetries = retry.Policy{First: 20 * time.Millisecond, Longest: 300 * time.Millisecond}

// runAttempt runs one attempt at its dispatcher to the end of the answer,
// through any number of broken streams.
func (a *attempts) runAttempt(ctx context.Context, submit message.Submit, chosen choice) (verdict, error) {
	before := a.assembler.Next()
	err := a.stream(ctx, submit, chosen.target)
	if err == nil {
		return verdictDone, nil
	}
	outcome := classify(err, false, a.assembler.Next() > before)
	if outcome != verdictReattach {
		return outcome, err
	}
	// From here on the dispatcher may have given the request to an engine.
	begun := a.mayHaveRun
	a.mayHaveRun = true
	outcome, err = a.reattach(ctx, submit, chosen.target, err)
	if outcome == verdictElsewhere || outcome == verdictHandover || isQueueTimeout(outcome, err) {
		a.mayHaveRun = begun
	}
	return outcome, err
}

// isQueueTimeout reports an attempt that waited in its queue to the end.
func isQueueTimeout(outcome verdict, err error) bool {
	return outcome == verdictFail && errkind.Is(err, errkind.QueueTimeout)
}

// reattach attaches to the same attempt again until the answer is whole, the
// dispatcher is known to have lost it, or ReattachTimeout passes without a
// token. Attaching never starts a request, so it is safe for all of them. Only
// a repeatable request goes by the view and leaves sooner: it has elsewhere to
// go, and the view may be wrong.
func (a *attempts) reattach(ctx context.Context, submit message.Submit, to target, err error) (verdict, error) {
	delays := reattachRetries.Delays()
	lastProgress := time.Now()
	start := len(submit.Generated)
	for time.Since(lastProgress) < a.router.options.ReattachTimeout {
		if a.request.Row.Repeatable && a.router.dispatcherGone(to) {
			return verdictLost, errDispatcherGone
		}
		if waitErr := wait(ctx, delays.NextBackOff()); waitErr != nil {
			return verdictFail, waitErr
		}
		a.router.metrics.retries.WithLabelValues(retryReattach).Inc()
		before := a.assembler.Next()
		err = a.stream(ctx, attach(submit, before), to)
		if err == nil {
			return verdictDone, nil
		}
		if outcome := classify(err, true, a.assembler.Next() > start); outcome != verdictReattach {
			return outcome, err
		}
		if a.assembler.Next() > before {
			lastProgress = time.Now()
			delays.Reset()
		}
	}
	return verdictLost, err
}

// stream opens one answer stream and relays it; nil means that the answer is
// whole. Closing it tells the dispatcher that nobody listens any more.
func (a *attempts) stream(ctx context.Context, submit message.Submit, to target) error {
	stream, err := a.router.options.Caller.OpenStream(ctx, to.address, peer.MethodSubmit, &submit)
	if err != nil {
		return contextFirst(ctx, err)
	}
	defer stream.Close()
	stopOnCancel := context.AfterFunc(ctx, stream.Close)
	defer stopOnCancel()
	watch := a.watch(stream, to)
	defer watch.stop()
	return contextFirst(ctx, a.relay(stream))
}

// contextFirst prefers the end of the request over the broken stream that
// follows from it.
func contextFirst(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return &consumerError{err: context.Cause(ctx)}
}

// relay hands the new tokens of a stream to the caller until the answer is whole.
func (a *attempts) relay(stream peer.Stream) error {
	for !a.assembler.Finished() {
		// Each message gets memory of its own: the caller may keep the tokens.
		var progress message.Progress
		if err := stream.Receive(&progress); err != nil {
			if errors.Is(err, io.EOF) {
				return errUnfinished
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

// accept takes one message and hands its new tokens to the caller.
func (a *attempts) accept(progress *message.Progress) error {
	cutShort := progress.Finished && isCutShort(progress.FinishReason)
	if cutShort {
		progress.Finished = false
	}
	run, err := a.assembler.Accept(progress)
	if err != nil {
		return err
	}
	if err := a.deliver(run); err != nil {
		return err
	}
	if cutShort {
		return errkind.New(errkind.EngineFailed, "the engine ended the answer with %q", progress.FinishReason)
	}
	return nil
}

func isCutShort(finishReason string) bool {
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

// wait returns early with a consumerError when ctx ends.
func wait(ctx context.Context, delay time.Duration) error {
	if !retry.Sleep(ctx, delay) {
		return &consumerError{err: context.Cause(ctx)}
	}
	return nil
}
