package keyed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/idempotency"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/router"
)

// shard is one idempotency stream and the executions of its keys on this node.
type shard struct {
	executor *Executor
	index    int

	mu      sync.Mutex
	stream  *logstream.TailedStream
	reducer *idempotency.Reducer
	// executions holds the execution of each key from its first caller until its result or release is in the log, so
	// that this node has at most one open intent per key.
	executions map[string]*execution
	// idleTimer calls closeIdle once the shard has been idle for Options.ShardIdle; nil before the first execution
	// ends.
	idleTimer *time.Timer
}

func newShard(executor *Executor, index int) *shard {
	return &shard{executor: executor, index: index, executions: make(map[string]*execution)}
}

// streamName returns the name of a shard's stream.
func streamName(index int) string { return fmt.Sprintf("idempotency/%d", index) }

// join returns the key's execution, and starts one if there is none.
func (s *shard) join(request Request) (*execution, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := request.scopedKey()
	if current, ok := s.executions[key]; ok {
		return current, checkSameRequest(current, request)
	}
	if len(s.executions) >= maxExecutionsPerShard {
		return nil, errkind.New(errkind.QueueFull, "%d keyed requests active in shard %d", len(s.executions), s.index)
	}
	started := newExecution(request.Fingerprint)
	if !s.executor.startTask(func() { s.process(started, request) }) {
		return nil, errkind.New(errkind.ShuttingDown, "this node is stopping")
	}
	s.executions[key] = started
	return started, nil
}

// checkSameRequest rejects a request that differs from the execution's, or that comes while the intent of a failed
// execution is being released.
func checkSameRequest(current *execution, request Request) error {
	if current.fingerprint != request.Fingerprint {
		return errkind.New(errkind.IdempotencyKeyReused, "the key was used for another request")
	}
	if current.failedWithoutRun() {
		return errkind.New(errkind.LogUnavailable, "an earlier intent for the key is still being released")
	}
	return nil
}

// open starts tailing the stream if it is not open. Only an execution, or the late verdict on its intent, uses the
// stream: its key stays in executions until it no longer needs the stream.
func (s *shard) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream != nil {
		return
	}
	s.reducer = idempotency.NewReducer()
	s.stream = s.executor.options.Manager.Open(streamName(s.index), s.reducer, logstream.StreamOptions{
		SnapshotEvery:       s.executor.options.SnapshotEvery,
		MaxSnapshotInterval: maxSnapshotIntervalFactor * s.executor.options.SnapshotEvery,
		SnapshotFormat:      idempotency.SnapshotFormat,
	})
}

// close closes the stream when the executor ends. The field stays set, since a late verdict may still release its
// intent.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	if s.stream != nil {
		s.stream.Close()
	}
}

// complete ends an execution that leaves no open intent.
func (s *shard) complete(execution *execution, key string, result router.Result, err error) {
	s.removeExecution(key)
	execution.finish(result, err)
}

// removeExecution removes the key's execution; later requests are answered from the log.
func (s *shard) removeExecution(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.executions, key)
	if len(s.executions) == 0 {
		s.startIdleTimer()
	}
}

// process handles the request from its intent to its recorded result.
func (s *shard) process(execution *execution, request Request) {
	key := request.scopedKey()
	s.open()
	entry, known, err := s.lookupFresh(key)
	if err != nil {
		s.complete(execution, key, router.Result{}, err)
		return
	}
	if known {
		result, err := s.answerFromLog(execution, request, entry)
		s.complete(execution, key, result, err)
		return
	}
	submission, err := s.executor.applyNewerTable(request.Submission)
	if err != nil {
		s.complete(execution, key, router.Result{}, err)
		return
	}
	request.Submission = submission
	s.proposeIntent(execution, request)
}

// lookupFresh returns the key's entry. It first reads to the end of the stream if the tail lost contact with the
// log, or if the key has an intent without a result. A missing entry is not conclusive; only the intent's verdict
// is.
func (s *shard) lookupFresh(key string) (idempotency.Entry, bool, error) {
	contact := s.executor.options.Manager.LastContact(s.stream.Name())
	entry, known := s.lookup(key)
	open := known && entry.ResultOffset == idempotency.NoResult
	if time.Since(contact) < maxTailAge && !open {
		return entry, known, nil
	}
	if err := s.catchUp(); err != nil {
		return idempotency.Entry{}, false, err
	}
	entry, known = s.lookup(key)
	return entry, known, nil
}

// catchUp reads to the end of the stream, or returns a LogUnavailable error.
func (s *shard) catchUp() error {
	ctx, cancel := s.logContext()
	defer cancel()
	if err := s.stream.CatchUp(ctx); err != nil {
		return errkind.New(errkind.LogUnavailable, "cannot read the idempotency stream: %v", err)
	}
	return nil
}

