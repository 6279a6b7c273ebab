package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/keyed"
	"github.com/corkpulley/corkpulley/internal/router"
)

// testTimeout ends a test that hangs.
const testTimeout = 20 * time.Second

type fakeTables struct{ refusal error }

func (f *fakeTables) Table() *policy.Table {
	return &policy.Table{Revision: 7, Rows: []policy.Row{
		{Service: "comparables", Kind: policy.KindTrainer},
		{Service: "lookup", Kind: policy.KindLive, Repeatable: true},
		{Service: "permit", Kind: policy.KindLive},
	}}
}

func (f *fakeTables) Changed(int64) <-chan struct{} { return nil }

func (f *fakeTables) CheckCurrent() error { return f.refusal }

type runFunc func(ctx context.Context, request router.Request, onPiece func(router.Piece) error) (router.Result, error)

func (f runFunc) Run(ctx context.Context, request router.Request, onPiece func(router.Piece) error) (router.Result, error) {
	return f(ctx, request, onPiece)
}

// fixture is a gateway behind an HTTP server.
type fixture struct {
	gateway  *Gateway
	server   *httptest.Server
	tables   fakeTables
	run      runFunc
	keyed    []keyed.Request
	registry *prometheus.Registry
}

func (f *fixture) Execute(
	ctx context.Context, request keyed.Request, onPiece func(router.Piece) error,
) (router.Result, error) {
	f.keyed = append(f.keyed, request)
	return sendTwoPieces(ctx, router.Request{}, onPiece)
}

func newFixture(t *testing.T, run runFunc) *fixture {
	t.Helper()
	f := &fixture{run: run, registry: prometheus.NewRegistry()}
	f.gateway = New(Options{
		NodeID:     "node-1",
		Router:     run,
		Keyed:      f,
		Tables:     &f.tables,
		Logger:     zerolog.Nop(),
		Registerer: f.registry,
	})
	handler := mux.NewRouter()
	f.gateway.Register(handler)
	f.server = httptest.NewServer(handler)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) post(t *testing.T, body string, headers ...string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := f.server.Client().Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// decode reads until EOF, which follows the return of the handler.
func decode[Body any](t *testing.T, reader io.Reader) Body {
	t.Helper()
	data, err := io.ReadAll(reader)
	assert.NilError(t, err)
	var body Body
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	assert.NilError(t, decoder.Decode(&body))
	return body
}

var twoVersions = []api.VersionSpan{{Version: 3, From: 0, To: 2}, {Version: 4, From: 2, To: 3}}

// sendTwoPieces sends two pieces under two versions.
func sendTwoPieces(_ context.Context, _ router.Request, onPiece func(router.Piece) error) (router.Result, error) {
	if err := onPiece(router.Piece{Tokens: []string{"Lot ", "12 "}, Version: 3}); err != nil {
		return router.Result{}, err
	}
	if err := onPiece(router.Piece{FirstToken: 2, Tokens: []string{"<ok>"}, Version: 4}); err != nil {
		return router.Result{}, err
	}
	return router.Result{Tokens: 3, Versions: twoVersions, FinishReason: "stop", CachedTokens: 2}, nil
}

// counter returns the sum of a counter over all label values.
func (f *fixture) counter(t *testing.T, name string) float64 {
	t.Helper()
	families, err := f.registry.Gather()
	assert.NilError(t, err)
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}
