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
	// slotQueueTimeout bounds a slot's wait for an engine at a dispatcher.
	slotQueueTimeout = 30 * time.Second
	// scoreTimeout bounds one call of the scoring service.
	scoreTimeout = 30 * time.Second
	// urgentPart: the last slots of a step, one in so many, are urgent.
	urgentPart = 16
)

// slotRetries paces the tries to fill, score and record one slot.
var slotRetries = retry.Policy{First: 50 * time.Millisecond, Longest: 5 * time.Second}

// errTooOld ends a run whose answer could no longer be delivered.
var errTooOld = errors.New("answer is beyond the staleness bound")

// slotRun runs one open slot until its sample is on record.
type slotRun struct {
	tenure   *tenure
	slot     ledger.OpenSlot
	request  *ledger.StepSubmitted
	expected int
	// waiting is set while the attempt in hand has no engine yet: from its start
	// to its first token.
	waiting atomic.Bool
	// generated is set once the answer is whole.
	generated atomic.Bool

	mutex sync.Mutex
	// oldest is the lowest version of the answer so far; 0 before the first token.
	oldest uint64
	// cancel ends the attempt in hand.
	cancel context.CancelCauseFunc
}

// run tries until the slot is filled or ctx, the tenure's, ends.
func (r *slotRun) run(ctx context.Context) {
	t := r.tenure
	delays := slotRetries.Delays()
	for ctx.Err() == nil && t.isOpen(r.slot.Sample) {
		r.generated.Store(false)
		err := r.attempt(ctx)
		switch {
		case err == nil, errors.Is(err, errAbandoned):
			return
		case errors.Is(err, errTooOld):
			t.metrics.runs.WithLabelValues(t.trainer, resultTooOld).Inc()
		case ctx.Err() != nil:
			return
		default:
			t.metrics.runs.WithLabelValues(t.trainer, resultFailed).Inc()
			t.logger.Debug().Err(err).Stringer("sample", r.slot.Sample).Msg("slot run failed, trying again")
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

// attempt generates, scores and records one answer.
func (r *slotRun) attempt(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	r.begin(cancel)
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
	if err != nil && (errors.Is(cause, errTooOld) || errors.Is(cause, errAbandoned)) {
		return cause
	}
	return err
}

func (r *slotRun) begin(cancel context.CancelCauseFunc) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.oldest = 0
	r.cancel = cancel
	r.waiting.Store(true)
}

// cancelTooOld ends the attempt in hand if its answer is beyond the bound.
func (r *slotRun) cancelTooOld(terms ledger.Terms) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cancel != nil && r.oldest != 0 && !ledger.Fresh(r.oldest, terms.TrainerVersion, terms.Bound) {
		r.cancel(errTooOld)
	}
}

// noteVersion takes a version of the answer's tokens into account; it fails
// when the answer is beyond the bound by it.
func (r *slotRun) noteVersion(version uint64) error {
	if r.waiting.Swap(false) {
		r.tenure.reschedule()
	}
	_, terms, err := r.tenure.terms()
	if err != nil {
		return nil // judged again before delivery
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.oldest == 0 || version < r.oldest {
		r.oldest = version
	}
	if !ledger.Fresh(r.oldest, terms.TrainerVersion, terms.Bound) {
		return errTooOld
	}
	return nil
}

// generate runs the slot's request through the router. It does not start
// under weights whose sample could not be delivered.
func (r *slotRun) generate(ctx context.Context) (*ledger.SampleFilled, error) {
	row, terms, err := r.tenure.terms()
	if err != nil {
		return nil, err
	}
	answer := &answerBuilder{}
	tooOld := false
	result, err := r.tenure.options.Router.Run(ctx, router.Request{
		ID:             xid.New().String(),
		Row:            row,
		TableRevision:  terms.TableRevision,
		MinVersion:     minVersion(row, terms, r.tenure.versionsUntil(r.slot.Sample.Step)),
		Prompt:         r.request.Prompts[r.slot.Prompt].Text,
		MaxTokens:      r.request.MaxTokens,
		ExpectedTokens: r.expected,
		Seed:           sampleSeed(r.request.Seed, r.slot.Sample),
		Temperature:    r.request.Temperature,
		Urgent:         r.urgent,
		QueueTimeout:   slotQueueTimeout,
	}, func(piece router.Piece) error {
		if err := r.noteVersion(piece.Version); err != nil {
			tooOld = true
			return err
		}
		return answer.add(piece)
	})
	if tooOld {
		return nil, errTooOld
	}
	if err != nil {
		return nil, err
	}
	return answer.finish(r.slot.Sample, result)
}

// sampleSeed gives each attempt of each slot a seed of its own, as a function
// of the step's seed. It is never negative.
func sampleSeed(seed int64, key ledger.SampleKey) int64 {
	data := binary.LittleEndian.AppendUint64(nil, uint64(seed))
	data = binary.LittleEndian.AppendUint64(data, uint64(key.Slot))
	data = binary.LittleEndian.AppendUint32(data, key.Attempt)
	return int64(xxhash.Sum64(data) >> 1)
}

// urgent reports whether the slot is among the last open ones of its step.
func (r *slotRun) urgent() bool {
	t := r.tenure
	var counts ledger.Counts
	t.stream.View(func() { counts, _ = t.ledger.Counts(r.slot.Sample.Step) })
	return counts.Open <= max(1, counts.Wanted/urgentPart)
}

// score has the answer scored, trying until ctx ends; a repeated call is
// harmless since it names the sample.
func (r *slotRun) score(ctx context.Context, body *ledger.SampleFilled) error {
	delays := slotRetries.Delays()
	for {
		response, err := r.scoreOnce(ctx, body)
		if err == nil {
			body.Score = response.Score
			return nil
		}
		r.tenure.logger.Debug().Err(err).Stringer("sample", r.slot.Sample).Msg("scoring failed, trying again")
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
		t.metrics.runs.WithLabelValues(t.trainer, resultNotTaken).Inc()
		return errors.Errorf("sample %s was not taken by the ledger", r.slot.Sample)
	}
	t.texts.Add(offset, body)
	t.mutex.Lock()
	t.lengths.Observe(lengthGroup(r.request, r.slot.Prompt), body.Tokens)
	t.mutex.Unlock()
	t.metrics.runs.WithLabelValues(t.trainer, resultFilled).Inc()
	return nil
}
