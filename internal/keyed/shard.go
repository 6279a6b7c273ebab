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

// shard is one idempotency stream and the flights of its keys at this node.
type shard struct {
	executor *Executor
	index    int

	mu      sync.Mutex
	stream  *logstream.TailedStream
	reducer *idempotency.Reducer
	// flights holds a key from its first caller until its outcome, or its
	// release, is in the log; so this node has one open intent for a key.
	flights map[string]*flight
	// idle fires closeIdle some time after the last flight; nil before the first.
	idle *time.Timer
}

func newShard(executor *Executor, index int) *shard {
	return &shard{executor: executor, index: index, flights: make(map[string]*flight)}
}

// streamName returns the name of a shard's stream.
func streamName(index int) string { return fmt.Sprintf("idempotency/%d", index) }

// join returns the key's flight; it starts one when there is none.
func (s *shard) join(request Request) (*flight, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := request.scopedKey()
	if current, ok := s.flights[key]; ok {
		return current, checkJoin(current, request)
	}
	if len(s.flights) >= maxFlights {
		return nil, errkind.New(errkind.QueueFull, "%d keyed requests wait in shard %d", len(s.flights), s.index)
	}
	started := newFlight(request.Fingerprint)
	if !s.executor.spawn(func() { s.lead(started, request) }) {
		return nil, errkind.New(errkind.ShuttingDown, "this node is stopping")
	}
	s.flights[key] = started
	return started, nil
}

// checkJoin refuses a caller whose request is not the flight's, or whose flight
// ended without a run and still has its intent to release.
func checkJoin(current *flight, request Request) error {
	if current.fingerprint != request.Fingerprint {
		return errkind.New(errkind.IdempotencyKeyReused, "the key came with another request before")
	}
	if current.failedUnrun() {
		return errkind.New(errkind.LogUnavailable, "an earlier intent for the key is still being released")
	}
	return nil
}

// open starts to tail the stream when it is not open. Only the leader of a key,
// or the late verdict on its intent, uses the stream: a leader calls open first,
// and its key stays in flights until it needs the stream no more.
func (s *shard) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream != nil {
		return
	}
	s.reducer = idempotency.NewReducer()
	s.stream = s.executor.options.Manager.Open(streamName(s.index), s.reducer, logstream.StreamOptions{
		SnapshotEvery:    s.executor.options.SnapshotEvery,
		SnapshotAtLatest: snapshotPatience * s.executor.options.SnapshotEvery,
		SnapshotFormat:   idempotency.SnapshotFormat,
	})
}

// close gives the stream up for good, when the executor ends. The field stays
// set, since a late verdict may still want to release its intent.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle != nil {
		s.idle.Stop()
	}
	if s.stream != nil {
		s.stream.Close()
	}
}

// end finishes a flight that leaves no open intent behind.
func (s *shard) end(flight *flight, key string, result router.Result, err error) {
	s.forget(key)
	flight.finish(result, err)
}

// forget drops the key's flight: the log alone answers for it from now on.
func (s *shard) forget(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, key)
	if len(s.flights) == 0 {
		s.awaitIdle()
	}
}

// lead takes the request from its intent to its recorded result.
func (s *shard) lead(flight *flight, request Request) {
	key := request.scopedKey()
	s.open()
	entry, known, err := s.lookupFresh(key)
	if err != nil {
		s.end(flight, key, router.Result{}, err)
		return
	}
	if known {
		result, err := s.answerFromLog(flight, request, entry)
		s.end(flight, key, result, err)
		return
	}
	submission, err := s.executor.rowInForce(request.Submission)
	if err != nil {
		s.end(flight, key, router.Result{}, err)
		return
	}
	request.Submission = submission
	s.proposeIntent(flight, request)
}

// lookupFresh returns the key's entry. It asks the log for the stream's end only
// when the tail was out of touch, or when the key's result may have come since.
// A missing entry decides nothing: the intent's verdict does.
func (s *shard) lookupFresh(key string) (idempotency.Entry, bool, error) {
	contact := s.executor.options.Manager.LastContact(s.stream.Name())
	entry, known := s.lookup(key)
	open := known && entry.ResultOffset == idempotency.NoResult
	if time.Since(contact) < freshFor && !open {
		return entry, known, nil
	}
	if err := s.catchUp(); err != nil {
		return idempotency.Entry{}, false, err
	}
	entry, known = s.lookup(key)
	return entry, known, nil
}

