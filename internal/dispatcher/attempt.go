package dispatcher

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

// outcome is the result of one attempt at an engine.
type outcome uint8

const (
	// outcomeFinished: the answer is complete.
	outcomeFinished outcome = iota
	// outcomeNotRun: the request certainly did not run on this engine.
	outcomeNotRun
	// outcomeLost: the request may have run, and its stream cannot be resumed.
	outcomeLost
	// outcomeCanceled: the task's context ended.
	outcomeCanceled
)

var outcomeNames = [...]string{"finished", "not_run", "lost", "canceled"}

// String returns the metric label of the outcome.
func (o outcome) String() string { return outcomeNames[o] }

// attemptResult describes how an attempt ended.
type attemptResult struct {
	outcome outcome
	// reason is the engine's finish reason, set with outcomeFinished.
	reason string
	// refusal is set if the engine refused the request, with outcomeNotRun.
	refusal *engine.Refusal
	// suspectEngine is set if the engine itself may be unreachable, with outcomeLost.
	suspectEngine bool
	cause         error
}

// errTokenGap reports a stream that skipped token indexes.
var errTokenGap = errors.New("engine stream skipped tokens")

// errEngineUnreachable is the cancel cause of attempts on an engine that stays unreachable.
var errEngineUnreachable = errors.New("engine is unreachable")

// attempt is one send of a task to an engine, including its resumes.
type attempt struct {
	task      *task
	placement placement
	// ctx ends with the task, or with errEngineUnreachable as the cause.
	ctx context.Context
	// number is the attempt number sent to the engine.
	number uint32
	// firstToken is the length of the answer when the attempt began.
	firstToken int
	// version is the weight version of the latest tokens.
	version        uint64
	reportedTokens int
	// lastChunkAt is the time of the last chunk, or of the attempt's creation, in Unix nanoseconds.
	lastChunkAt atomic.Int64
}

// newAttempt returns the next numbered attempt of the task.
func (t *task) newAttempt(placed placement) *attempt {
	t.sendCount++
	a := &attempt{
		task:           t,
		placement:      placed,
		number:         (t.submit.Attempt-1)*engineAttemptStride + t.sendCount,
		firstToken:     len(t.tokens),
		version:        placed.assignment.Version,
		reportedTokens: len(t.tokens),
	}
	a.lastChunkAt.Store(time.Now().UnixNano())
	return a
}

// timeSinceChunk returns the time since the last chunk.
func (a *attempt) timeSinceChunk(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, a.lastChunkAt.Load()))
}

// run sends the request and relays its stream to the end.
func (a *attempt) run() attemptResult {
	if err := a.task.ctx.Err(); err != nil {
		return attemptResult{outcome: outcomeCanceled, cause: err}
	}
	ctx, end := a.task.cell.registerAttempt(a)
	defer end()
	a.ctx = ctx
	stream, err := a.client().Generate(a.ctx, a.placement.address, a.request())
	var failure *engine.SendError
	refused := errors.As(err, &failure)
	if refused && failure.NotExecuted() {
		return a.notRun(failure)
	}
	a.task.mayHaveRun = true
	if refused && failure.Refusal != nil {
		return attemptResult{outcome: outcomeLost, cause: err}
	}
	return a.followStream(stream, err)
}

func (a *attempt) notRun(failure *engine.SendError) attemptResult {
	if a.task.ctx.Err() != nil {
		return attemptResult{outcome: outcomeCanceled, cause: failure}
	}
	return attemptResult{outcome: outcomeNotRun, refusal: failure.Refusal, cause: failure}
}

// followStream relays the stream and resumes a broken one at the next token on the same engine. A nil
// stream with an error counts as broken.
func (a *attempt) followStream(stream engine.Stream, err error) attemptResult {
	idleResumes := 0
	for {
		if err == nil {
			before := len(a.task.tokens)
			var result attemptResult
			result, err = a.relay(stream)
			if err == nil {
				return result
			}
			if len(a.task.tokens) > before {
				idleResumes = 0
			}
		}
		idleResumes++
		if a.ctx.Err() != nil || idleResumes > maximumIdleResumes {
			return a.lostResult(err)
		}
		broken := err
		if stream, err = a.resume(); err != nil {
			return a.lostResult(errors.Wrap(err, "resume after: "+broken.Error()))
		}
	}
}

// lostResult returns the result of a stream that cannot be resumed.
func (a *attempt) lostResult(cause error) attemptResult {
	if a.task.ctx.Err() != nil {
		return attemptResult{outcome: outcomeCanceled, cause: cause}
	}
	return attemptResult{outcome: outcomeLost, suspectEngine: true, cause: cause}
}

