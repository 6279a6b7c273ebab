package coordinator

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// maxFetchTextBytes limits the total sample text of a response with more than one sample.
const maxFetchTextBytes = 2 << 20

// fetch waits for deliverable samples and delivers them. The response is empty if
// the wait times out, the step has ended or the node drains.
func (t *tenure) fetch(ctx context.Context, request api.FetchRequest) (api.FetchResponse, error) {
	holding, err := parseKeys(request.Holding)
	if err != nil {
		return api.FetchResponse{}, err
	}
	if request.Step != "" {
		if _, err := t.stepStatus(request.Step); err != nil {
			return api.FetchResponse{}, err
		}
	}
	t.setTrainerVersion(request.TrainerVersion)
	held := make(map[ledger.SampleKey]bool, len(holding))
	for _, key := range holding {
		held[key] = true
	}
	return t.fetchLoop(ctx, request, held)
}

func (t *tenure) fetchLoop(
	ctx context.Context, request api.FetchRequest, held map[ledger.SampleKey]bool,
) (api.FetchResponse, error) {
	timer := time.NewTimer(fetchWait(request))
	defer timer.Stop()
	for {
		applied := t.stream.Applied()
		response, err := t.fetchOnce(ctx, request, held)
		if err != nil || len(response.Samples) > 0 || t.stepDone(request.Step) {
			return response, err
		}
		select {
		case <-t.stream.Changed(applied):
		case <-timer.C:
			return response, nil
		case <-t.coordinator.drainStarted:
			return response, nil
		case <-ctx.Done():
			return api.FetchResponse{}, errkind.New(errkind.Canceled, "caller canceled the fetch")
		case <-t.ctx.Done():
			return api.FetchResponse{}, t.notOwnerError()
		}
	}
}

func fetchWait(request api.FetchRequest) time.Duration {
	if request.WaitMS <= 0 {
		return api.DefaultFetchWaitMS * time.Millisecond
	}
	return time.Duration(request.WaitMS) * time.Millisecond
}

// fetchOnce delivers the samples that are deliverable now. The delivery is
// recorded under the epoch and read back before any sample is returned, so a
// fenced owner delivers nothing.
func (t *tenure) fetchOnce(
	ctx context.Context, request api.FetchRequest, held map[ledger.SampleKey]bool,
) (api.FetchResponse, error) {
	_, terms, err := t.currentTerms()
	if err != nil {
		return api.FetchResponse{}, err
	}
	terms.TrainerVersion = request.TrainerVersion
	candidates := t.deliverable(request, terms, held)
	if len(candidates) == 0 {
		return api.FetchResponse{Samples: []api.Sample{}, Steps: t.fetchStatuses(request.Step)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	body := ledger.Delivered{Samples: candidates, Terms: terms}
	offset, accepted, err := t.propose(ctx, ledger.KindDelivered, body)
	if err != nil {
		return api.FetchResponse{}, t.proposeError(ctx, err)
	}
	if !accepted && t.tableOutdated(terms) {
		return api.FetchResponse{}, tableOutdatedError(terms)
	}
	return t.deliveryResponse(ctx, request, ledger.TokenOf(offset), len(candidates))
}

// deliverable returns the samples for the next delivery.
func (t *tenure) deliverable(
	request api.FetchRequest, terms ledger.FreshnessTerms, held map[ledger.SampleKey]bool,
) []ledger.SampleKey {
	limit := request.Max
	if limit <= 0 {
		limit = api.DefaultFetchMax
	}
	var found []ledger.StoredSample
	t.stream.View(func() { found = t.ledger.Deliverable(request.Step, terms, held, limit) })
	var keys []ledger.SampleKey
	bytes := 0
	for _, sample := range found {
		bytes += sample.Bytes
		if len(keys) > 0 && bytes > maxFetchTextBytes {
			break
		}
		keys = append(keys, sample.Sample)
	}
	return keys
}

// deliveryResponse returns the samples whose current delivery has the token. These
// may be fewer than proposed, because the reducer excludes undeliverable ones.
func (t *tenure) deliveryResponse(
	ctx context.Context, request api.FetchRequest, token int64, limit int,
) (api.FetchResponse, error) {
	var stored []ledger.StoredSample
	t.stream.View(func() { stored = t.ledger.DeliveredUnder(token, limit) })
	response := api.FetchResponse{Token: token, Samples: make([]api.Sample, 0, len(stored))}
	for _, sample := range stored {
		body, err := t.sampleBody(ctx, sample)
		if err != nil {
			return api.FetchResponse{}, err
		}
		response.Samples = append(response.Samples, newSample(sample, body))
	}
	response.Steps = t.fetchStatuses(request.Step)
	t.metrics.samples.WithLabelValues(t.trainer, eventDelivered).Add(float64(len(response.Samples)))
	return response, nil
}

// sampleBody returns a recorded sample from the cache or the log.
func (t *tenure) sampleBody(ctx context.Context, sample ledger.StoredSample) (*ledger.SampleFilled, error) {
	if body, cached := t.sampleCache.Get(sample.FillOffset); cached {
		return body, nil
	}
	body := new(ledger.SampleFilled)
	if err := t.readBody(ctx, sample.FillOffset, body); err != nil {
		return nil, err
	}
	t.sampleCache.Add(sample.FillOffset, body)
	return body, nil
}

func (t *tenure) readBody(ctx context.Context, offset int64, body any) error {
	record, err := t.stream.ReadRecord(ctx, offset)
	if err != nil {
		return errkind.New(errkind.LogUnavailable, "read the record at offset %d: %v", offset, err)
	}
	if err := logrecord.DecodeBody(record, body); err != nil {
		return errkind.New(errkind.Internal, "record at offset %d: %v", offset, err)
	}
	return nil
}

func newSample(stored ledger.StoredSample, body *ledger.SampleFilled) api.Sample {
	return api.Sample{
		ID:           stored.Sample.String(),
		Step:         stored.Sample.Step,
		Prompt:       stored.Prompt,
		Index:        stored.Index,
		Text:         body.Text,
		Tokens:       body.Tokens,
		Score:        body.Score,
		Versions:     body.Versions,
		FinishReason: body.FinishReason,
	}
}

func (t *tenure) fetchStatuses(step string) []api.StepStatus {
	if step == "" {
		return t.openStatuses()
	}
	status, err := t.stepStatus(step)
	if err != nil {
		return nil
	}
	return []api.StepStatus{status}
}

// stepDone reports whether the step is finished or abandoned.
func (t *tenure) stepDone(step string) bool {
	if step == "" {
		return false
	}
	status, err := t.stepStatus(step)
	return err == nil && (status.Done || status.Abandoned)
}
