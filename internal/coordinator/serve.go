package coordinator

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/logstream"
)

// answer answers one call at the ledger's owner.
func (t *tenure) answer(ctx context.Context, call Call) (Answer, error) {
	if err := t.beginCall(); err != nil {
		return Answer{}, err
	}
	defer t.calls.Done()
	switch {
	case call.Submit != nil:
		status, err := t.submit(ctx, *call.Submit)
		return Answer{Status: &status}, err
	case call.Status != nil:
		status, err := t.stepStatus(call.Status.Step)
		return Answer{Status: &status}, err
	case call.Fetch != nil:
		response, err := t.fetch(ctx, *call.Fetch)
		return Answer{Fetch: &response}, err
	case call.Acknowledge != nil:
		response, err := t.acknowledge(ctx, *call.Acknowledge)
		return Answer{Acknowledge: &response}, err
	case call.Abandon != nil:
		status, err := t.abandon(ctx, call.Abandon.Step)
		return Answer{Status: &status}, err
	default:
		return Answer{}, errkind.New(errkind.InvalidRequest, "trainer call asks for nothing")
	}
}

// beginCall counts a call in, unless the tenure is over or ends.
func (t *tenure) beginCall() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.coordinator.draining.Load() {
		return errkind.New(errkind.ShuttingDown, "node %s gives the ledger of %q up", t.options.NodeID, t.trainer)
	}
	if t.closed {
		return t.notOwner()
	}
	t.calls.Add(1)
	return nil
}

// submit records a step; it is accepted once the record is read back.
func (t *tenure) submit(ctx context.Context, call SubmitCall) (api.StepStatus, error) {
	if _, _, err := t.terms(); err != nil {
		return api.StepStatus{}, err
	}
	body, err := newStepSubmitted(call)
	if err != nil {
		return api.StepStatus{}, err
	}
	status, known, err := t.knownStep(body)
	if known || err != nil {
		return status, err
	}
	if err := t.checkRoom(); err != nil {
		return api.StepStatus{}, err
	}
	// Before the step is on record, which starts its slots: they must not start
	// under weights that are too old for the version told here.
	t.tell(call.Request.TrainerVersion)
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, _, err := t.propose(ctx, ledger.KindStepSubmitted, body); err != nil {
		return api.StepStatus{}, t.proposeError(ctx, err)
	}
	status, known, err = t.knownStep(body)
	if err == nil && !known {
		err = errkind.New(errkind.InvalidRequest, "step %q was refused by the ledger", call.Step)
	}
	if err == nil {
		t.steps.Add(call.Step, body)
	}
	return status, err
}

// knownStep answers a step that is on record: its status, or StepMismatch when
// it was submitted with another request.
func (t *tenure) knownStep(body *ledger.StepSubmitted) (api.StepStatus, bool, error) {
	var counts ledger.Counts
	var fingerprint uint64
	var known bool
	t.stream.View(func() {
		fingerprint, known = t.ledger.Fingerprint(body.Step)
		counts, _ = t.ledger.Counts(body.Step)
	})
	if !known {
		return api.StepStatus{}, false, nil
	}
	if fingerprint != body.Fingerprint {
		return api.StepStatus{}, true, errkind.New(errkind.StepMismatch,
			"step %q was submitted before with another request", body.Step)
	}
	return t.status(counts), true, nil
}

func (t *tenure) checkRoom() error {
	var open int
	t.stream.View(func() { open = t.ledger.OpenStepCount() })
	if open >= ledger.MaxOpenSteps {
		return errkind.New(errkind.QueueFull, "%d steps are not finished, at most %d allowed", open, ledger.MaxOpenSteps)
	}
	return nil
}

func (t *tenure) stepStatus(step string) (api.StepStatus, error) {
	var counts ledger.Counts
	var known bool
	t.stream.View(func() { counts, known = t.ledger.Counts(step) })
	if !known {
		return api.StepStatus{}, errkind.New(errkind.NotFound, "trainer %q has no step %q", t.trainer, step)
	}
	return t.status(counts), nil
}

