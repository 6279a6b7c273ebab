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

// outcome tells how one send to an engine ended.
type outcome uint8

const (
	// outcomeFinished: the answer is whole.
	outcomeFinished outcome = iota
	// outcomeNotRun: the request certainly did not run on this engine.
	outcomeNotRun
	// outcomeLost: it may have run, and its stream can't be resumed.
	outcomeLost
	// outcomeCanceled: the task's context ended.
	outcomeCanceled
)

var outcomeNames = [...]string{"finished", "not_run", "lost", "canceled"}

// String returns the metric label of the outcome.
func (o outcome) String() string { return outcomeNames[o] }

// attemptResult is the end of one send.
type attemptResult struct {
	outcome outcome
	// reason is the engine's finish reason, with outcomeFinished.
	reason string
	// refusal is set when the engine refused, with outcomeNotRun.
	refusal *engine.Refusal
	// suspect: the engine itself seems gone, with outcomeLost.
	suspect bool
	cause   error
}

// errGap reports a stream that skipped token indexes.
var errGap = errors.New("engine stream skipped tokens")

// errEngineGone ends the attempts on an engine that stays unreachable.
var errEngineGone = errors.New("engine is unreachable")

// attempt is one send of a task to an engine, resumes included.
type attempt struct {
	task   *task
	placed placement
	// ctx ends with the task, or with errEngineGone when the engine has been
	// unreachable for too long.
	ctx context.Context
	// number is the attempt number that the engine knows.
	number uint32
	// firstToken is the answer's length when the attempt began.
	firstToken int
	// version is the weight version of the last tokens.
	version  uint64
	reported int
	// heardAt is when the engine last sent a chunk, or was first asked, in
	// Unix nanoseconds.
	heardAt atomic.Int64
}

// newAttempt numbers the next send of the task.
func (t *task) newAttempt(placed placement) *attempt {
	t.sends++
	created := &attempt{
		task:       t,
		placed:     placed,
		number:     (t.submit.Attempt-1)*engineAttemptStride + t.sends,
		firstToken: len(t.tokens),
		version:    placed.assignment.Version,
		reported:   len(t.tokens),
	}
	created.heardAt.Store(time.Now().UnixNano())
	return created
}

// silence returns how long the engine has sent no chunk.
func (a *attempt) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, a.heardAt.Load()))
}

// run sends the request and follows its stream to the end.
func (a *attempt) run() attemptResult {
	if err := a.task.ctx.Err(); err != nil {
		return attemptResult{outcome: outcomeCanceled, cause: err}
	}
	ctx, end := a.task.cell.beginAttempt(a)
	defer end()
	a.ctx = ctx
	stream, err := a.client().Generate(a.ctx, a.placed.address, a.request())
	var failure *engine.SendError
	refused := errors.As(err, &failure)
	if refused && failure.NotExecuted() {
		return a.notRun(failure)
	}
	a.task.mayHaveRun = true
	if refused && failure.Refusal != nil {
		return attemptResult{outcome: outcomeLost, cause: err}
	}
	return a.follow(stream, err)
}

func (a *attempt) notRun(failure *engine.SendError) attemptResult {
	if a.task.ctx.Err() != nil {
		return attemptResult{outcome: outcomeCanceled, cause: failure}
	}
	return attemptResult{outcome: outcomeNotRun, refusal: failure.Refusal, cause: failure}
}

// follow relays the stream; broken ones are resumed at the next token on the
// same engine. A nil stream with an error counts as broken.
func (a *attempt) follow(stream engine.Stream, err error) attemptResult {
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
			return a.lost(err)
		}
		broken := err
		if stream, err = a.resume(); err != nil {
			return a.lost(errors.Wrap(err, "resume after: "+broken.Error()))
		}
	}
}

// lost is the result of a stream that can't be resumed.
func (a *attempt) lost(cause error) attemptResult {
	if a.task.ctx.Err() != nil {
		return attemptResult{outcome: outcomeCanceled, cause: cause}
	}
	return attemptResult{outcome: outcomeLost, suspect: true, cause: cause}
}

// relay passes chunks on until the finished one. An error means that the
// stream broke.
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
		a.heardAt.Store(time.Now().UnixNano())
		if chunk.RequestID != a.task.submit.RequestID || chunk.Attempt != a.number {
			// A chunk of an older attempt may not enter the answer.
			continue
		}
		if err := a.accept(&chunk); err != nil {
			return attemptResult{}, err
		}
		if chunk.Finished {
			return a.finished(&chunk), nil
		}
	}
}

// finished turns the last chunk into a result.
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

// accept appends the tokens of a chunk that are new, each index once.
func (a *attempt) accept(chunk *engine.Chunk) error {
	next := len(a.task.tokens)
	if chunk.FirstToken > next {
		return errGap
	}
	known := min(next-chunk.FirstToken, len(chunk.Tokens))
	fresh := chunk.Tokens[known:]
	if len(fresh) == 0 {
		return nil
	}
	piece := message.Progress{
		Attempt:       a.task.submit.Attempt,
		EngineAttempt: a.task.sends,
		Engine:        a.placed.assignment.EngineID,
		FirstToken:    next,
		Tokens:        fresh,
		Version:       chunk.Version,
		CachedTokens:  chunk.CachedTokens,
	}
	if err := a.task.buffer.append(a.ctx, piece); err != nil {
		return err
	}
	a.task.tokens = append(a.task.tokens, fresh...)
	a.version = chunk.Version
	if chunk.CachedTokens > 0 {
		a.task.cell.dispatcher.metrics.cachedTokens.Add(float64(chunk.CachedTokens))
	}
	a.reportProgress()
	return nil
}

// reportProgress tells the scheduler now and then how far the answer is.
func (a *attempt) reportProgress() {
	if len(a.task.tokens)-a.reported < progressReportTokens {
		return
	}
	a.reported = len(a.task.tokens)
	a.task.cell.progressed(a.task, a.reported-a.firstToken)
}

// resume opens the stream again at the next token, for a bounded time. It never
// starts the request anew.
func (a *attempt) resume() (engine.Stream, error) {
	a.task.cell.dispatcher.metrics.resumes.Inc()
	request := a.request()
	from := len(a.task.tokens)
	request.ResumeFrom = &from
	open := func() (engine.Stream, error) {
		// The timer bounds the opening only; an open stream ends with a.ctx.
		ctx, cancel := context.WithCancel(a.ctx)
		timer := time.AfterFunc(resumePatience, cancel)
		defer timer.Stop()
		stream, err := a.client().Generate(ctx, a.placed.address, request)
		if isUnknownStream(err) {
			return nil, backoff.Permanent(err)
		}
		return stream, err
	}
	return backoff.Retry(a.ctx, open,
		backoff.WithBackOff(resumeRetries.Delays()), backoff.WithMaxElapsedTime(resumePatience))
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

// cancelAtEngine tells the engine, best effort, that the attempt is not wanted.
func (a *attempt) cancelAtEngine() {
	dispatcher := a.task.cell.dispatcher
	ctx, cancel := context.WithTimeout(context.WithoutCancel(dispatcher.base), cancelTimeout)
	defer cancel()
	request := engine.CancelRequest{RequestID: a.task.submit.RequestID, Attempt: a.number}
	if err := a.client().Cancel(ctx, a.placed.address, request); err != nil {
		dispatcher.options.Logger.Debug().Err(err).Str("request", a.task.id).
			Str("engine", a.placed.assignment.EngineID).Msg("engine did not confirm a cancel")
	}
}

func (a *attempt) client() engine.Client { return a.task.cell.dispatcher.options.EngineClient }
