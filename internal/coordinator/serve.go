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

// handleCall handles a call at the ledger's owner.
func (t *tenure) handleCall(ctx context.Context, call Call) (Response, error) {
	if err := t.beginCall(); err != nil {
		return Response{}, err
	}
	defer t.calls.Done()
	switch {
	case call.Submit != nil:
		status, err := t.submit(ctx, *call.Submit)
		return Response{Status: &status}, err
	case call.Status != nil:
		status, err := t.stepStatus(call.Status.Step)
		return Response{Status: &status}, err
	case call.Fetch != nil:
		response, err := t.fetch(ctx, *call.Fetch)
		return Response{Fetch: &response}, err
	case call.Acknowledge != nil:
		response, err := t.acknowledge(ctx, *call.Acknowledge)
		return Response{Acknowledge: &response}, err
	case call.Abandon != nil:
		status, err := t.abandon(ctx, call.Abandon.Step)
		return Response{Status: &status}, err
	default:
		return Response{}, errkind.New(errkind.InvalidRequest, "trainer call has no operation")
	}
}

// beginCall registers a call, or fails if the tenure is ending or over.
func (t *tenure) beginCall() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.coordinator.draining.Load() {
		return errkind.New(errkind.ShuttingDown, "node %s is releasing the ledger of %q", t.options.NodeID, t.trainer)
	}
	if t.closed {
		return t.notOwnerError()
	}
	t.calls.Add(1)
	return nil
}

// submit records a step; the step is accepted when the record is read back.
func (t *tenure) submit(ctx context.Context, call SubmitCall) (api.StepStatus, error) {
	if _, _, err := t.currentTerms(); err != nil {
		return api.StepStatus{}, err
	}
	body, err := newStepSubmitted(call)
	if err != nil {
		return api.StepStatus{}, err
	}
	status, recorded, err := t.recordedStep(body)
	if recorded || err != nil {
		return status, err
	}
	if err := t.checkOpenSteps(); err != nil {
		return api.StepStatus{}, err
	}
	// Must precede the record, which lets the step's slots start: they must not
	// start with weights that are stale at this trainer version.
	t.setTrainerVersion(call.Request.TrainerVersion)
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, _, err := t.propose(ctx, ledger.KindStepSubmitted, body); err != nil {
		return api.StepStatus{}, t.proposeError(ctx, err)
	}
	status, recorded, err = t.recordedStep(body)
	if err == nil && !recorded {
		err = errkind.New(errkind.InvalidRequest, "step %q was rejected by the ledger", call.Step)
	}
	if err == nil {
		t.requestCache.Add(call.Step, body)
	}
	return status, err
}

// recordedStep returns the status of a step if it is recorded; it fails with
// StepMismatch if the step was submitted with a different request.
func (t *tenure) recordedStep(body *ledger.StepSubmitted) (api.StepStatus, bool, error) {
	var counts ledger.Counts
	var fingerprint uint64
	var recorded bool
	t.stream.View(func() {
		fingerprint, recorded = t.ledger.Fingerprint(body.Step)
		counts, _ = t.ledger.Counts(body.Step)
	})
	if !recorded {
		return api.StepStatus{}, false, nil
	}
	if fingerprint != body.Fingerprint {
		return api.StepStatus{}, true, errkind.New(errkind.StepMismatch,
			"step %q was already submitted with a different request", body.Step)
	}
	return t.status(counts), true, nil
}

func (t *tenure) checkOpenSteps() error {
	var open int
	t.stream.View(func() { open = t.ledger.OpenStepCount() })
	if open >= ledger.MaxOpenSteps {
		return errkind.New(errkind.QueueFull, "%d unfinished steps, at most %d allowed", open, ledger.MaxOpenSteps)
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

// acknowledge records an acknowledgement and confirms it once it is read back.
func (t *tenure) acknowledge(ctx context.Context, request api.AckRequest) (api.AckResponse, error) {
	keys, err := parseKeys(request.Samples)
	if err != nil {
		return api.AckResponse{}, err
	}
	t.setTrainerVersion(request.TrainerVersion)
	_, terms, err := t.currentTerms()
	if err != nil {
		return api.AckResponse{}, err
	}
	if response := t.ackResponse(request.Token, keys); len(response.Rejected) == 0 {
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
	if !accepted && t.tableOutdated(terms) {
		return api.AckResponse{}, tableOutdatedError(terms)
	}
	t.recordStepFinish(keys, request.TrainerVersion)
	response := t.ackResponse(request.Token, keys)
	t.metrics.samples.WithLabelValues(t.trainer, eventAcknowledged).Add(float64(len(response.Accepted)))
	t.metrics.samples.WithLabelValues(t.trainer, eventRejected).Add(float64(len(response.Rejected)))
	return response, nil
}

func (t *tenure) ackResponse(token int64, keys []ledger.SampleKey) api.AckResponse {
	var accepted, rejected []ledger.SampleKey
	t.stream.View(func() { accepted, rejected = t.ledger.AcknowledgedUnder(token, keys) })
	return api.AckResponse{Accepted: sampleIDs(accepted), Rejected: sampleIDs(rejected)}
}

// tableOutdated reports whether the ledger has records evaluated under a later
// table revision than that of the terms.
func (t *tenure) tableOutdated(terms ledger.FreshnessTerms) bool {
	var revision int64
	t.stream.View(func() { revision = t.ledger.TableRevision() })
	return revision > terms.TableRevision
}

func tableOutdatedError(terms ledger.FreshnessTerms) error {
	return errkind.New(errkind.NotCurrent, "table revision %d is older than that of the ledger", terms.TableRevision)
}

// proposeError converts the error of a failed proposal to the error of the call.
func (t *tenure) proposeError(ctx context.Context, err error) error {
	var kindErr *errkind.Error
	switch {
	case errors.As(err, &kindErr):
		return kindErr
	case errors.Is(err, logstream.ErrBadProposal):
		return errkind.New(errkind.PayloadTooLarge, "record too large: %v", err)
	case t.ctx.Err() != nil:
		return t.notOwnerError()
	case errors.Is(err, logstream.ErrNotProposed):
		return errkind.New(errkind.LogUnavailable, "%v", err)
	case errors.Is(ctx.Err(), context.Canceled):
		return errkind.New(errkind.Canceled, "caller canceled before the record was read back")
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
