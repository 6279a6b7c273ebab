// Package gateway is the callers' HTTP interface: it checks a live request
// against the table, runs it through the router (or, when it must run at most
// once, through the keyed executor) and relays the answer.
//
// There is no buffer between the answer stream and the caller's connection: a
// slow caller slows its own stream down to the dispatcher, and is dropped when
// it does not take one event within the write timeout.
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

// DefaultWriteTimeout bounds how long a caller may take to accept one event or
// one whole plain answer.
const DefaultWriteTimeout = 30 * time.Second

// KeyedExecutor runs keyed requests that are not repeatable at most once.
type KeyedExecutor interface {
	// Execute is as router.Router.Run; a request whose key was seen before
	// gets the recorded answer or an error, and never runs again.
	Execute(ctx context.Context, request keyed.Request, onPiece func(router.Piece) error) (router.Result, error)
}

// Options configures a Gateway. All fields but those with a default are required.
type Options struct {
	NodeID string
	Router router.Router
	Keyed  KeyedExecutor
	Tables policy.Source
	Logger zerolog.Logger
	// Registerer takes the gateway's metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
	// WriteTimeout replaces DefaultWriteTimeout when it is not zero.
	WriteTimeout time.Duration
}

// Gateway answers callers.
type Gateway struct {
	options Options
	metrics *metrics
	inHand  *inHand
}

// New returns a gateway. It takes requests once it is registered.
func New(options Options) *Gateway {
	if options.WriteTimeout == 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	return &Gateway{
		options: options,
		metrics: newMetrics(options.Registerer),
		inHand:  newInHand(),
	}
}

// Register adds the gateway's paths to the HTTP router.
func (g *Gateway) Register(router *mux.Router) {
	router.HandleFunc("/v1/completions", g.handleCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", g.handleModels).Methods(http.MethodGet)
}

// Drain refuses new requests with errkind.ShuttingDown from now on and waits
// until those in hand are answered. It returns ctx's error when ctx ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	return g.inHand.drain(ctx)
}

// newRequestID returns an ID that no other request of any node has.
func (g *Gateway) newRequestID() string {
	return g.options.NodeID + "-" + xid.New().String()
}
