package coordinator

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/platform/scorer"
	"github.com/corkpulley/corkpulley/internal/router"
)

const (
	// slotQueueTimeout limits how long a slot is queued at a dispatcher.
	slotQueueTimeout = 30 * time.Second
	// scoreTimeout limits one call to the scoring service.
	scoreTimeout = 30 * time.Second
	// urgentDivisor: the last 1/urgentDivisor of a step's slots are urgent.
	urgentDivisor = 16
)

// slotBackoff is the backoff for generating, scoring and recording a slot.
var slotBackoff = retry.Policy{First: 50 * time.Millisecond, Longest: 5 * time.Second}

// errStale is the cancellation cause of slot runs whose answer can no longer be
// delivered.
var errStale = errors.New("answer is beyond the staleness bound")

// slotRun runs one open slot until its sample is recorded.
type slotRun struct {
	tenure         *tenure
	slot           ledger.OpenSlot
	request        *ledger.StepSubmitted
	expectedTokens int
	// waiting is set while the current attempt waits for an engine: from its
	// start to its first token.
	waiting atomic.Bool
	// generated is set when the answer is complete.
	generated atomic.Bool

	mutex sync.Mutex
	// oldestVersion is the lowest weight version of the tokens received so far; 0 if none.
	oldestVersion uint64
	// cancel cancels the current attempt.
	cancel context.CancelCauseFunc
}

// run retries until the slot is filled or abandoned, or the tenure's ctx is done.
func (r *slotRun) run(ctx context.Context) {
	t := r.tenure
	delays := slotBackoff.Delays()
	for ctx.Err() == nil && t.isOpen(r.slot.Sample) {
		r.generated.Store(false)
		err := r.attempt(ctx)
		switch {
		case err == nil, errors.Is(err, errAbandoned):
			return
		case errors.Is(err, errStale):
			t.metrics.runs.WithLabelValues(t.trainer, resultStale).Inc()
		case ctx.Err() != nil:
			return
		default:
			t.metrics.runs.WithLabelValues(t.trainer, resultFailed).Inc()
			t.logger.Debug().Err(err).Stringer("sample", r.slot.Sample).Msg("slot run failed, retrying")
		}
		if !retry.Sleep(ctx, delays.NextBackOff()) {
			return
		}
	}
}

func (t *tenure) isOpen(key ledger.SampleKey) bool {
	open := false
	t.stream.View(func() { open = t.ledger.IsOpen(key) })
	return open
}

// attempt generates, scores and records an answer.
func (r *slotRun) attempt(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	r.startAttempt(cancel)
	defer r.waiting.Store(false)
	body, err := r.generate(ctx)
	if err == nil {
		r.generated.Store(true)
		r.tenure.reschedule()
		err = r.score(ctx, body)
	}
	if err == nil {
		err = r.record(ctx, body)
	}
	cause := context.Cause(ctx)
	if err != nil && (errors.Is(cause, errStale) || errors.Is(cause, errAbandoned)) {
		return cause
	}
	return err
}

func (r *slotRun) startAttempt(cancel context.CancelCauseFunc) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.oldestVersion = 0
	r.cancel = cancel
	r.waiting.Store(true)
}

// cancelStale cancels the current attempt if its answer is beyond the staleness bound.
func (r *slotRun) cancelStale(terms ledger.FreshnessTerms) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cancel != nil && r.oldestVersion != 0 && !ledger.Fresh(r.oldestVersion, terms.TrainerVersion, terms.Bound) {
		r.cancel(errStale)
	}
}

