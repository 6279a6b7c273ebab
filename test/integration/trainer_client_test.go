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

// trainerClient is a trainer whose every move a test decides. It records what
// it wanted and what the service let it use.
type trainerClient struct {
	t          *testing.T
	deployment *topology.Deployment
	http       *http.Client

	mu sync.Mutex
	// next is the node asked next.
	next    int
	version uint64
	bound   int
	prompts map[string][]string
	// held are samples fetched and not yet used; they survive a restart.
	held       map[string]api.Sample
	wanted     []history.Slot
	deliveries []history.Delivery
}

func newTrainerClient(t *testing.T, deployment *topology.Deployment) *trainerClient {
	t.Helper()
	return &trainerClient{
		t:          t,
		deployment: deployment,
		http:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		version:    1,
		bound:      trainerBound,
		prompts:    map[string][]string{},
		held:       map[string]api.Sample{},
	}
}

// callTimeout bounds one try of a call, so that a frozen node does not hold it.
const callTimeout = 5 * time.Second

// call sends a request to the nodes in turn until one answers with 200.
func (c *trainerClient) call(method, path string, body, into any) {
	c.t.Helper()
	eventually(c.t, method+" "+path, func() error {
		ctx, cancel := context.WithTimeout(c.t.Context(), callTimeout)
		defer cancel()
		return c.try(ctx, method, path, body, into)
	})
}

// try sends a request once, to the next node.
func (c *trainerClient) try(ctx context.Context, method, path string, body, into any) error {
	addresses := c.deployment.CallerAddresses()
	c.mu.Lock()
	address := addresses[c.next%len(addresses)]
	c.next++
	c.mu.Unlock()
	return c.tryAt(ctx, address, method, path, body, into)
}

// tryAt sends a request once, to the node at the address.
func (c *trainerClient) tryAt(ctx context.Context, address, method, path string, body, into any) error {
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

// submit asks for samples of each prompt in a step.
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

// status asks for the state of a step.
func (c *trainerClient) status(step string) api.StepStatus {
	c.t.Helper()
	var status api.StepStatus
	c.call(http.MethodGet, "/steps/"+step, struct{}{}, &status)
	return status
}

// fetch asks for samples and keeps those that come.
func (c *trainerClient) fetch(wait time.Duration) api.FetchResponse {
	c.t.Helper()
	var response api.FetchResponse
	c.call(http.MethodPost, "/fetch", c.fetchRequest(wait), &response)
	for _, sample := range response.Samples {
		c.held[sample.ID] = sample
	}
	return response
}

func (c *trainerClient) fetchRequest(wait time.Duration) api.FetchRequest {
	return api.FetchRequest{TrainerVersion: c.version, WaitMS: wait.Milliseconds()}
}

// cutFetch starts a fetch and cuts its connection in the middle.
func (c *trainerClient) cutFetch() {
	ctx, cancel := context.WithTimeout(c.t.Context(), 20*time.Millisecond)
	defer cancel()
	var response api.FetchResponse
	_ = c.try(ctx, http.MethodPost, "/fetch", c.fetchRequest(time.Second), &response)
}

// acknowledge names what was fetched and records what may be used.
func (c *trainerClient) acknowledge(fetched api.FetchResponse) api.AckResponse {
	c.t.Helper()
	request := api.AckRequest{Token: fetched.Token, TrainerVersion: c.version}
	for _, sample := range fetched.Samples {
		request.Samples = append(request.Samples, sample.ID)
	}
	var response api.AckResponse
	c.call(http.MethodPost, "/ack", request, &response)
	for _, id := range response.Accepted {
		sample, held := c.held[id]
		assert.Assert(c.t, held, "sample %s was accepted and never fetched", id)
		c.deliveries = append(c.deliveries, history.Delivery{
			Trainer: trainerName, Sample: sample, PromptText: c.prompts[sample.Step][sample.Prompt],
			TrainerVersion: request.TrainerVersion, Bound: c.bound, Accepted: time.Now(),
		})
	}
	return response
}

// fetchWait is the long poll of a fetch inside collect.
const fetchWait = 500 * time.Millisecond

// collect fetches and acknowledges until that many deliveries are recorded.
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

// collectAll collects until every wanted slot is acknowledged, and checks that
// the service says so, too.
func (c *trainerClient) collectAll() {
	c.t.Helper()
	c.collect(len(c.wanted))
	for step := range c.prompts {
		assert.Assert(c.t, c.status(step).Done, "step %s is not done", step)
	}
}

// publish publishes the next version of the trainer's model and moves to it.
func (c *trainerClient) publish() {
	c.t.Helper()
	c.version++
	model := topology.ModelConfig{Name: trainerModel, Version: c.version, SizeBytes: 1 << 20}
	eventually(c.t, "publication", func() error { return c.deployment.Publish(c.t.Context(), model) })
}

// checkDeliveries checks all that a trainer's history can tell.
func (c *trainerClient) checkDeliveries(ran []history.Execution) {
	c.t.Helper()
	holds(c.t, history.CheckExactlyOnce(c.wanted, c.deliveries))
	holds(c.t, history.CheckStaleness(c.deliveries))
	holds(c.t, history.CheckProvenance(c.deliveries, ran))
}
