package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/test/history"
)

// trainerClient is a trainer whose calls are made by the test. It records the slots that it requested and the samples
// whose acknowledgements were accepted.
type trainerClient struct {
	t          *testing.T
	deployment *topology.Deployment
	http       *http.Client

	mu sync.Mutex
	// nextNode counts calls, to send them to the nodes in turn.
	nextNode int
	version  uint64
	bound    int
	prompts  map[string][]string
	// fetchedSamples holds the samples of all fetches by ID.
	fetchedSamples map[string]api.Sample
	wanted         []history.Slot
	deliveries     []history.Delivery
}

func newTrainerClient(t *testing.T, deployment *topology.Deployment) *trainerClient {
	t.Helper()
	return &trainerClient{
		t:              t,
		deployment:     deployment,
		http:           &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		version:        1,
		bound:          trainerStalenessBound,
		prompts:        map[string][]string{},
		fetchedSamples: map[string]api.Sample{},
	}
}

// callTimeout bounds one attempt, so that a frozen node does not block the call.
const callTimeout = 5 * time.Second

// call sends a request to the nodes in turn until one answers with status 200.
func (c *trainerClient) call(method, path string, body, into any) {
	c.t.Helper()
	eventually(c.t, method+" "+path, func() error {
		ctx, cancel := context.WithTimeout(c.t.Context(), callTimeout)
		defer cancel()
		return c.sendOnce(ctx, method, path, body, into)
	})
}

// sendOnce sends a request once, to the next node.
func (c *trainerClient) sendOnce(ctx context.Context, method, path string, body, into any) error {
	addresses := c.deployment.CallerAddresses()
	c.mu.Lock()
	address := addresses[c.nextNode%len(addresses)]
	c.nextNode++
	c.mu.Unlock()
	return c.sendOnceTo(ctx, address, method, path, body, into)
}

// sendOnceTo sends a request once, to the node at the address.
func (c *trainerClient) sendOnceTo(ctx context.Context, address, method, path string, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/trainers/"+trainerName+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return json.Unmarshal(answer, into)
}

// submit submits a step that requests the given number of samples of each prompt.
func (c *trainerClient) submit(step string, prompts, samples, tokens int) {
	c.t.Helper()
	request := api.StepRequest{SamplesPerPrompt: samples, MaxTokens: 4096, Seed: 11, TrainerVersion: c.version}
	for prompt := range prompts {
		text := fmt.Sprintf("rationale %d of step %s [tokens=%d]", prompt, step, tokens)
		request.Prompts = append(request.Prompts, api.StepPrompt{Group: "rationale", Text: text})
		c.prompts[step] = append(c.prompts[step], text)
		for index := range samples {
			c.wanted = append(c.wanted, history.Slot{Trainer: trainerName, Step: step, Prompt: prompt, Index: index})
		}
	}
	var status api.StepStatus
	c.call(http.MethodPut, "/steps/"+step, request, &status)
	assert.Equal(c.t, status.Wanted, prompts*samples)
}

// status returns the status of a step.
func (c *trainerClient) status(step string) api.StepStatus {
	c.t.Helper()
	var status api.StepStatus
	c.call(http.MethodGet, "/steps/"+step, struct{}{}, &status)
	return status
}

// fetch fetches samples and stores them.
func (c *trainerClient) fetch(wait time.Duration) api.FetchResponse {
	c.t.Helper()
	var response api.FetchResponse
	c.call(http.MethodPost, "/fetch", c.fetchRequest(wait), &response)
	for _, sample := range response.Samples {
		c.fetchedSamples[sample.ID] = sample
	}
	return response
}

func (c *trainerClient) fetchRequest(wait time.Duration) api.FetchRequest {
	return api.FetchRequest{TrainerVersion: c.version, WaitMS: wait.Milliseconds()}
}

// fetchInterrupted starts a fetch and closes its connection before the response.
func (c *trainerClient) fetchInterrupted() {
	ctx, cancel := context.WithTimeout(c.t.Context(), 20*time.Millisecond)
	defer cancel()
	var response api.FetchResponse
	_ = c.sendOnce(ctx, http.MethodPost, "/fetch", c.fetchRequest(time.Second), &response)
}

// acknowledge acknowledges fetched samples and records the accepted ones as deliveries.
func (c *trainerClient) acknowledge(fetched api.FetchResponse) api.AckResponse {
	c.t.Helper()
	request := api.AckRequest{Token: fetched.Token, TrainerVersion: c.version}
	for _, sample := range fetched.Samples {
		request.Samples = append(request.Samples, sample.ID)
	}
	var response api.AckResponse
	c.call(http.MethodPost, "/ack", request, &response)
	for _, id := range response.Accepted {
		sample, found := c.fetchedSamples[id]
		assert.Assert(c.t, found, "sample %s was accepted but never fetched", id)
		c.deliveries = append(c.deliveries, history.Delivery{
			Trainer: trainerName, Sample: sample, PromptText: c.prompts[sample.Step][sample.Prompt],
			TrainerVersion: request.TrainerVersion, StalenessBound: c.bound, Accepted: time.Now(),
		})
	}
	return response
}

// fetchWait is the long-poll time of a fetch.
const fetchWait = 500 * time.Millisecond

// collect fetches and acknowledges until the given total of deliveries is recorded.
func (c *trainerClient) collect(deliveries int) {
	c.t.Helper()
	eventually(c.t, "deliveries", func() error {
		if fetched := c.fetch(fetchWait); len(fetched.Samples) > 0 {
			c.acknowledge(fetched)
		}
		if len(c.deliveries) < deliveries {
			return errors.Errorf("%d of %d", len(c.deliveries), deliveries)
		}
		return nil
	})
}

// collectAll collects every requested slot and checks that the service reports the steps as done.
func (c *trainerClient) collectAll() {
	c.t.Helper()
	c.collect(len(c.wanted))
	for step := range c.prompts {
		assert.Assert(c.t, c.status(step).Done, "step %s is not done", step)
	}
}

// publish publishes the next version of the trainer's model and adopts it.
func (c *trainerClient) publish() {
	c.t.Helper()
	c.version++
	model := topology.ModelConfig{Name: trainerModel, Version: c.version, SizeBytes: 1 << 20}
	eventually(c.t, "publication", func() error { return c.deployment.Publish(c.t.Context(), model) })
}

// checkDeliveries checks the trainer's history.
func (c *trainerClient) checkDeliveries(executions []history.Execution) {
	c.t.Helper()
	assertNoViolations(c.t, history.CheckExactlyOnce(c.wanted, c.deliveries))
	assertNoViolations(c.t, history.CheckStaleness(c.deliveries))
	assertNoViolations(c.t, history.CheckProvenance(c.deliveries, executions))
}