// relay processes chunks up to the finished one. It returns an error if the stream breaks.
func (a *attempt) relay(stream engine.Stream) (attemptResult, error) {
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Receive()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return attemptResult{}, err
		}
		a.lastChunkAt.Store(time.Now().UnixNano())
		if chunk.RequestID != a.task.submit.RequestID || chunk.Attempt != a.number {
			// Ignore chunks of other attempts.
			continue
		}
		if err := a.appendChunk(&chunk); err != nil {
			return attemptResult{}, err
		}
		if chunk.Finished {
			return a.finished(&chunk), nil
		}
	}
}

// finished converts the last chunk into a result.
func (a *attempt) finished(chunk *engine.Chunk) attemptResult {
	switch chunk.FinishReason {
	case engine.FinishError, engine.FinishCanceled:
		if a.task.ctx.Err() != nil {
			return attemptResult{outcome: outcomeCanceled}
		}
		cause := errors.Errorf("engine ended the stream: %s", chunk.FinishReason)
		return attemptResult{outcome: outcomeLost, cause: cause}
	default:
		return attemptResult{outcome: outcomeFinished, reason: chunk.FinishReason}
	}
}

// appendChunk appends the new tokens of a chunk to the answer, each index once.
func (a *attempt) appendChunk(chunk *engine.Chunk) error {
	next := len(a.task.tokens)
	if chunk.FirstToken > next {
		return errTokenGap
	}
	received := min(next-chunk.FirstToken, len(chunk.Tokens))
	newTokens := chunk.Tokens[received:]
	if len(newTokens) == 0 {
		return nil
	}
	piece := message.Progress{
		Attempt:       a.task.submit.Attempt,
		EngineAttempt: a.task.sendCount,
		Engine:        a.placement.assignment.EngineID,
		FirstToken:    next,
		Tokens:        newTokens,
		Version:       chunk.Version,
		CachedTokens:  chunk.CachedTokens,
	}
	if err := a.task.buffer.append(a.ctx, piece); err != nil {
		return err
	}
	a.task.tokens = append(a.task.tokens, newTokens...)
	a.version = chunk.Version
	if chunk.CachedTokens > 0 {
		a.task.cell.dispatcher.metrics.cachedTokens.Add(float64(chunk.CachedTokens))
	}
	a.reportProgress()
	return nil
}

// reportProgress updates the scheduler after every progressReportTokens new tokens.
func (a *attempt) reportProgress() {
	if len(a.task.tokens)-a.reportedTokens < progressReportTokens {
		return
	}
	a.reportedTokens = len(a.task.tokens)
	a.task.cell.updateProgress(a.task, a.reportedTokens-a.firstToken)
}

// resume reopens the stream at the next token within resumeTimeout. It never restarts the request.
func (a *attempt) resume() (engine.Stream, error) {
	a.task.cell.dispatcher.metrics.resumes.Inc()
	request := a.request()
	from := len(a.task.tokens)
	request.ResumeFrom = &from
	open := func() (engine.Stream, error) {
		// The timer limits the opening only; an open stream ends with a.ctx.
		ctx, cancel := context.WithCancel(a.ctx)
		timer := time.AfterFunc(resumeTimeout, cancel)
		defer timer.Stop()
		stream, err := a.client().Generate(ctx, a.placement.address, request)
		if isUnknownStream(err) {
			return nil, backoff.Permanent(err)
		}
		return stream, err
	}
	return backoff.Retry(a.ctx, open,
		backoff.WithBackOff(resumeBackoff.Delays()), backoff.WithMaxElapsedTime(resumeTimeout))
}

func isUnknownStream(err error) bool {
	var failure *engine.SendError
	return errors.As(err, &failure) && failure.Refusal != nil && failure.Refusal.Code == engine.CodeUnknownStream
}

// request returns the engine request of this attempt.
func (a *attempt) request() engine.GenerateRequest {
	submit := &a.task.submit
	return engine.GenerateRequest{
		RequestID:   submit.RequestID,
		Attempt:     a.number,
		Service:     submit.Service,
		Model:       submit.Model,
		MinVersion:  submit.MinVersion,
		Prompt:      submit.Prompt,
		Generated:   a.task.tokens[:a.firstToken],
		MaxTokens:   submit.MaxTokens,
		Seed:        submit.Seed,
		Temperature: submit.Temperature,
		Priority:    submit.Priority,
	}
}

// cancelAtEngine asks the engine, best effort, to cancel the attempt.
func (a *attempt) cancelAtEngine() {
	dispatcher := a.task.cell.dispatcher
	ctx, cancel := context.WithTimeout(context.WithoutCancel(dispatcher.baseContext), cancelTimeout)
	defer cancel()
	request := engine.CancelRequest{RequestID: a.task.submit.RequestID, Attempt: a.number}
	if err := a.client().Cancel(ctx, a.placement.address, request); err != nil {
		dispatcher.options.Logger.Debug().Err(err).Str("request", a.task.id).
			Str("engine", a.placement.assignment.EngineID).Msg("engine did not confirm the cancellation")
	}
}

func (a *attempt) client() engine.Client { return a.task.cell.dispatcher.options.EngineClient }