// acknowledge records an acknowledgement before it confirms it.
func (t *tenure) acknowledge(ctx context.Context, request api.AckRequest) (api.AckResponse, error) {
	keys, err := parseKeys(request.Samples)
	if err != nil {
		return api.AckResponse{}, err
	}
	t.tell(request.TrainerVersion)
	_, terms, err := t.terms()
	if err != nil {
		return api.AckResponse{}, err
	}
	if response := t.acknowledged(request.Token, keys); len(response.Rejected) == 0 {
		return response, nil
	}
	terms.TrainerVersion = request.TrainerVersion
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	body := ledger.Acknowledged{Token: request.Token, Samples: keys, Terms: terms}
	_, accepted, err := t.propose(ctx, ledger.KindAcknowledged, body)
	if err != nil {
		return api.AckResponse{}, t.proposeError(ctx, err)
	}
	if !accepted && t.lags(terms) {
		return api.AckResponse{}, errLags(terms)
	}
	t.noteFinished(keys, request.TrainerVersion)
	response := t.acknowledged(request.Token, keys)
	t.metrics.samples.WithLabelValues(t.trainer, eventAcknowledged).Add(float64(len(response.Accepted)))
	t.metrics.samples.WithLabelValues(t.trainer, eventRejected).Add(float64(len(response.Rejected)))
	return response, nil
}

func (t *tenure) acknowledged(token int64, keys []ledger.SampleKey) api.AckResponse {
	var accepted, rejected []ledger.SampleKey
	t.stream.View(func() { accepted, rejected = t.ledger.AcknowledgedUnder(token, keys) })
	return api.AckResponse{Accepted: sampleIDs(accepted), Rejected: sampleIDs(rejected)}
}

// lags reports whether the ledger was already judged under a later table
// revision than the terms name.
func (t *tenure) lags(terms ledger.Terms) bool {
	var revision int64
	t.stream.View(func() { revision = t.ledger.TableRevision() })
	return revision > terms.TableRevision
}

func errLags(terms ledger.Terms) error {
	return errkind.New(errkind.NotCurrent, "table revision %d is older than one the ledger was judged under", terms.TableRevision)
}

// proposeError tells what a failed proposal means for the call.
func (t *tenure) proposeError(ctx context.Context, err error) error {
	var known *errkind.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, logstream.ErrBadProposal):
		return errkind.New(errkind.PayloadTooLarge, "the record would be too large: %v", err)
	case t.ctx.Err() != nil:
		return t.notOwner()
	case errors.Is(err, logstream.ErrNotProposed):
		return errkind.New(errkind.LogUnavailable, "%v", err)
	case errors.Is(ctx.Err(), context.Canceled):
		return errkind.New(errkind.Canceled, "the caller left before the record was read back")
	default:
		return errkind.New(errkind.OutcomeUnknownRepeatable, "the record was not read back in time; repeat the same call")
	}
}

func newStepSubmitted(call SubmitCall) (*ledger.StepSubmitted, error) {
	encoded, err := json.Marshal(call.Request)
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "step request: %v", err)
	}
	request := call.Request
	prompts := make([]ledger.Prompt, 0, len(request.Prompts))
	for _, prompt := range request.Prompts {
		prompts = append(prompts, ledger.Prompt{Group: prompt.Group, Text: prompt.Text})
	}
	return &ledger.StepSubmitted{
		Step:             call.Step,
		Fingerprint:      xxhash.Sum64(encoded),
		Prompts:          prompts,
		SamplesPerPrompt: request.SamplesPerPrompt,
		MaxTokens:        request.MaxTokens,
		Temperature:      request.Temperature,
		Seed:             request.Seed,
		TrainerVersion:   request.TrainerVersion,
	}, nil
}

func parseKeys(ids []string) ([]ledger.SampleKey, error) {
	keys := make([]ledger.SampleKey, 0, len(ids))
	for _, id := range ids {
		key, err := ledger.ParseSampleKey(id)
		if err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "%v", err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func sampleIDs(keys []ledger.SampleKey) []string {
	ids := make([]string, 0, len(keys))
	for _, key := range keys {
		ids = append(ids, key.String())
	}
	return ids
}
