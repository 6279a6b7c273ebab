package keyed

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/idempotency"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/router"
)

// answerRejectedIntent answers a request whose intent was not the first for its key.
func (s *shard) answerRejectedIntent(execution *execution, request Request) (router.Result, error) {
	entry, known := s.lookup(request.scopedKey())
	if !known {
		// The shard is full, or the first intent was released meanwhile: the request did not run.
		return router.Result{}, errkind.New(errkind.QueueFull, "the intent was rejected by shard %d", s.index)
	}
	return s.answerFromLog(execution, request, entry)
}

// answerFromLog answers a request from the stream's entry for its key.
func (s *shard) answerFromLog(
	execution *execution, request Request, entry idempotency.Entry,
) (router.Result, error) {
	if entry.Fingerprint != request.Fingerprint {
		return router.Result{}, errkind.New(errkind.IdempotencyKeyReused, "the key was used for another request")
	}
	if entry.ResultOffset == idempotency.NoResult {
		return router.Result{}, errkind.New(errkind.OutcomeUnknown, "another run of the request has no recorded result")
	}
	recorded, err := s.readOutcome(entry.ResultOffset)
	if err != nil {
		// The request did run, so the error must not say that it was not executed.
		return router.Result{}, errkind.New(errkind.OutcomeUnknown, "the recorded result cannot be read: %v", err)
	}
	if recorded.Dropped {
		return router.Result{}, errkind.New(errkind.OutcomeUnknown, "the request ran; its answer was too large to keep")
	}
	for _, piece := range recorded.Pieces {
		execution.add(piece)
	}
	return recorded.Result, nil
}

// readOutcome reads the answer in the Result record at an offset.
func (s *shard) readOutcome(offset int64) (outcome, error) {
	ctx, cancel := s.logContext()
	defer cancel()
	record, err := s.stream.ReadRecord(ctx, offset)
	if err != nil {
		return outcome{}, err
	}
	var result idempotency.Result
	if err := logrecord.DecodeBody(record, &result); err != nil {
		return outcome{}, err
	}
	var recorded outcome
	if err := msgpack.Unmarshal(result.Outcome, &recorded); err != nil {
		return outcome{}, errors.Wrap(err, "decode outcome")
	}
	return recorded, nil
}
