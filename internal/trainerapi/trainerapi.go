// Package trainerapi serves the HTTP interface for trainers: submitting steps,
// reading their status, abandoning them, fetching samples and acknowledging them.
package trainerapi

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/httpapi"
)

// Bounds of request bodies, in bytes.
const (
	maxStepBytes  = 16 << 20
	maxFetchBytes = 4 << 20
	maxAckBytes   = 4 << 20
)

// Client calls the trainer coordinator. All calls are idempotent; errors are
// *errkind.Error.
type Client interface {
	SubmitStep(ctx context.Context, trainer, step string, request api.StepRequest) (api.StepStatus, error)
	StepStatus(ctx context.Context, trainer, step string) (api.StepStatus, error)
	AbandonStep(ctx context.Context, trainer, step string) (api.StepStatus, error)
	Fetch(ctx context.Context, trainer string, request api.FetchRequest) (api.FetchResponse, error)
	Acknowledge(ctx context.Context, trainer string, request api.AckRequest) (api.AckResponse, error)
}

// API serves the trainer interface.
type API struct {
	client Client
	tables policy.Source
}

// New returns an API that forwards valid requests to the client.
func New(client Client, tables policy.Source) *API {
	return &API{client: client, tables: tables}
}

// Register adds the routes to a router.
func (a *API) Register(router *mux.Router) {
	router.HandleFunc("/v1/trainers/{trainer}/steps/{step}", a.handle(a.submitStep)).Methods(http.MethodPut)
	router.HandleFunc("/v1/trainers/{trainer}/steps/{step}", a.handle(a.stepStatus)).Methods(http.MethodGet)
	router.HandleFunc("/v1/trainers/{trainer}/steps/{step}", a.handle(a.abandonStep)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/trainers/{trainer}/fetch", a.handle(a.fetch)).Methods(http.MethodPost)
	router.HandleFunc("/v1/trainers/{trainer}/ack", a.handle(a.acknowledge)).Methods(http.MethodPost)
}

// handler returns the response to one call of a trainer that is in the table.
type handler func(w http.ResponseWriter, r *http.Request, trainer string) (any, error)

// handle wraps a handler with the checks common to all calls and writes its result.
func (a *API) handle(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		trainer := mux.Vars(r)["trainer"]
		response, err := a.checkAndCall(w, r, trainer, next)
		if err != nil {
			httpapi.WriteError(w, err)
			return
		}
		httpapi.WriteJSON(w, http.StatusOK, response)
	}
}

func (a *API) checkAndCall(w http.ResponseWriter, r *http.Request, trainer string, next handler) (any, error) {
	if err := a.tables.CheckCurrent(); err != nil {
		return nil, err
	}
	if err := checkTrainer(a.tables.Table(), trainer); err != nil {
		return nil, err
	}
	return next(w, r, trainer)
}

func (a *API) submitStep(w http.ResponseWriter, r *http.Request, trainer string) (any, error) {
	step := mux.Vars(r)["step"]
	if err := checkStepID(step); err != nil {
		return nil, err
	}
	var request api.StepRequest
	if err := httpapi.DecodeJSON(w, r, maxStepBytes, &request); err != nil {
		return nil, err
	}
	if err := checkStepRequest(request); err != nil {
		return nil, err
	}
	return a.client.SubmitStep(r.Context(), trainer, step, request)
}

func (a *API) stepStatus(_ http.ResponseWriter, r *http.Request, trainer string) (any, error) {
	step := mux.Vars(r)["step"]
	if err := checkStepID(step); err != nil {
		return nil, err
	}
	return a.client.StepStatus(r.Context(), trainer, step)
}

func (a *API) abandonStep(_ http.ResponseWriter, r *http.Request, trainer string) (any, error) {
	step := mux.Vars(r)["step"]
	if err := checkStepID(step); err != nil {
		return nil, err
	}
	return a.client.AbandonStep(r.Context(), trainer, step)
}

func (a *API) fetch(w http.ResponseWriter, r *http.Request, trainer string) (any, error) {
	var request api.FetchRequest
	if err := httpapi.DecodeJSON(w, r, maxFetchBytes, &request); err != nil {
		return nil, err
	}
	if err := checkFetchRequest(&request); err != nil {
		return nil, err
	}
	return a.client.Fetch(r.Context(), trainer, request)
}

func (a *API) acknowledge(w http.ResponseWriter, r *http.Request, trainer string) (any, error) {
	var request api.AckRequest
	if err := httpapi.DecodeJSON(w, r, maxAckBytes, &request); err != nil {
		return nil, err
	}
	if err := checkAckRequest(request); err != nil {
		return nil, err
	}
	return a.client.Acknowledge(r.Context(), trainer, request)
}
