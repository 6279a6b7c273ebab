package trainerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// fakeClient records the last call.
type fakeClient struct {
	trainer string
	step    string
	fetch   api.FetchRequest
	err     error
}

func (f *fakeClient) SubmitStep(_ context.Context, trainer, step string, _ api.StepRequest) (api.StepStatus, error) {
	f.trainer, f.step = trainer, step
	return api.StepStatus{Step: step, Wanted: 2}, f.err
}

func (f *fakeClient) StepStatus(_ context.Context, trainer, step string) (api.StepStatus, error) {
	f.trainer, f.step = trainer, step
	return api.StepStatus{Step: step}, f.err
}

func (f *fakeClient) AbandonStep(_ context.Context, trainer, step string) (api.StepStatus, error) {
	f.trainer, f.step = trainer, step
	return api.StepStatus{Step: step, Abandoned: true}, f.err
}

func (f *fakeClient) Fetch(_ context.Context, trainer string, request api.FetchRequest) (api.FetchResponse, error) {
	f.trainer, f.fetch = trainer, request
	return api.FetchResponse{Token: 3}, f.err
}

func (f *fakeClient) Acknowledge(_ context.Context, trainer string, request api.AckRequest) (api.AckResponse, error) {
	f.trainer = trainer
	return api.AckResponse{Accepted: request.Samples}, f.err
}

type fakeTables struct{ notCurrent error }

func (f *fakeTables) Table() *policy.Table {
	return &policy.Table{Revision: 4, Rows: []policy.Row{
		{Service: "desk", Kind: policy.KindLive}, {Service: "drafts", Kind: policy.KindTrainer},
	}}
}
func (f *fakeTables) Changed(int64) <-chan struct{} { return nil }
func (f *fakeTables) CheckCurrent() error           { return f.notCurrent }

type fixture struct {
	client fakeClient
	tables fakeTables
	routes *mux.Router
}

func newFixture() *fixture {
	f := &fixture{routes: mux.NewRouter()}
	New(&f.client, &f.tables).Register(f.routes)
	return f
}

// do sends one request and returns the status code and the error detail, if any.
func (f *fixture) do(t *testing.T, method, path, body string) (int, api.ErrorDetail) {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	f.routes.ServeHTTP(recorder, request)
	var answer api.ErrorBody
	if recorder.Code != http.StatusOK {
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &answer), recorder.Body.String())
	}
	return recorder.Code, answer.Error
}

const validStep = `{"prompts":[{"text":"p"}],"samples_per_prompt":2,"max_tokens":8,"trainer_version":1}`

func TestCallsReachCoordinator(t *testing.T) {
	f := newFixture()
	for _, call := range []struct{ method, path, body string }{
		{http.MethodPut, "/v1/trainers/drafts/steps/s-1", validStep},
		{http.MethodGet, "/v1/trainers/drafts/steps/s-1", ""},
		{http.MethodDelete, "/v1/trainers/drafts/steps/s-1", ""},
		{http.MethodPost, "/v1/trainers/drafts/fetch", `{"trainer_version":1}`},
		{http.MethodPost, "/v1/trainers/drafts/ack", `{"token":3,"samples":["s-1/0/1"],"trainer_version":1}`},
	} {
		status, detail := f.do(t, call.method, call.path, call.body)
		assert.Equal(t, status, http.StatusOK, "%s: %s", call.path, detail.Message)
		assert.Equal(t, f.client.trainer, "drafts")
	}
	assert.Equal(t, f.client.step, "s-1")
	assert.Equal(t, f.client.fetch.Max, api.DefaultFetchMax)
	assert.Equal(t, f.client.fetch.WaitMS, int64(api.DefaultFetchWaitMS))
}

func TestInvalidCallsRejected(t *testing.T) {
	f := newFixture()
	step, fetch, ack := "/v1/trainers/drafts/steps/s", "/v1/trainers/drafts/fetch", "/v1/trainers/drafts/ack"
	for _, call := range []struct{ method, path, body, code, message string }{
		{http.MethodPut, "/v1/trainers/nobody/steps/s", validStep, "unknown_service", "no service"},
		{http.MethodPut, "/v1/trainers/desk/steps/s", validStep, "unknown_service", "not a trainer"},
		{http.MethodPut, "/v1/trainers/drafts/steps/-s", validStep, "invalid_request", "step ID"},
		{http.MethodDelete, "/v1/trainers/drafts/steps/-s", "", "invalid_request", "step ID"},
		{http.MethodDelete, "/v1/trainers/nobody/steps/s", "", "unknown_service", "no service"},
		{http.MethodPut, step, ``, "invalid_request", "empty"},
		{http.MethodPut, step, `{"propmts":[]}`, "invalid_request", "propmts"},
		{http.MethodPut, step, `{"prompts":[]}`, "invalid_request", "prompts is empty"},
		{http.MethodPut, step, strings.Replace(validStep, `"p"`, `""`, 1), "invalid_request", "prompts[0].text"},
		{http.MethodPut, step, strings.Replace(validStep, `prompt":2`, `prompt":0`, 1), "invalid_request", "samples_per_prompt"},
		{http.MethodPut, step, strings.Replace(validStep, `tokens":8`, `tokens":-1`, 1), "invalid_request", "max_tokens"},
		{http.MethodPut, step, `{"prompts":[{"text":"` + strings.Repeat("x", maxStepBytes) + `"}]}`, "payload_too_large", ""},
		{http.MethodPost, fetch, `{"max":-1}`, "invalid_request", "max"},
		{http.MethodPost, fetch, `{"wait_ms":60001}`, "invalid_request", "wait_ms"},
		{http.MethodPost, fetch, `{"holding":["x"]}`, "invalid_request", "holding[0]"},
		{http.MethodPut, step, strings.Replace(validStep, `version":1`, `version":0`, 1), "invalid_request", "trainer_version"},
		{http.MethodPost, fetch, `{}`, "invalid_request", "trainer_version"},
		{http.MethodPost, ack, `{"token":1,"samples":["s/0/1"]}`, "invalid_request", "trainer_version"},
		{http.MethodPost, ack, `{"samples":["s/0/1"]}`, "invalid_request", "token"},
		{http.MethodPost, ack, `{"token":1}`, "invalid_request", "samples is empty"},
	} {
		_, detail := f.do(t, call.method, call.path, call.body)
		assert.Equal(t, detail.Code, call.code, "%s %.60s", call.path, call.body)
		assert.Assert(t, strings.Contains(detail.Message, call.message), detail.Message)
		assert.Equal(t, detail.Executed, "no")
	}
	assert.Equal(t, f.client.trainer, "", "no call must reach the coordinator")
}

func TestCallsRejectedWhileTableNotCurrent(t *testing.T) {
	f := newFixture()
	f.tables.notCurrent = errkind.New(errkind.NotCurrent, "no contact with the log or with peers")
	status, detail := f.do(t, http.MethodPut, "/v1/trainers/drafts/steps/s", validStep)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, detail.Code, "not_current")
	f.tables.notCurrent = nil
	f.client.err = errkind.New(errkind.StepMismatch, "another request")
	status, _ = f.do(t, http.MethodPut, "/v1/trainers/drafts/steps/s", validStep)
	assert.Equal(t, status, http.StatusConflict)
}