// observeVersion records the weight version of received tokens; it fails with
// errStale if that puts the answer beyond the staleness bound.
func (r *slotRun) observeVersion(version uint64) error {
	if r.waiting.Swap(false) {
		r.tenure.reschedule()
	}
	_, terms, err := r.tenure.currentTerms()
	if err != nil {
		return nil // checked again before delivery
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.oldestVersion == 0 || version < r.oldestVersion {
		r.oldestVersion = version
	}
	if !ledger.Fresh(r.oldestVersion, terms.TrainerVersion, terms.Bound) {
		return errStale
	}
	return nil
}

// generate runs the slot's request through the router, with weights recent enough
// for the sample to be deliverable.
func (r *slotRun) generate(ctx context.Context) (*ledger.SampleFilled, error) {
	row, terms, err := r.tenure.currentTerms()
	if err != nil {
		return nil, err
	}
	answer := &answerBuilder{}
	stale := false
	result, err := r.tenure.options.Router.Run(ctx, router.Request{
		ID:             xid.New().String(),
		Row:            row,
		TableRevision:  terms.TableRevision,
		MinVersion:     minVersion(row, terms, r.tenure.versionsUntilConsumed(r.slot.Sample.Step)),
		Prompt:         r.request.Prompts[r.slot.Prompt].Text,
		MaxTokens:      r.request.MaxTokens,
		ExpectedTokens: r.expectedTokens,
		Seed:           sampleSeed(r.request.Seed, r.slot.Sample),
		Temperature:    r.request.Temperature,
		Urgent:         r.urgent,
		QueueTimeout:   slotQueueTimeout,
	}, func(piece router.Piece) error {
		if err := r.observeVersion(piece.Version); err != nil {
			stale = true
			return err
		}
		return answer.add(piece)
	})
	if stale {
		return nil, errStale
	}
	if err != nil {
		return nil, err
	}
	return answer.finish(r.slot.Sample, result)
}

// sampleSeed derives a non-negative seed from the step's seed, the slot and the attempt.
func sampleSeed(seed int64, key ledger.SampleKey) int64 {
	data := binary.LittleEndian.AppendUint64(nil, uint64(seed))
	data = binary.LittleEndian.AppendUint64(data, uint64(key.Slot))
	data = binary.LittleEndian.AppendUint32(data, key.Attempt)
	return int64(xxhash.Sum64(data) >> 1)
}

// urgent reports whether the slot is among the last open slots of its step.
func (r *slotRun) urgent() bool {
	t := r.tenure
	var counts ledger.Counts
	t.stream.View(func() { counts, _ = t.ledger.Counts(r.slot.Sample.Step) })
	return counts.Open <= max(1, counts.Wanted/urgentDivisor)
}

// score scores the answer, retrying until ctx is done. Scoring is idempotent
// because the request has the sample's ID.
func (r *slotRun) score(ctx context.Context, body *ledger.SampleFilled) error {
	delays := slotBackoff.Delays()
	for {
		response, err := r.scoreOnce(ctx, body)
		if err == nil {
			body.Score = response.Score
			return nil
		}
		r.tenure.logger.Debug().Err(err).Stringer("sample", r.slot.Sample).Msg("scoring failed, retrying")
		if !retry.Sleep(ctx, delays.NextBackOff()) {
			return ctx.Err()
		}
	}
}

func (r *slotRun) scoreOnce(ctx context.Context, body *ledger.SampleFilled) (scorer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	return r.tenure.options.Scorer.Score(ctx, scorer.Request{
		Trainer:  r.tenure.trainer,
		SampleID: r.slot.Sample.String(),
		Prompt:   r.request.Prompts[r.slot.Prompt].Text,
		Text:     body.Text,
	})
}

// record proposes the sample for its slot and waits until it is read back.
func (r *slotRun) record(ctx context.Context, body *ledger.SampleFilled) error {
	t := r.tenure
	offset, accepted, err := t.propose(ctx, ledger.KindSampleFilled, body)
	if err != nil {
		return err
	}
	if !accepted {
		t.metrics.runs.WithLabelValues(t.trainer, resultRejected).Inc()
		return errors.Errorf("sample %s was rejected by the ledger", r.slot.Sample)
	}
	t.sampleCache.Add(offset, body)
	t.mutex.Lock()
	t.lengths.Observe(lengthGroup(r.request, r.slot.Prompt), body.Tokens)
	t.mutex.Unlock()
	t.metrics.runs.WithLabelValues(t.trainer, resultFilled).Inc()
	return nil
}
