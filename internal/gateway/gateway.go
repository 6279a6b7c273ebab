// Package gateway is the HTTP API for callers: it validates a live request against the policy table,
// runs it through the router (or through the keyed executor if it must run at most once) and relays
// the answer.
//
// There is no buffer between the answer stream and the caller's connection: a slow caller applies
// backpressure to its own stream up to the dispatcher, and is disconnected if it does not read an
// event within the write timeout.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/keyed"
	"github.com/corkpulley/corkpulley/internal/router"
)

// DefaultWriteTimeout bounds how long a caller may take to read one event or one JSON answer.
const DefaultWriteTimeout = 30 * time.Second

// KeyedExecutor runs non-repeatable requests with an idempotency key at most once.
type KeyedExecutor interface {
	// Execute behaves like router.Router.Run, but a request whose key was seen before gets the
	// recorded answer or an error and is not run again.
	Execute(ctx context.Context, request keyed.Request, onPiece func(router.Piece) error) (router.Result, error)
}

// Options configures a Gateway. Fields without a documented default are required.
type Options struct {
	NodeID string
	Router router.Router
	Keyed  KeyedExecutor
	Tables policy.Source
	Logger zerolog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// WriteTimeout defaults to DefaultWriteTimeout.
	WriteTimeout time.Duration
}

// Gateway serves the HTTP API for callers.
type Gateway struct {
	options  Options
	metrics  *metrics
	inflight *inflight
}

// New returns a gateway. It serves no requests until Register is called.
func New(options Options) *Gateway {
	if options.WriteTimeout == 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	return &Gateway{
		options:  options,
		metrics:  newMetrics(options.Registerer),
		inflight: newInflight(),
	}
}

// Register adds the gateway's routes to the HTTP router.
func (g *Gateway) Register(router *mux.Router) {
	router.HandleFunc("/v1/completions", g.handleCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", g.handleModels).Methods(http.MethodGet)
}

// Drain refuses new requests with errkind.ShuttingDown and waits until those in flight are answered.
// It returns ctx's error if ctx ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	return g.inflight.drain(ctx)
}

// newRequestID returns an ID that is unique across all nodes.
func (g *Gateway) newRequestID() string {
	return g.options.NodeID + "-" + xid.New().String()
}