func (s *shard) logContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.executor.ctx, s.executor.options.LogTimeout)
}

func (s *shard) lookup(key string) (entry idempotency.Entry, known bool) {
	s.stream.View(func() { entry, known = s.reducer.Lookup(key) })
	return entry, known
}

// proposeIntent appends the intent, and runs the request if the intent is read back in time as the first for the
// key.
func (s *shard) proposeIntent(execution *execution, request Request) {
	key := request.scopedKey()
	intent, err := request.intent(time.Now())
	if err != nil {
		s.complete(execution, key, router.Result{}, err)
		return
	}
	ctx, cancel := s.logContext()
	defer cancel()
	proposal := logstream.Proposal{Kind: idempotency.KindIntent, Body: intent}
	outcome, err := s.stream.ProposeWithCallback(ctx, proposal, func(late logstream.Outcome) {
		s.releaseLateIntent(key, late)
	})
	if errors.Is(err, logstream.ErrNotProposed) {
		s.complete(execution, key, router.Result{}, errkind.New(errkind.LogUnavailable, "intent not proposed: %v", err))
		return
	}
	if err != nil {
		// The key stays in executions until releaseLateIntent.
		execution.finish(router.Result{}, errkind.New(errkind.LogUnavailable, "intent not recorded in time: %v", err))
		return
	}
	if outcome.Verdict != logrecord.Accepted {
		result, err := s.answerRejectedIntent(execution, request)
		s.complete(execution, key, result, err)
		return
	}
	s.run(execution, request, outcome.Offset)
}

// releaseLateIntent releases an intent whose caller already received the error that the request did not run.
func (s *shard) releaseLateIntent(key string, late logstream.Outcome) {
	if late.Verdict != logrecord.Accepted {
		s.removeExecution(key)
		return
	}
	s.release(key, late.Offset)
}

// release appends a release of the intent, after which the key can be used again: its request did not run. The key
// stays in executions until the release is read back, which may take long.
func (s *shard) release(key string, intentOffset int64) {
	ctx, cancel := s.logContext()
	defer cancel()
	body := idempotency.Release{Key: key, IntentOffset: intentOffset, UnixMS: time.Now().UnixMilli()}
	proposal := logstream.Proposal{Kind: idempotency.KindRelease, Body: body}
	_, err := s.stream.ProposeWithCallback(ctx, proposal, func(logstream.Outcome) { s.removeExecution(key) })
	if err == nil || errors.Is(err, logstream.ErrNotProposed) {
		s.removeExecution(key)
	}
	if err != nil {
		s.executor.options.Logger.Warn().Err(err).Int("shard", s.index).Msg("intent release not recorded yet")
	}
}

// run submits the request once. It must be called only with the offset of this execution's own intent, after the
// log accepted it as the first for the key.
func (s *shard) run(execution *execution, request Request, intentOffset int64) {
	key := request.scopedKey()
	result, err := s.executor.options.Router.Run(
		s.executor.ctx,
		request.Submission.routerRequest(),
		func(piece router.Piece) error {
			execution.add(piece)
			return nil
		},
	)
	if err == nil {
		execution.finish(result, nil)
		s.record(execution, key, intentOffset, result)
		s.removeExecution(key)
		return
	}
	known := errkind.From(err)
	notRun := known.Kind.Response().Execution == errkind.NotExecuted
	if notRun && len(execution.receivedPieces()) == 0 {
		s.release(key, intentOffset)
		execution.finish(router.Result{}, known)
		return
	}
	if notRun {
		known = errkind.New(errkind.OutcomeUnknown, "the request failed after its first tokens: %s", known.Message)
	}
	// Without a recorded result, later requests with the key get OutcomeUnknown.
	s.complete(execution, key, router.Result{}, known)
}

// record appends the result and waits until it is read back, however long the log is unavailable, unless the node
// stops. Until then this node answers the key from its execution.
func (s *shard) record(execution *execution, key string, intentOffset int64, result router.Result) {
	data, err := encodeOutcome(execution.receivedPieces(), result)
	if err != nil {
		s.executor.options.Logger.Error().Err(err).Msg("cannot encode the result")
		return
	}
	body := idempotency.Result{
		Key:          key,
		IntentOffset: intentOffset,
		Outcome:      data,
		UnixMS:       time.Now().UnixMilli(),
	}
	proposal := logstream.Proposal{Kind: idempotency.KindResult, Body: body}
	ctx, cancel := s.executor.recordContext()
	defer cancel()
	if _, err := s.stream.Propose(ctx, proposal); err != nil {
		s.executor.options.Logger.Warn().Err(err).Int("shard", s.index).Msg("result not recorded")
	}
}