// catchUp reads to the end of the stream, or tells that the log is not there.
func (s *shard) catchUp() error {
	ctx, cancel := s.logContext()
	defer cancel()
	if err := s.stream.CatchUp(ctx); err != nil {
		return errkind.New(errkind.LogUnavailable, "idempotency stream not read: %v", err)
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

// proposeIntent appends the intent and runs the request when it was read back
// in time as the first for the key.
func (s *shard) proposeIntent(flight *flight, request Request) {
	key := request.scopedKey()
	intent, err := request.intent(time.Now())
	if err != nil {
		s.end(flight, key, router.Result{}, err)
		return
	}
	ctx, cancel := s.logContext()
	defer cancel()
	proposal := logstream.Proposal{Kind: idempotency.KindIntent, Body: intent}
	outcome, err := s.stream.ProposeWithLate(ctx, proposal, func(late logstream.Outcome) {
		s.settleLateIntent(key, late)
	})
	if errors.Is(err, logstream.ErrNotProposed) {
		s.end(flight, key, router.Result{}, errkind.New(errkind.LogUnavailable, "intent not proposed: %v", err))
		return
	}
	if err != nil {
		// The key stays taken at this node until settleLateIntent.
		flight.finish(router.Result{}, errkind.New(errkind.LogUnavailable, "intent not recorded in time: %v", err))
		return
	}
	if outcome.Verdict != logrecord.Accepted {
		result, err := s.answerLostIntent(flight, request)
		s.end(flight, key, result, err)
		return
	}
	s.run(flight, request, outcome.Offset)
}

// settleLateIntent releases an intent whose caller was told that the request
// was not run.
func (s *shard) settleLateIntent(key string, late logstream.Outcome) {
	if late.Verdict != logrecord.Accepted {
		s.forget(key)
		return
	}
	s.release(key, late.Offset)
}

// release takes the intent back on record. The key stays taken at this node
// until the release is read back, which may be long after.
func (s *shard) release(key string, intentOffset int64) {
	ctx, cancel := s.logContext()
	defer cancel()
	body := idempotency.Release{Key: key, IntentOffset: intentOffset, UnixMS: time.Now().UnixMilli()}
	proposal := logstream.Proposal{Kind: idempotency.KindRelease, Body: body}
	_, err := s.stream.ProposeWithLate(ctx, proposal, func(logstream.Outcome) { s.forget(key) })
	if err == nil || errors.Is(err, logstream.ErrNotProposed) {
		s.forget(key)
	}
	if err != nil {
		s.executor.options.Logger.Warn().Err(err).Int("shard", s.index).Msg("release of an intent is not recorded yet")
	}
}

// run submits the request, once: it is called only with the offset of this
// flight's own intent, which the log's order made the first for the key.
func (s *shard) run(flight *flight, request Request, intentOffset int64) {
	key := request.scopedKey()
	result, err := s.executor.options.Router.Run(
		s.executor.ctx,
		request.Submission.routerRequest(),
		func(piece router.Piece) error {
			flight.add(piece)
			return nil
		},
	)
	if err == nil {
		flight.finish(result, nil)
		s.record(flight, key, intentOffset, result)
		s.forget(key)
		return
	}
	known := errkind.From(err)
	notRun := known.Kind.Answer().Execution == errkind.NotExecuted
	if notRun && len(flight.answer()) == 0 {
		s.release(key, intentOffset)
		flight.finish(router.Result{}, known)
		return
	}
	if notRun {
		known = errkind.New(errkind.OutcomeUnknown, "the request failed after its first tokens: %s", known.Message)
	}
	// Without a result on record, every later caller is told OutcomeUnknown.
	s.end(flight, key, router.Result{}, known)
}

// record appends the result and waits until it is read back, however long the
// log is away, unless the node stops; until then this node answers the key from
// its flight.
func (s *shard) record(flight *flight, key string, intentOffset int64, result router.Result) {
	data, err := encodeOutcome(flight.answer(), result)
	if err != nil {
		s.executor.options.Logger.Error().Err(err).Msg("result not encoded")
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
